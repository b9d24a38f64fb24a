package harness

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Spec describes a whole system.
type Spec struct {
	Domains []DomainSpec
	Origin  OriginSpec
	Engine  EngineSpec
	// LinkRate is the rate of each agent's link for weights, each way, such as
	// "2MiB". Empty leaves the default.
	LinkRate string
	// Relays lists the links that lead through the relay.
	Relays []Link
	// Declaration is applied before the daemons start. Empty means Declare
	// with the origin's first version.
	Declaration string
	// Entry and Agent hold further settings, by section and key.
	Entry, Agent map[string]map[string]string
	// ShareTargets makes all agents of a service use one stand-in, so that a
	// bench has room for more agents. Services only; an engine takes orders
	// from one agent.
	ShareTargets bool
	// Limits holds lines for the groups and services of Declare, such as
	// "max_requests = 8".
	Limits []string
	// Overlap is the overlap of the group of Declare; empty leaves the default.
	Overlap string
}

// DomainSpec describes one failure domain.
type DomainSpec struct {
	Name, Region string
	Entries      int
	// Engines is the number of agents with a model engine.
	Engines int
	// Services is the number of agents with a plain service, by service name.
	Services map[string]int
}

// OriginSpec describes the origin stand-in and the first version.
type OriginSpec struct {
	Model, Size, Chunk string
	Seed               int
	// Rate is in bytes per second; empty is no limit.
	Rate string
}

// EngineSpec describes the engine stand-ins. Zero values leave the defaults.
type EngineSpec struct {
	MaxRequests, ColdRequests int
	TokenDelay                string
	// IgnoreIdentity makes the engines run requests that expect another
	// identity, as engines without the check do.
	IgnoreIdentity bool
	// LoadPerMiB is the time to load one MiB of weights.
	LoadPerMiB string
	// MemoryBytes bounds the weights that an engine holds at one time.
	MemoryBytes int64
	// CheckFence makes engines refuse old fencing numbers.
	CheckFence bool
	// OneProcess hosts all engines in one process, each with a state of its
	// own. Large fleets need it to stay within a few hundred processes.
	// Node.Target is then that process for every agent with an engine.
	OneProcess bool
}

// Link is a kind of link that a relay can stand in for.
type Link string

// The links.
const (
	// LinkPlatform leads from an entry or agent to the platform.
	LinkPlatform Link = "platform"
	// LinkOrigin leads from an agent to the origin.
	LinkOrigin Link = "origin"
	// LinkTarget leads from an agent to its engine or service.
	LinkTarget Link = "target"
	// LinkCaller leads from callers to an entry.
	LinkCaller Link = "caller"
	// LinkRPC leads from other processes to the RPC address of a daemon. It
	// sets [node] advertise to the relay's address.
	LinkRPC Link = "rpc"
)

// relayed reports whether the link leads through the relay.
func (s Spec) relayed(l Link) bool { return slices.Contains(s.Relays, l) }

// Names of what Declare declares.
const (
	Customer = "resort-north"
	Group    = "summaries"
)

// Declare returns a declaration for the spec: one customer, one group of all
// engines, and each service with a repeatable call "read" and a call "log"
// that may run at most once. The versions map a name to a digest; current is
// the name of the version to serve.
func (s Spec) Declare(versions map[string]string, current string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[customer %s]\nshare = 1\nmax_queued = 1000\nmax_bytes = 8MiB\n\n", Customer)
	for _, d := range s.Domains {
		fmt.Fprintf(&b, "[domain %s]\nregion = %s\n\n", d.Name, d.Region)
	}
	fmt.Fprintf(&b, "[model %s]\nlabels = family=demo\n", s.Origin.Model)
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		fmt.Fprintf(&b, "version.%s = %s\n", name, versions[name])
	}
	fmt.Fprintf(&b, "\n[group %s]\nvms = pool=model\nlabels = tier=main\n%s", Group, s.limits())
	if s.Overlap != "" {
		fmt.Fprintf(&b, "overlap = %s\n", s.Overlap)
	}
	b.WriteString("\n")
	fmt.Fprintf(&b, "[serve %s-main]\ngroups = tier=main\nmodels = family=demo\nversion = %s\n", Group, current)
	for _, name := range s.serviceNames() {
		fmt.Fprintf(&b, "\n[service %s]\nvms = pool=%s\n%scall.read = repeatable\ncall.log = once\n", name, name, s.limits())
	}
	return b.String()
}

func (s Spec) limits() string {
	lines := s.Limits
	if len(lines) == 0 {
		lines = []string{"max_requests = 8", "max_bytes = 4MiB", "cold_requests = 2", "ramp_step = 200ms"}
	}
	return strings.Join(lines, "\n") + "\n"
}

func (s Spec) serviceNames() []string {
	set := map[string]bool{}
	for _, d := range s.Domains {
		for name := range d.Services {
			set[name] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}
