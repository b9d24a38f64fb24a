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

// startTimeout bounds the start of one process. It covers a machine on which
// the tests of several packages run at once.
const startTimeout = 20 * time.Second

// Deployment is a running system.
type Deployment struct {
	*Harness
	Spec    Spec
	Entries []*Node
	Agents  []*Node
	// Platform, Origin and Relay are stand-ins; Relay is nil without relayed
	// links.
	Platform, Origin, Relay           *Process
	PlatformAddr, OriginAddr, RelayAt string
	// Started is when the daemons were started first.
	Started time.Time

	relayed map[string]string // address at the relay by route name
	shared  map[string]string // address of a shared stand-in by service
}

// Deploy starts the stand-ins, applies the declaration, starts the daemons and
// waits until all of them are ready.
func Deploy(ctx context.Context, h *Harness, s Spec) (*Deployment, error) {
	d := &Deployment{Harness: h, Spec: s, relayed: map[string]string{}, shared: map[string]string{}}
	d.layOut()
	if err := d.startStandins(ctx); err != nil {
		return d, err
	}
	text := s.Declaration
	if text == "" {
		v, err := d.Publish(ctx, s.Origin.Seed)
		if err != nil {
			return d, err
		}
		text = s.Declare(map[string]string{"v1": v}, "v1")
	}
	if err := d.Apply(ctx, text); err != nil {
		return d, err
	}
	return d, d.startNodes(ctx)
}

// layOut gives names and addresses to all nodes.
func (d *Deployment) layOut() {
	d.PlatformAddr, d.OriginAddr, d.RelayAt = d.Addr(), d.Addr(), d.Addr()
	for _, dom := range d.Spec.Domains {
		for i := range dom.Entries {
			n := d.node(dom, fmt.Sprintf("%s-e%d", dom.Name, i+1))
			n.IsEntry, n.listen = true, d.Addr()
			n.HTTP = d.through(n, LinkCaller, n.listen)
			d.Entries = append(d.Entries, n)
		}
		for i := range dom.Engines {
			n := d.node(dom, fmt.Sprintf("%s-w%d", dom.Name, i+1))
			n.TargetAddr = d.Addr()
			d.Agents = append(d.Agents, n)
		}
		for _, name := range d.Spec.serviceNames() {
			for i := range dom.Services[name] {
				n := d.node(dom, fmt.Sprintf("%s-%s%d", dom.Name, name, i+1))
				n.Service, n.TargetAddr = name, d.serviceAddr(name)
				d.Agents = append(d.Agents, n)
			}
		}
	}
}

// serviceAddr returns the address of the next stand-in of a service.
func (d *Deployment) serviceAddr(name string) string {
	if !d.Spec.ShareTargets {
		return d.Addr()
	}
	if d.shared[name] == "" {
		d.shared[name] = d.Addr()
	}
	return d.shared[name]
}

func (d *Deployment) node(dom DomainSpec, name string) *Node {
	return &Node{
		Name: name, Domain: dom.Name, Region: dom.Region, Source: d.sourceIP(dom.Name), Admin: d.Addr(), RPC: d.Addr(),
	}
}

// sourceIP returns the loopback address that the connections of a failure
// domain's nodes leave from.
func (d *Deployment) sourceIP(domain string) string {
	i := slices.IndexFunc(d.Spec.Domains, func(s DomainSpec) bool { return s.Name == domain })
	return strings.TrimSuffix(d.host, "1") + strconv.Itoa(i+2)
}

// CutDomain cuts a failure domain off from the platform, the origin and the
// processes of the others, as far as these links are relayed, or heals it.
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
		if err := d.SetLinkFaults(ctx, LinkRPC, relay.Faults{CutFrom: d.across(inside, domain, cut)}, n); err != nil {
			return err
		}
	}
	return nil
}

// across returns the addresses on the other side of a cut.
func (d *Deployment) across(inside bool, domain string, cut bool) (ips []string) {
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
	if len(d.Spec.Relays) > 0 {
		if d.Relay, err = d.StartStandin(ctx, "relay", "standin-relay", d.RelayAt); err != nil {
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

// StartStandin starts a stand-in and waits until it answers.
func (h *Harness) StartStandin(ctx context.Context, name, binary, addr string, args ...string) (*Process, error) {
	p, err := h.Start(name, binary, append([]string{"--listen", addr}, args...)...)
	if err != nil {
		return nil, err
	}
	return p, WaitCounts(ctx, startTimeout, p, addr)
}

// StartTarget starts the engine or service stand-in of an agent, also after it
// has ended.
func (d *Deployment) StartTarget(ctx context.Context, n *Node) (err error) {
	if n.Service != "" {
		n.Target, err = d.StartStandin(ctx, n.Name+" service", "standin-service", n.TargetAddr)
		return err
	}
	n.Target, err = d.StartStandin(ctx, n.Name+" engine", "standin-engine", n.TargetAddr, d.engineArgs()...)
	return err
}

// startEngines starts all engines in one process.
func (d *Deployment) startEngines(ctx context.Context) error {
	engines := d.Engines()
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
		if err := d.prepare(ctx, n); err != nil {
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

// Nodes returns the entries and the agents.
func (d *Deployment) Nodes() []*Node { return append(append([]*Node(nil), d.Entries...), d.Agents...) }

// prepare writes the settings of a node and opens its routes at the relay.
func (d *Deployment) prepare(ctx context.Context, n *Node) (err error) {
	if n.settings, err = d.WriteFile(n.Name+".ini", d.settingsOf(n)); err != nil {
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
		in := map[string]string{"listen": d.through(n, l, target), "target": target}
		url := "http://" + d.RelayAt + "/routes/" + Route(n, l)
		if err := CallJSON(ctx, "PUT", url, in, nil); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts the daemon of a node, also after it has ended, and waits
// until it is ready.
func (d *Deployment) StartNode(ctx context.Context, n *Node) error {
	if err := d.RunNode(n); err != nil {
		return err
	}
	return WaitReady(ctx, startTimeout, n.Proc, n.Admin)
}

// Succeed starts a second agent for the VM of n, with addresses of its own and
// the same target, while the first one may still exist.
func (d *Deployment) Succeed(ctx context.Context, n *Node) (*Node, error) {
	next := *n
	next.Name, next.VM = n.Name+"-next", n.Name
	next.Admin, next.RPC = d.Addr(), d.Addr()
	if err := d.prepare(ctx, &next); err != nil {
		return nil, err
	}
	return &next, d.StartNode(ctx, &next)
}

// RunNode starts the daemon of a node and does not wait.
func (d *Deployment) RunNode(n *Node) (err error) {
	binary := "masticwing-agent"
	if n.IsEntry {
		binary = "masticwing-entry"
	}
	n.Proc, err = d.Start(n.Name, binary, "run", "--config", n.settings)
	return err
}

// Route is the name of a link's route at the relay.
func Route(n *Node, l Link) string { return n.Name + "." + string(l) }

// through returns the address at which a link is reached: the relay's if the
// link is relayed, otherwise the target's own.
func (d *Deployment) through(n *Node, l Link, target string) string {
	if !d.Spec.relayed(l) {
		return target
	}
	name := Route(n, l)
	if d.relayed[name] == "" {
		d.relayed[name] = d.Addr()
	}
	return d.relayed[name]
}

// SetLinkFaults replaces the faults of one link of each node given.
func (d *Deployment) SetLinkFaults(ctx context.Context, l Link, f relay.Faults, nodes ...*Node) error {
	if !d.Spec.relayed(l) {
		return errors.Errorf("link %s does not lead through the relay", l)
	}
	for _, n := range nodes {
		if err := CallJSON(ctx, "POST", "http://"+d.RelayAt+"/faults/"+Route(n, l), f, nil); err != nil {
			return err
		}
	}
	return nil
}

// InDomain returns the nodes of a failure domain.
func (d *Deployment) InDomain(name string) []*Node {
	var out []*Node
	for _, n := range d.Nodes() {
		if n.Domain == name {
			out = append(out, n)
		}
	}
	return out
}
