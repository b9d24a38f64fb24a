package harness

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Spec describes a deployment.
type Spec struct {
	Domains []DomainSpec
	Origin  OriginSpec
	Engine  EngineSpec
	// LinkRate limits the transfer of weights of each agent, in each direction,
	// in bytes per second, such as "2MiB". Empty leaves the default.
	LinkRate string
	// RelayedLinks lists the links that go through the relay.
	RelayedLinks []Link
	// Declaration is applied before the daemons start. Empty means the text of
	// RenderDeclaration with the origin's first version.
	Declaration string
	// EntrySettings and AgentSettings are additional settings by section and key.
	EntrySettings, AgentSettings map[string]map[string]string
	// ShareTargets makes all agents of a service use one stand-in process, so
	// that a benchmark can run more agents. It applies to services only, since
	// an engine takes orders from one agent.
	ShareTargets bool
	// LimitLines are the lines of RenderDeclaration that set the limits of the
	// group and the services, such as "max_requests = 8". Empty means defaults.
	LimitLines []string
	// Overlap is the overlap setting of the group in RenderDeclaration; empty
	// leaves the default.
	Overlap string
}

// DomainSpec describes the nodes of one failure domain.
type DomainSpec struct {
	Name, Region string
	Entries      int
	// Engines is the number of agents with a model engine.
	Engines int
	// Services is the number of agents with a plain service, by service name.
	Services map[string]int
}

// OriginSpec describes the origin stand-in and the first version that it
// offers.
type OriginSpec struct {
	Model, Size, Chunk string
	Seed               int
	// Rate limits the origin's link in bytes per second; empty means no limit.
	Rate string
}

// EngineSpec describes the engine stand-ins. Zero values leave the defaults.
type EngineSpec struct {
	MaxRequests, ColdRequests int
	TokenDelay                string
	// IgnoreIdentity makes the engines run requests that expect another engine
	// identity, as an engine without that check does.
	IgnoreIdentity bool
	// LoadPerMiB is the time to load one MiB of weights.
	LoadPerMiB string
	// MemoryBytes limits the total size of the weights that an engine has loaded.
	MemoryBytes int64
	// CheckFence makes the engines refuse orders with an old fencing number.
	CheckFence bool
	// OneProcess hosts all engines in one process, each with separate state, so
	// that a large fleet needs no more than a few hundred processes. Node.Target
	// is then that process for every agent with an engine.
	OneProcess bool
}

// Link is a kind of network connection of a node that the relay can carry.
type Link string

// Links of a node.
const (
	// LinkPlatform connects an entry or agent to the platform.
	LinkPlatform Link = "platform"
	// LinkOrigin connects an agent to the origin.
	LinkOrigin Link = "origin"
	// LinkTarget connects an agent to its engine or service.
	LinkTarget Link = "target"
	// LinkCaller connects callers to an entry.
	LinkCaller Link = "caller"
	// LinkRPC connects other processes to the RPC address of a daemon. If it is
	// relayed, [node] advertise is set to the relay's address.
	LinkRPC Link = "rpc"
)

// relayed reports whether the link goes through the relay.
func (s Spec) relayed(l Link) bool { return slices.Contains(s.RelayedLinks, l) }

// Names of the customer and the group in RenderDeclaration.
const (
	Customer = "resort-north"
	Group    = "summaries"
)

// RenderDeclaration returns the text of a declaration for the spec: one
// customer, one group of all engines, and each service with a retryable call
// "read" and an at-most-once call "log". versions maps version names to
// manifest digests; current is the name of the version to serve.
func (s Spec) RenderDeclaration(versions map[string]string, current string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[customer %s]\nshare = 1\nmax_queued = 1000\nmax_bytes = 8MiB\n\n", Customer)
	for _, d := range s.Domains {
		fmt.Fprintf(&b, "[domain %s]\nregion = %s\n\n", d.Name, d.Region)
	}
	fmt.Fprintf(&b, "[model %s]\nlabels = family=demo\n", s.Origin.Model)
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		fmt.Fprintf(&b, "version.%s = %s\n", name, versions[name])
	}
	fmt.Fprintf(&b, "\n[group %s]\nvms = pool=model\nlabels = tier=main\n%s", Group, s.limitText())
	if s.Overlap != "" {
		fmt.Fprintf(&b, "overlap = %s\n", s.Overlap)
	}
	b.WriteString("\n")
	fmt.Fprintf(&b, "[serve %s-main]\ngroups = tier=main\nmodels = family=demo\nversion = %s\n", Group, current)
	for _, name := range s.serviceNames() {
		fmt.Fprintf(&b, "\n[service %s]\nvms = pool=%s\n%scall.read = repeatable\ncall.log = once\n", name, name, s.limitText())
	}
	return b.String()
}

func (s Spec) limitText() string {
	lines := s.LimitLines
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
