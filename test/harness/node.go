package harness

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Node is one entry or agent of a deployment with the stand-in beside it.
type Node struct {
	Name, Domain, Region string
	// VM is the id in the settings if it is not the name.
	VM string
	// Service is the name of the plain service beside an agent, or empty.
	Service string
	// IsEntry tells entries from agents.
	IsEntry bool
	// Admin, RPC and HTTP are the addresses in the settings. HTTP is set for
	// entries and leads through the relay if LinkCaller does.
	Admin, RPC, HTTP string
	// Source is the IP that the daemon's connections to others leave from. It is
	// the same for the nodes of a failure domain.
	Source string
	// TargetAddr is the address of the engine or service stand-in.
	TargetAddr string
	// Proc and Target are the newest processes of the daemon and its stand-in.
	Proc, Target *Process

	settings string
	listen   string
}

// sections is an INI file by section and key.
type sections map[string]map[string]string

func (s sections) set(section, key, value string) {
	if value == "" {
		return
	}
	if s[section] == nil {
		s[section] = map[string]string{}
	}
	s[section][key] = value
}

func (s sections) merge(more map[string]map[string]string) {
	for sec, kv := range more {
		for k, v := range kv {
			s.set(sec, k, v)
		}
	}
}

// String returns the INI text.
func (s sections) String() string {
	var b strings.Builder
	for _, sec := range slices.Sorted(maps.Keys(s)) {
		fmt.Fprintf(&b, "[%s]\n", sec)
		for _, k := range slices.Sorted(maps.Keys(s[sec])) {
			fmt.Fprintf(&b, "%s = %s\n", k, s[sec][k])
		}
		b.WriteString("\n")
	}
	return b.String()
}

// settingsOf returns the settings file of a node. The seeds are the entries.
func (d *Deployment) settingsOf(n *Node) string {
	s := sections{}
	s.set("node", "id", cmp.Or(n.VM, n.Name))
	s.set("node", "admin", n.Admin)
	s.set("node", "domain", n.Domain)
	s.set("node", "region", n.Region)
	s.set("node", "rpc", n.RPC)
	if d.Spec.relayed(LinkRPC) {
		s.set("node", "source", n.Source)
		s.set("node", "advertise", d.through(n, LinkRPC, n.RPC))
	}
	s.set("platform", "address", d.through(n, LinkPlatform, d.PlatformAddr))
	var seeds []string
	for _, e := range d.Entries {
		if e != n {
			seeds = append(seeds, d.through(e, LinkRPC, e.RPC))
		}
	}
	s.set("peers", "seeds", strings.Join(seeds, ", "))
	if n.IsEntry {
		s.set("http", "listen", n.listen)
		s.merge(d.Spec.Entry)
		return s.String()
	}
	d.agentSettings(s, n)
	return s.String()
}

func (d *Deployment) agentSettings(s sections, n *Node) {
	pool, section := "model", "engine"
	if n.Service != "" {
		pool, section = n.Service, "service"
	}
	s.set("node", "labels", "pool="+pool)
	s.set(section, "address", d.through(n, LinkTarget, n.TargetAddr))
	s.set("origin", "address", d.through(n, LinkOrigin, d.OriginAddr))
	s.set("link", "in_rate", d.Spec.LinkRate)
	s.set("link", "out_rate", d.Spec.LinkRate)
	s.merge(d.Spec.Agent)
}
