package harness

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Node is an entry, or an agent together with the stand-in for its target.
type Node struct {
	Name, Domain, Region string
	// VM is the node id in the settings if it differs from Name.
	VM string
	// Service is the name of the plain service that an agent runs beside. It is
	// empty for entries and for agents with a model engine.
	Service string
	// IsEntry is true for an entry and false for an agent.
	IsEntry bool
	// Admin and RPC are the addresses in the settings. HTTP is the address for
	// callers of an entry; it is an address of the relay if LinkCaller is
	// relayed.
	Admin, RPC, HTTP string
	// Source is the source IP of the daemon's outgoing connections. All nodes
	// of a failure domain have the same one.
	Source string
	// TargetAddr is the address of the engine or service stand-in.
	TargetAddr string
	// Proc and Target are the processes of the daemon and its stand-in that
	// were started last.
	Proc, Target *Process

	settings string // path of the settings file
	listen   string // HTTP listening address of an entry
}

// sections holds the values of an INI file by section and key.
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

func (s sections) merge(other map[string]map[string]string) {
	for section, values := range other {
		for key, value := range values {
			s.set(section, key, value)
		}
	}
}

// String returns the INI text.
func (s sections) String() string {
	var b strings.Builder
	for _, section := range slices.Sorted(maps.Keys(s)) {
		fmt.Fprintf(&b, "[%s]\n", section)
		for _, key := range slices.Sorted(maps.Keys(s[section])) {
			fmt.Fprintf(&b, "%s = %s\n", key, s[section][key])
		}
		b.WriteString("\n")
	}
	return b.String()
}

// settingsText returns the text of a node's settings file. All other entries
// are its seeds.
func (d *Deployment) settingsText(n *Node) string {
	s := sections{}
	s.set("node", "id", cmp.Or(n.VM, n.Name))
	s.set("node", "admin", n.Admin)
	s.set("node", "domain", n.Domain)
	s.set("node", "region", n.Region)
	s.set("node", "rpc", n.RPC)
	if d.Spec.relayed(LinkRPC) {
		s.set("node", "source", n.Source)
		s.set("node", "advertise", d.linkAddr(n, LinkRPC, n.RPC))
	}
	s.set("platform", "address", d.linkAddr(n, LinkPlatform, d.PlatformAddr))
	var seeds []string
	for _, e := range d.Entries {
		if e != n {
			seeds = append(seeds, d.linkAddr(e, LinkRPC, e.RPC))
		}
	}
	s.set("peers", "seeds", strings.Join(seeds, ", "))
	if n.IsEntry {
		s.set("http", "listen", n.listen)
		s.merge(d.Spec.EntrySettings)
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
	s.set(section, "address", d.linkAddr(n, LinkTarget, n.TargetAddr))
	s.set("origin", "address", d.linkAddr(n, LinkOrigin, d.OriginAddr))
	s.set("link", "in_rate", d.Spec.LinkRate)
	s.set("link", "out_rate", d.Spec.LinkRate)
	s.merge(d.Spec.AgentSettings)
}
