package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/rollout"
	"github.com/masticwing/masticwing/internal/port"
)

type probeResult struct {
	// sentAt is the time just before the probe was sent.
	sentAt time.Time
	engine port.EngineStatus
	err    error
}

// orderResult is the outcome of an order. A deferred order was not sent, and
// the controller plans again without delay.
type orderResult struct {
	action   rollout.Action
	deferred bool
	err      error
}

// orderBackoff is the delay after a failed order.
const orderBackoff = time.Second

// controller plans the next step of the rollout on each event. Its fields belong
// to the goroutine of run.
type controller struct {
	a            *Agent
	probeResults chan probeResult
	orders       chan rollout.Action
	orderResults chan orderResult

	// group is the assigned group. It is the key of the rollout state machine.
	group  fleet.Group
	loaded []fleet.Version
	wanted []rollout.Ref
	// orderInProgress is true while the orderer works on an order of orderGroup,
	// which may differ from group after a new assignment.
	orderInProgress bool
	orderGroup      fleet.Group
	// lastOrderEnded is the time at which the last order ended. The result of a
	// probe sent before then may not show the effect of the order. Until a later
	// result arrives, awaitingProbe is true and no order is sent.
	lastOrderEnded  time.Time
	awaitingProbe   bool
	lastOrderFailed time.Time
	// reason says why the last order was deferred or failed, or is empty.
	reason string
	// pendingSince is the time at which the weights of pendingVersion, the
	// assigned version, were complete; zero until then.
	pendingVersion fleet.Version
	pendingSince   time.Time
}

func newController(a *Agent) *controller {
	return &controller{
		a:            a,
		probeResults: make(chan probeResult),
		orders:       make(chan rollout.Action, 1),
		orderResults: make(chan orderResult, 1),
	}
}

func (c *controller) run(ctx context.Context) {
	changed, stop := c.a.deps.Directory.Subscribe()
	defer stop()
	for {
		c.applyDeclaration()
		c.reconcile()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-c.a.deps.Weights.Changed():
		case <-c.a.replanNow:
		case r := <-c.probeResults:
			c.applyProbe(r)
		case r := <-c.orderResults:
			c.applyOrderResult(r)
		}
	}
}

// applyDeclaration applies the newest declaration if it has changed.
func (c *controller) applyDeclaration() {
	a := c.a
	d, _ := a.deps.Directory.Declaration()
	if d == nil || d == a.snapshot().declaration {
		return
	}
	assigned := d.Assign(a.id.machine())
	a.admissions.Configure(a.targetKey, assigned.Limits, a.deps.Clock.Now())
	a.admissions.SetCordoned(a.targetKey, assigned.Cordoned)
	old := a.snapshot().assignment
	a.updateSnapshot(func(v *snapshot) { v.declaration, v.assignment = d, assigned })
	c.group = assigned.Group
	if old.Group != assigned.Group || old.Service != assigned.Service || old.Version != assigned.Version || old.Cordoned != assigned.Cordoned {
		a.deps.Log.StateChange("assignment changed", port.F("revision", d.Revision), port.F("group", assigned.Group),
			port.F("service", assigned.Service), port.F("version", assigned.Version), port.F("cordoned", assigned.Cordoned))
	}
	a.notifyWatchers()
}

// applyProbe updates the state of the target from the result of a probe.
func (c *controller) applyProbe(r probeResult) {
	a := c.a
	if r.sentAt.Before(c.lastOrderEnded) {
		return
	}
	c.awaitingProbe = false
	reachable := a.snapshot().reachable
	if r.err != nil {
		if reachable {
			a.deps.Log.Failure("target does not answer", r.err)
		}
		c.loaded = nil
		a.rollouts.Apply(c.group, rollout.EngineLost())
		a.updateSnapshot(func(v *snapshot) { v.reachable = false })
		return
	}
	if !reachable {
		a.deps.Log.StateChange("target answers", port.F("boot", r.engine.BootID))
	}
	if a.deps.Engine != nil && a.admissions.ObserveEngine(a.targetKey, newObservation(r.engine, r.sentAt), a.deps.Clock.Now()) {
		a.deps.Metrics.Count("agent_cold_restarts", 1)
	}
	c.loaded = r.engine.Loaded
	a.updateSnapshot(func(v *snapshot) { v.reachable = true })
}

func (c *controller) applyOrderResult(r orderResult) {
	a := c.a
	c.orderInProgress = false
	a.rollouts.Apply(c.orderGroup, rollout.OrderEnded())
	if r.deferred {
		c.reason = "waiting for the order lease"
		return
	}
	c.reason = ""
	c.awaitingProbe, c.lastOrderEnded = true, a.deps.Clock.Now()
	if r.err != nil {
		c.lastOrderFailed = a.deps.Clock.Now()
		c.reason = "order failed: " + r.err.Error()
		a.deps.Metrics.Count("agent_orders_failed", 1)
		a.deps.Log.Failure("order failed", r.err, port.F("version", r.action.Ref.Version))
	} else {
		a.deps.Log.StateChange("order done", port.F("kind", orderKind(r.action)), port.F("version", r.action.Ref.Version))
	}
	signal(a.probeNow)
}

func orderKind(action rollout.Action) string {
	if action.Kind == rollout.Unload {
		return "unload"
	}
	return "load"
}

// reconcile plans the next step, applies the plan to the weights and to
// admission, and starts at most one order.
func (c *controller) reconcile() {
	a := c.a
	if a.snapshot().declaration == nil {
		return
	}
	if a.deps.Engine == nil {
		c.reconcileService()
		return
	}
	plan := a.rollouts.Apply(c.group, c.rolloutEvents()...)
	c.setWantedVersions(plan)
	c.applyRotation(plan)
	// Requests are counted again after the rotation has changed. From here on no
	// new request is pinned to a version that has left rotation.
	plan = a.rollouts.Apply(c.group, c.pinnedRequestEvents()...)
	if plan.Next.Kind == rollout.NoAction || c.orderInProgress || c.awaitingProbe || a.deps.Clock.Now().Sub(c.lastOrderFailed) < orderBackoff {
		return
	}
	c.orderInProgress, c.orderGroup = true, c.group
	a.rollouts.Apply(c.group, rollout.OrderStarted(plan.Next))
	c.orders <- plan.Next
}

func (c *controller) rolloutEvents() []rollout.Event {
	a := c.a
	v := a.snapshot()
	target := rollout.Ref{Model: v.assignment.Model, Version: v.assignment.Version}
	events := []rollout.Event{
		rollout.Assigned(target, v.assignment.Overlap, declaredVersions(v)...),
		rollout.MustStay(!c.mayLeaveRotation(v)),
		rollout.EngineLost(),
	}
	if v.reachable {
		events = append(events, rollout.EngineReported(c.loaded))
	}
	var complete []fleet.Version
	for _, r := range append([]rollout.Ref{target}, c.wanted...) {
		if _, _, ok := a.deps.Weights.Open(r.Version); ok && r.Version != "" {
			complete = append(complete, r.Version)
		}
	}
	return append(append(events, rollout.VersionsComplete(complete)), c.pinnedRequestEvents()...)
}

// declaredVersions returns the declared versions of the assigned model, sorted.
func declaredVersions(v snapshot) []fleet.Version {
	return slices.Sorted(maps.Values(v.declaration.Models[v.assignment.Model].Versions))
}

// mayLeaveRotation reports whether this agent may stop serving in order to
// change versions. The overlap mode drain-first limits how many agents do so at
// a time.
func (c *controller) mayLeaveRotation(v snapshot) bool {
	a := c.a
	if v.assignment.Overlap != declare.DrainFirst {
		return true
	}
	now := a.deps.Clock.Now()
	if c.pendingVersion != v.assignment.Version {
		c.pendingVersion, c.pendingSince = v.assignment.Version, time.Time{}
	}
	if _, _, ok := a.deps.Weights.Open(v.assignment.Version); ok && c.pendingSince.IsZero() {
		c.pendingSince = now
	}
	if !v.ready {
		return true
	}
	peers := []rollout.Peer{{VM: a.id.VM, Serving: true, Updated: v.serving.Version == v.assignment.Version}}
	for _, m := range a.deps.Directory.Members(fleet.KindAgent) {
		if st := m.Status; st != nil && st.Group == v.assignment.Group && st.VM != a.id.VM {
			serving := st.Ready && !st.Leaving && !st.Cordoned
			peers = append(peers, rollout.Peer{VM: st.VM, Serving: serving, Updated: st.Version == v.assignment.Version})
		}
	}
	var waited time.Duration
	if !c.pendingSince.IsZero() {
		waited = now.Sub(c.pendingSince)
	}
	return rollout.MayLeaveRotation(a.id.VM, v.assignment.Version, peers, waited)
}

func (c *controller) pinnedRequestEvents() []rollout.Event {
	var events []rollout.Event
	for _, v := range c.loaded {
		events = append(events, rollout.RequestsPinned(v, c.a.admissions.PinnedRequests(c.a.targetKey, v)))
	}
	return events
}

// setWantedVersions tells the weights component which versions to fetch and
// keep.
func (c *controller) setWantedVersions(plan rollout.Plan) {
	if slices.Equal(c.wanted, plan.Want) {
		return
	}
	c.wanted = plan.Want
	var versions []port.WantedVersion
	for _, r := range plan.Want {
		versions = append(versions, port.WantedVersion{Model: r.Model, Version: r.Version})
	}
	c.a.deps.Weights.Want(versions)
}

// applyRotation makes admission pin new requests to the planned version, and
// updates the snapshot.
func (c *controller) applyRotation(plan rollout.Plan) {
	a := c.a
	ready := plan.Serving.Version != ""
	old := a.snapshot()
	a.admissions.SetServing(a.targetKey, ready, plan.Serving.Version, a.deps.Clock.Now())
	progress := a.deps.Weights.Progress()
	if s := a.rollouts.State(c.group, old.assignment.Version); s >= rollout.Loading {
		progress.State = s.String()
	}
	if progress.Reason == "" && plan.Serving.Version != old.assignment.Version {
		progress.Reason = c.reason
	}
	a.updateSnapshot(func(v *snapshot) { v.serving, v.ready, v.progress = plan.Serving, ready, progress })
	if old.serving != plan.Serving {
		a.deps.Log.StateChange("rotation changed", port.F("version", plan.Serving.Version))
	}
	a.notifyWatchers()
}

func (c *controller) reconcileService() {
	a := c.a
	v := a.snapshot()
	ready := a.deps.Service != nil && v.assignment.Service != "" && v.reachable
	a.admissions.SetServing(a.targetKey, ready, "", a.deps.Clock.Now())
	a.updateSnapshot(func(v *snapshot) { v.ready = ready })
	a.notifyWatchers()
}
