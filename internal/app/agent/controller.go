package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/rollout"
	"github.com/masticwing/masticwing/internal/port"
)

// report is the result of one probe of the target.
type report struct {
	// asked is the time before the probe was sent.
	asked  time.Time
	engine port.EngineStatus
	err    error
}

// orderResult says how an order ended. An order that was not given yet is
// planned again at once.
type orderResult struct {
	action rollout.Action
	held   bool
	err    error
}

// orderBackoff is the pause after an order that failed.
const orderBackoff = time.Second

// controller is the one goroutine that turns events into plans.
type controller struct {
	a       *Agent
	reports chan report
	orders  chan rollout.Action
	ended   chan orderResult

	// group names the machine of the present assignment.
	group  fleet.Group
	loaded []fleet.Version
	want   []rollout.Ref
	// ordering is true while the orderer has an order for the machine of
	// orderGroup, which may differ from group after a new assignment.
	ordering   bool
	orderGroup fleet.Group
	// orderDone is the end of the last order. A report that was asked for
	// before it may not show what the order did; until a later one arrives,
	// stale is true and no order is given.
	orderDone time.Time
	stale     bool
	failed    time.Time
	// reason says why the last order had no effect, or is empty.
	reason string
	// waitingAt is the time at which the version waitingFor became complete.
	waitingFor fleet.Version
	waitingAt  time.Time
}

func newController(a *Agent) *controller {
	return &controller{
		a:       a,
		reports: make(chan report),
		orders:  make(chan rollout.Action, 1),
		ended:   make(chan orderResult, 1),
	}
}

func (c *controller) run(ctx context.Context) {
	changed, stop := c.a.d.Directory.Subscribe()
	defer stop()
	for {
		c.assign()
		c.step()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-c.a.d.Weights.Changed():
		case <-c.a.kicks:
		case r := <-c.reports:
			c.observe(r)
		case r := <-c.ended:
			c.orderEnded(r)
		}
	}
}

// assign applies the newest declaration.
func (c *controller) assign() {
	a := c.a
	d, _ := a.d.Directory.Declaration()
	if d == nil || d == a.view().declaration {
		return
	}
	as := d.Assign(a.id.machine())
	a.adm.Configure(a.target, as.Limits, a.d.Clock.Now())
	a.adm.SetCordoned(a.target, as.Cordoned)
	old := a.view().assign
	a.change(func(v *view) { v.declaration, v.assign = d, as })
	c.group = as.Group
	if old.Group != as.Group || old.Service != as.Service || old.Version != as.Version || old.Cordoned != as.Cordoned {
		a.d.Log.State("assignment changed", logging.F("revision", d.Revision), logging.F("group", as.Group),
			logging.F("service", as.Service), logging.F("version", as.Version), logging.F("cordoned", as.Cordoned))
	}
	a.notify()
}

// observe applies a report of the target.
func (c *controller) observe(r report) {
	a := c.a
	if r.asked.Before(c.orderDone) {
		return
	}
	c.stale = false
	up := a.view().up
	if r.err != nil {
		if up {
			a.d.Log.Fault("target does not answer", r.err)
		}
		c.loaded = nil
		a.roll.Apply(c.group, rollout.EngineLost())
		a.change(func(v *view) { v.up = false })
		return
	}
	if !up {
		a.d.Log.State("target answers", logging.F("boot", r.engine.BootID))
	}
	if a.d.Engine != nil && a.adm.ObserveEngine(a.target, observation(r.engine, r.asked), a.d.Clock.Now()) {
		a.d.Metrics.Count("agent_cold_restarts", 1)
	}
	c.loaded = r.engine.Loaded
	a.change(func(v *view) { v.up = true })
}

func (c *controller) orderEnded(r orderResult) {
	a := c.a
	c.ordering = false
	a.roll.Apply(c.orderGroup, rollout.OrderEnded())
	if r.held {
		c.reason = "waiting for the order lease"
		return
	}
	c.reason = ""
	c.stale, c.orderDone = true, a.d.Clock.Now()
	if r.err != nil {
		c.failed = a.d.Clock.Now()
		c.reason = "order failed: " + r.err.Error()
		a.d.Metrics.Count("agent_orders_failed", 1)
		a.d.Log.Fault("order failed", r.err, logging.F("version", r.action.Ref.Version))
	} else {
		a.d.Log.State("order done", logging.F("kind", orderName(r.action)), logging.F("version", r.action.Ref.Version))
	}
	signal(a.probes)
}

func orderName(x rollout.Action) string {
	if x.Kind == rollout.Unload {
		return "unload"
	}
	return "load"
}

// step plans, applies the plan to admission and gives at most one order.
func (c *controller) step() {
	a := c.a
	if a.view().declaration == nil {
		return
	}
	if a.d.Engine == nil {
		c.serveService()
		return
	}
	p := a.roll.Apply(c.group, c.events()...)
	c.hold(p)
	c.rotate(p)
	// Requests are counted again after the rotation changed: from here on none
	// is pinned to a version that left it.
	p = a.roll.Apply(c.group, c.busy()...)
	if p.Next.Kind == rollout.NoAction || c.ordering || c.stale || a.d.Clock.Now().Sub(c.failed) < orderBackoff {
		return
	}
	c.ordering, c.orderGroup = true, c.group
	a.roll.Apply(c.group, rollout.OrderStarted(p.Next))
	c.orders <- p.Next
}

func (c *controller) events() []rollout.Event {
	a := c.a
	v := a.view()
	target := rollout.Ref{Model: v.assign.Model, Version: v.assign.Version}
	es := []rollout.Event{
		rollout.Assigned(target, v.assign.Overlap, knownVersions(v)...),
		rollout.MustStay(!c.mayLeave(v)),
		rollout.EngineLost(),
	}
	if v.up {
		es = append(es, rollout.EngineReported(c.loaded))
	}
	var complete []fleet.Version
	for _, r := range append([]rollout.Ref{target}, c.want...) {
		if _, _, ok := a.d.Weights.Open(r.Version); ok && r.Version != "" {
			complete = append(complete, r.Version)
		}
	}
	return append(append(es, rollout.VersionsComplete(complete)), c.busy()...)
}

// knownVersions lists the declared versions of the assigned model in order.
func knownVersions(v view) []fleet.Version {
	return slices.Sorted(maps.Values(v.declaration.Models[v.assign.Model].Versions))
}

// mayLeave reports whether this agent may leave rotation for a change with
// overlap drain-first.
func (c *controller) mayLeave(v view) bool {
	a := c.a
	if v.assign.Overlap != declare.DrainFirst {
		return true
	}
	now := a.d.Clock.Now()
	if c.waitingFor != v.assign.Version {
		c.waitingFor, c.waitingAt = v.assign.Version, time.Time{}
	}
	if _, _, ok := a.d.Weights.Open(v.assign.Version); ok && c.waitingAt.IsZero() {
		c.waitingAt = now
	}
	if !v.ready {
		return true
	}
	peers := []rollout.Peer{{VM: a.id.VM, Serving: true, Updated: v.serving.Version == v.assign.Version}}
	for _, m := range a.d.Directory.Members(fleet.KindAgent) {
		if st := m.Status; st != nil && st.Group == v.assign.Group && st.VM != a.id.VM {
			serving := st.Ready && !st.Leaving && !st.Cordoned
			peers = append(peers, rollout.Peer{VM: st.VM, Serving: serving, Updated: st.Version == v.assign.Version})
		}
	}
	var waited time.Duration
	if !c.waitingAt.IsZero() {
		waited = now.Sub(c.waitingAt)
	}
	return rollout.MayLeaveRotation(a.id.VM, v.assign.Version, peers, waited)
}

func (c *controller) busy() []rollout.Event {
	var es []rollout.Event
	for _, v := range c.loaded {
		es = append(es, rollout.RequestsPinned(v, c.a.adm.PinnedRequests(c.a.target, v)))
	}
	return es
}

// hold tells the store of weights which versions to keep.
func (c *controller) hold(p rollout.Plan) {
	if slices.Equal(c.want, p.Want) {
		return
	}
	c.want = p.Want
	var ts []port.WantedVersion
	for _, r := range p.Want {
		ts = append(ts, port.WantedVersion{Model: r.Model, Version: r.Version})
	}
	c.a.d.Weights.Want(ts)
}

// rotate lets admission pin the planned version.
func (c *controller) rotate(p rollout.Plan) {
	a := c.a
	ready := p.Serving.Version != ""
	old := a.view()
	a.adm.SetServing(a.target, ready, p.Serving.Version, a.d.Clock.Now())
	progress := a.d.Weights.Progress()
	if s := a.roll.State(c.group, old.assign.Version); s >= rollout.Loading {
		progress.State = s.String()
	}
	if progress.Reason == "" && p.Serving.Version != old.assign.Version {
		progress.Reason = c.reason
	}
	a.change(func(v *view) { v.serving, v.ready, v.progress = p.Serving, ready, progress })
	if old.serving != p.Serving {
		a.d.Log.State("rotation changed", logging.F("version", p.Serving.Version))
	}
	a.notify()
}

func (c *controller) serveService() {
	a := c.a
	v := a.view()
	ready := a.d.Service != nil && v.assign.Service != "" && v.up
	a.adm.SetServing(a.target, ready, "", a.d.Clock.Now())
	a.change(func(v *view) { v.ready = ready })
	a.notify()
}
