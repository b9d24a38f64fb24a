package harness

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/internal/standin/relay"
)

// startTimeout bounds the start of one process. It allows for a machine that
// runs the tests of several packages in parallel.
const startTimeout = 20 * time.Second

// Deployment is a running system: entries, agents, and the stand-ins for
// everything around them.
type Deployment struct {
	*Harness
	Spec    Spec
	Entries []*Node
	Agents  []*Node
	// Platform, Origin and Relay are stand-in processes. Relay is nil if no
	// link is relayed.
	Platform, Origin, Relay             *Process
	PlatformAddr, OriginAddr, RelayAddr string
	// Started is the time of the first start of the daemons.
	Started time.Time

	relayAddrs  map[string]string // listening address at the relay, by route name
	sharedAddrs map[string]string // address of a shared stand-in, by service
}

// Deploy starts the stand-ins, applies the declaration, starts the daemons, and
// waits until all daemons are ready.
func Deploy(ctx context.Context, h *Harness, s Spec) (*Deployment, error) {
	d := &Deployment{Harness: h, Spec: s, relayAddrs: map[string]string{}, sharedAddrs: map[string]string{}}
	d.assignAddresses()
	if err := d.startStandins(ctx); err != nil {
		return d, err
	}
	text := s.Declaration
	if text == "" {
		v, err := d.Publish(ctx, s.Origin.Seed)
		if err != nil {
			return d, err
		}
		text = s.RenderDeclaration(map[string]string{"v1": v}, "v1")
	}
	if err := d.Apply(ctx, text); err != nil {
		return d, err
	}
	return d, d.startNodes(ctx)
}

// assignAddresses creates all nodes with their names and addresses.
func (d *Deployment) assignAddresses() {
	d.PlatformAddr, d.OriginAddr, d.RelayAddr = d.FreeAddr(), d.FreeAddr(), d.FreeAddr()
	for _, dom := range d.Spec.Domains {
		for i := range dom.Entries {
			n := d.newNode(dom, fmt.Sprintf("%s-e%d", dom.Name, i+1))
			n.IsEntry, n.listen = true, d.FreeAddr()
			n.HTTP = d.linkAddr(n, LinkCaller, n.listen)
			d.Entries = append(d.Entries, n)
		}
		for i := range dom.Engines {
			n := d.newNode(dom, fmt.Sprintf("%s-w%d", dom.Name, i+1))
			n.TargetAddr = d.FreeAddr()
			d.Agents = append(d.Agents, n)
		}
		for _, name := range d.Spec.serviceNames() {
			for i := range dom.Services[name] {
				n := d.newNode(dom, fmt.Sprintf("%s-%s%d", dom.Name, name, i+1))
				n.Service, n.TargetAddr = name, d.serviceAddr(name)
				d.Agents = append(d.Agents, n)
			}
		}
	}
}

// serviceAddr returns the address for the next stand-in of a service: a new one
// or, with ShareTargets, the same one each time.
func (d *Deployment) serviceAddr(name string) string {
	if !d.Spec.ShareTargets {
		return d.FreeAddr()
	}
	if d.sharedAddrs[name] == "" {
		d.sharedAddrs[name] = d.FreeAddr()
	}
	return d.sharedAddrs[name]
}

func (d *Deployment) newNode(dom DomainSpec, name string) *Node {
	return &Node{
		Name: name, Domain: dom.Name, Region: dom.Region, Source: d.sourceIP(dom.Name), Admin: d.FreeAddr(), RPC: d.FreeAddr(),
	}
}

// sourceIP returns the source IP of outgoing connections from the nodes of a
// failure domain.
func (d *Deployment) sourceIP(domain string) string {
	index := slices.IndexFunc(d.Spec.Domains, func(s DomainSpec) bool { return s.Name == domain })
	return strings.TrimSuffix(d.host, "1") + strconv.Itoa(index+2)
}

// CutDomain partitions a failure domain from the platform, the origin and the
// processes of other domains, or ends the partition if cut is false. Links that
// are not relayed are unaffected.
func (d *Deployment) CutDomain(ctx context.Context, domain string, cut bool) error {
	for _, n := range d.Nodes() {
		inside := n.Domain == domain
		for _, l := range []Link{LinkPlatform, LinkOrigin} {
			if !inside || !d.Spec.relayed(l) || l == LinkOrigin && n.IsEntry {
				continue
			}
			if err := d.SetLinkFaults(ctx, l, relay.Faults{Cut: cut}, n); err != nil {
				return err
			}
		}
		if err := d.SetLinkFaults(ctx, LinkRPC, relay.Faults{CutFrom: d.otherSideIPs(inside, domain, cut)}, n); err != nil {
			return err
		}
	}
	return nil
}

// otherSideIPs returns the source IPs on the other side of the partition of a
// domain, or none if cut is false.
func (d *Deployment) otherSideIPs(inside bool, domain string, cut bool) (ips []string) {
	for _, dom := range d.Spec.Domains {
		if cut && inside != (dom.Name == domain) {
			ips = append(ips, d.sourceIP(dom.Name))
		}
	}
	return ips
}

func (d *Deployment) startStandins(ctx context.Context) (err error) {
	if d.Platform, err = d.StartStandin(ctx, "platform", "standin-platform", d.PlatformAddr); err != nil {
		return err
	}
	o := d.Spec.Origin
	args := []string{"--model", o.Model, "--size", o.Size, "--chunk", o.Chunk, "--seed", strconv.Itoa(o.Seed)}
	if o.Rate != "" {
		args = append(args, "--rate", o.Rate)
	}
	if d.Origin, err = d.StartStandin(ctx, "origin", "standin-origin", d.OriginAddr, args...); err != nil {
		return err
	}
	if len(d.Spec.RelayedLinks) > 0 {
		if d.Relay, err = d.StartStandin(ctx, "relay", "standin-relay", d.RelayAddr); err != nil {
			return err
		}
	}
	if d.Spec.Engine.OneProcess {
		if err := d.startEngines(ctx); err != nil {
			return err
		}
	}
	p := pool.New().WithErrors()
	started := map[string]bool{}
	for _, n := range d.Agents {
		if n.Target != nil || started[n.TargetAddr] {
			continue
		}
		started[n.TargetAddr] = true
		p.Go(func() error { return d.StartTarget(ctx, n) })
	}
	return p.Wait()
}

// StartStandin starts a stand-in that listens on addr and waits until it
// responds.
func (h *Harness) StartStandin(ctx context.Context, name, binary, addr string, args ...string) (*Process, error) {
	p, err := h.Start(name, binary, append([]string{"--listen", addr}, args...)...)
	if err != nil {
		return nil, err
	}
	return p, WaitStandin(ctx, startTimeout, p, addr)
}

// StartTarget starts, or restarts after its exit, the engine or service
// stand-in of an agent.
func (d *Deployment) StartTarget(ctx context.Context, n *Node) (err error) {
	if n.Service != "" {
		n.Target, err = d.StartStandin(ctx, n.Name+" service", "standin-service", n.TargetAddr)
		return err
	}
	n.Target, err = d.StartStandin(ctx, n.Name+" engine", "standin-engine", n.TargetAddr, d.engineArgs()...)
	return err
}

// startEngines starts one process that hosts the engines of all agents.
func (d *Deployment) startEngines(ctx context.Context) error {
	engines := d.EngineAgents()
	if len(engines) == 0 {
		return nil
	}
	args := d.engineArgs()
	for _, n := range engines[1:] {
		args = append(args, "--listen", n.TargetAddr)
	}
	p, err := d.StartStandin(ctx, "engines", "standin-engine", engines[0].TargetAddr, args...)
	for _, n := range engines {
		n.Target = p
	}
	return err
}

func (d *Deployment) engineArgs() []string {
	var args []string
	e := d.Spec.Engine
	if e.MaxRequests > 0 {
		args = append(args, "--max-requests", strconv.Itoa(e.MaxRequests))
	}
	if e.ColdRequests > 0 {
		args = append(args, "--cold-requests", strconv.Itoa(e.ColdRequests))
	}
	if e.TokenDelay != "" {
		args = append(args, "--token-delay", e.TokenDelay)
	}
	if !e.IgnoreIdentity {
		args = append(args, "--check-identity")
	}
	if e.LoadPerMiB != "" {
		args = append(args, "--load-per-mib", e.LoadPerMiB)
	}
	if e.MemoryBytes > 0 {
		args = append(args, "--memory-bytes", strconv.FormatInt(e.MemoryBytes, 10))
	}
	if e.CheckFence {
		args = append(args, "--check-fence")
	}
	return args
}

func (d *Deployment) startNodes(ctx context.Context) error {
	nodes := d.Nodes()
	for _, n := range nodes {
		if err := d.configureNode(ctx, n); err != nil {
			return err
		}
	}
	d.Started = time.Now()
	p := pool.New().WithErrors()
	for _, n := range nodes {
		p.Go(func() error { return d.StartNode(ctx, n) })
	}
	return p.Wait()
}

// Nodes returns all entries followed by all agents.
func (d *Deployment) Nodes() []*Node { return append(append([]*Node(nil), d.Entries...), d.Agents...) }

// configureNode writes the settings file of a node and adds its routes to the
// relay.
func (d *Deployment) configureNode(ctx context.Context, n *Node) (err error) {
	if n.settings, err = d.WriteFile(n.Name+".ini", d.settingsText(n)); err != nil {
		return err
	}
	targets := map[Link]string{LinkPlatform: d.PlatformAddr, LinkRPC: n.RPC}
	if n.IsEntry {
		targets[LinkCaller] = n.listen
	} else {
		targets[LinkOrigin], targets[LinkTarget] = d.OriginAddr, n.TargetAddr
	}
	for l, target := range targets {
		if !d.Spec.relayed(l) {
			continue
		}
		body := map[string]string{"listen": d.linkAddr(n, l, target), "target": target}
		url := "http://" + d.RelayAddr + "/routes/" + RouteName(n, l)
		if err := CallJSON(ctx, "PUT", url, body, nil); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts, or restarts after its exit, the daemon of a node and waits
// until it is ready.
func (d *Deployment) StartNode(ctx context.Context, n *Node) error {
	if err := d.SpawnNode(n); err != nil {
		return err
	}
	return WaitReady(ctx, startTimeout, n.Proc, n.Admin)
}

// StartSuccessor starts a second agent for the VM of n, with its own addresses
// and the same target. The first agent may still be running.
func (d *Deployment) StartSuccessor(ctx context.Context, n *Node) (*Node, error) {
	next := *n
	next.Name, next.VM = n.Name+"-next", n.Name
	next.Admin, next.RPC = d.FreeAddr(), d.FreeAddr()
	if err := d.configureNode(ctx, &next); err != nil {
		return nil, err
	}
	return &next, d.StartNode(ctx, &next)
}

// SpawnNode starts the daemon of a node without waiting until it is ready.
func (d *Deployment) SpawnNode(n *Node) (err error) {
	binary := "masticwing-agent"
	if n.IsEntry {
		binary = "masticwing-entry"
	}
	n.Proc, err = d.Start(n.Name, binary, "run", "--config", n.settings)
	return err
}

// RouteName returns the relay's name for the route of a node's link.
func RouteName(n *Node, l Link) string { return n.Name + "." + string(l) }

// linkAddr returns the address to connect to for a link: an address of the
// relay if the link is relayed, otherwise target itself.
func (d *Deployment) linkAddr(n *Node, l Link, target string) string {
	if !d.Spec.relayed(l) {
		return target
	}
	name := RouteName(n, l)
	if d.relayAddrs[name] == "" {
		d.relayAddrs[name] = d.FreeAddr()
	}
	return d.relayAddrs[name]
}

// SetLinkFaults replaces the faults of one link for each of the nodes.
func (d *Deployment) SetLinkFaults(ctx context.Context, l Link, f relay.Faults, nodes ...*Node) error {
	if !d.Spec.relayed(l) {
		return errors.Errorf("link %s is not relayed", l)
	}
	for _, n := range nodes {
		if err := CallJSON(ctx, "POST", "http://"+d.RelayAddr+"/faults/"+RouteName(n, l), f, nil); err != nil {
			return err
		}
	}
	return nil
}

// NodesInDomain returns the entries and agents of a failure domain.
func (d *Deployment) NodesInDomain(name string) []*Node {
	var out []*Node
	for _, n := range d.Nodes() {
		if n.Domain == name {
			out = append(out, n)
		}
	}
	return out
}
