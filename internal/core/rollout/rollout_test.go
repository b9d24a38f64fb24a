package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// harness simulates an engine and its requests, controlled by the plans of a state
// machine.
type harness struct {
	t        *rapid.T
	table    *Table
	target   Ref
	overlap  declare.Overlap
	complete map[fleet.Version]bool
	loaded   []fleet.Version
	pinned   map[fleet.Version]int
	order    Action
	plan     Plan
}

// applyEvents applies the harness's state as events, checks the new plan, and
// releases the versions that the plan does not want.
func (h *harness) applyEvents() {
	var held []fleet.Version
	for v := range h.complete {
		held = append(held, v)
	}
	es := []Event{Assigned(h.target, h.overlap, "v1", "v2", "v3"), VersionsComplete(held), EngineReported(h.loaded)}
	for v, n := range h.pinned {
		es = append(es, RequestsPinned(v, n))
	}
	old := h.plan
	h.plan = h.table.Apply("g", es...)
	h.checkPlan(old)
	for v := range h.complete {
		if !slices.ContainsFunc(h.plan.Want, func(r Ref) bool { return r.Version == v }) {
			delete(h.complete, v)
		}
	}
}

func (h *harness) checkPlan(old Plan) {
	s, next := h.plan.Serving.Version, h.plan.Next
	if s != "" && !slices.Contains(h.loaded, s) {
		h.t.Fatalf("serves %s, engine holds %v", s, h.loaded)
	}
	switch next.Kind {
	case Load:
		if !h.complete[next.Ref.Version] {
			h.t.Fatalf("order to load %s, which is not complete", next.Ref.Version)
		}
		if len(h.loaded) > 1 || h.overlap == declare.DrainFirst && len(h.loaded) > 0 {
			h.t.Fatalf("order to load %s although %v are loaded", next.Ref.Version, h.loaded)
		}
	case Unload:
		if v := next.Ref.Version; h.pinned[v] > 0 || v == s {
			h.t.Fatalf("order to unload %s, which is in use", v)
		}
	}
	was := old.Serving
	if h.overlap == declare.KeepOld && was.Version != "" && slices.Contains(h.loaded, was.Version) && s == "" {
		h.t.Fatalf("left rotation although %s is still loaded", was.Version)
	}
}

// startOrder starts the next order of the plan.
func (h *harness) startOrder() {
	if h.plan.Next.Kind == NoAction {
		return
	}
	h.order = h.plan.Next
	h.table.Apply("g", OrderStarted(h.order))
	h.applyEvents()
}

// endOrder ends the order in progress. It takes effect if ok is true.
func (h *harness) endOrder(ok bool) {
	if h.order.Kind == NoAction {
		return
	}
	v := h.order.Ref.Version
	switch {
	case ok && h.order.Kind == Load:
		h.loaded = append(h.loaded, v)
	case ok:
		h.loaded = slices.DeleteFunc(h.loaded, func(x fleet.Version) bool { return x == v })
	}
	h.order = Action{}
	h.table.Apply("g", OrderEnded())
	h.applyEvents()
}

// setRequests sets the number of requests on the version being served to n, and on
// all others to zero.
func (h *harness) setRequests(n int) {
	for v := range h.pinned {
		h.pinned[v] = 0
	}
	if s := h.plan.Serving.Version; s != "" {
		h.pinned[s] = n
	}
	h.applyEvents()
}

// TestStateMachineInvariants guards, for any order of events, against an order to
// load an incomplete version, an unload of a version with requests, a third version
// in the engine, an interruption of service, and a rollout that never completes.
func TestStateMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, table: NewTable(), complete: map[fleet.Version]bool{}, pinned: map[fleet.Version]int{}}
		h.overlap = rapid.SampledFrom([]declare.Overlap{declare.KeepOld, declare.DrainFirst}).Draw(t, "overlap")
		retarget := func(t *rapid.T) {
			h.target = Ref{"m", fleet.Version(fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "v")))}
			h.applyEvents()
		}
		completeTarget := func(*rapid.T) { h.complete[h.target.Version] = true; h.applyEvents() }
		t.Repeat(map[string]func(*rapid.T){
			"retarget": retarget,
			"complete": completeTarget,
			"give":     func(*rapid.T) { h.startOrder() },
			"done":     func(*rapid.T) { h.endOrder(true) },
			"failed":   func(*rapid.T) { h.endOrder(false) },
			"requests": func(t *rapid.T) { h.setRequests(rapid.IntRange(0, 3).Draw(t, "n")) },
			"restart":  func(*rapid.T) { h.loaded = nil; h.endOrder(false); h.applyEvents() },
		})
		retarget(t)
		completeTarget(t)
		h.endOrder(true)
		for range 10 {
			h.setRequests(0)
			h.complete[h.target.Version] = true
			h.applyEvents()
			h.startOrder()
			h.endOrder(true)
		}
		if h.plan.Serving != h.target || len(h.loaded) != 1 {
			t.Fatalf("target %v, serves %v, engine holds %v", h.target, h.plan.Serving, h.loaded)
		}
	})
}

// TestAgentRestart guards against an agent that starts while its engine serves, and
// takes the engine out of rotation or fetches the old version again.
func TestAgentRestart(t *testing.T) {
	target := Ref{"m", "v2"}
	p := NewTable().Apply("g", Assigned(target, declare.KeepOld, "v1", "v2"), EngineReported([]fleet.Version{"v1"}))
	if p.Serving.Version != "v1" || p.Next.Kind != NoAction || len(p.Want) != 1 || p.Want[0] != target {
		t.Fatalf("plan %+v", p)
	}
	p = NewTable().Apply("g", Assigned(target, declare.KeepOld, "v2"), EngineReported([]fleet.Version{"v0"}))
	if p.Serving.Version != "" || p.Next.Kind != Unload {
		t.Fatalf("an undeclared version is served: %+v", p)
	}
}

// TestMayLeaveRotation guards against a group whose members all leave rotation at
// once, and against a rollout that waits forever for members that do not return.
func TestMayLeaveRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "members")
		peers := make([]Peer, n)
		for i := range peers {
			peers[i] = Peer{VM: fleet.VM(fmt.Sprint("vm", i)), Serving: rapid.IntRange(0, 4).Draw(t, "up") > 0}
		}
		for range 10 * n {
			var leave []int
			for i, p := range peers {
				if p.Serving && !p.Updated && MayLeaveRotation(p.VM, "v", peers, 0) {
					leave = append(leave, i)
				}
			}
			for _, i := range leave {
				peers[i].Serving = false
			}
			out := 0
			for _, p := range peers {
				if !p.Serving {
					out++
				}
			}
			if len(leave) > 0 && out > max(1, n/2) {
				t.Fatalf("%d of %d out of rotation", out, n)
			}
			for i := range peers {
				if !peers[i].Serving {
					peers[i] = Peer{VM: peers[i].VM, Serving: true, Updated: true}
				}
			}
		}
		for _, p := range peers {
			if !p.Updated {
				t.Fatalf("%s never had its turn", p.VM)
			}
		}
	})
	dead := []Peer{{VM: "a", Serving: true}, {VM: "b"}, {VM: "c"}, {VM: "d"}}
	if MayLeaveRotation("a", "v", dead, 0) || !MayLeaveRotation("a", "v", dead, MaxTurnWait) {
		t.Fatal("the wait for dead members must end after MaxTurnWait, and not earlier")
	}
}

// TestOrderGate guards against an order that is sent without a valid lease, before
// an unknown lease has lapsed, or with a fencing number that the engine refuses.
func TestOrderGate(t *testing.T) {
	t0 := time.Unix(1000, 0)
	expect := func(g *OrderGate, now time.Time, want Step, fence int64) {
		t.Helper()
		if d := g.NextStep(now); d.Step != want || d.Fence != fence || want == DeferOrder && d.Wait <= 0 {
			t.Fatalf("at %v got %+v, want step %d fence %d", now.Sub(t0), d, want, fence)
		}
	}
	at := func(d time.Duration) time.Time { return t0.Add(d) }

	g := NewOrderGate(t0)
	expect(&g, t0, AcquireLease, 0)
	g.LeaseAcquired(7, t0)
	expect(&g, at(time.Second), SendOrder, 7)
	expect(&g, at(LeaseDuration), AcquireLease, 0) // paused past the end of the lease
	g.SetEngineFence(20)
	g.LeaseAcquired(9, at(LeaseDuration))
	expect(&g, at(LeaseDuration), SendOrder, 21)

	g = NewOrderGate(t0)
	g.SetEngineFence(4)
	g.PlatformUnreachable(at(time.Millisecond))
	expect(&g, at(2*time.Millisecond), DeferOrder, 0)
	g.PlatformUnreachable(at(LeaseDuration - time.Millisecond))
	expect(&g, at(LeaseDuration-time.Millisecond), DeferOrder, 0)
	g.PlatformUnreachable(at(LeaseDuration))
	expect(&g, at(LeaseDuration), DeferOrder, 0) // a lease acquired just before the outage is still valid
	g.PlatformUnreachable(at(LeaseDuration + time.Millisecond))
	expect(&g, at(LeaseDuration+time.Millisecond), SendOrder, 5)

	g = NewOrderGate(t0)
	g.LeaseRefused(at(time.Minute))
	expect(&g, at(time.Minute), DeferOrder, 0)
	expect(&g, at(time.Minute+retryInterval), AcquireLease, 0)
	g.PlatformUnreachable(at(time.Minute + retryInterval))
	expect(&g, at(time.Minute+retryInterval), DeferOrder, 0)
	g.PlatformUnreachable(at(time.Minute + LeaseDuration))
	expect(&g, at(time.Minute+LeaseDuration), DeferOrder, 0)
	g.PlatformUnreachable(at(time.Minute + retryInterval + LeaseDuration))
	expect(&g, at(time.Minute+retryInterval+LeaseDuration), SendOrder, 1)

	// Another agent sent an order in between. An engine that restarted reports none.
	g.SetEngineFence(2)
	g.PlatformUnreachable(at(time.Minute + 2*LeaseDuration))
	expect(&g, at(time.Minute+2*LeaseDuration), DeferOrder, 0)
	g.SetEngineFence(0)
	expect(&g, at(time.Minute+2*LeaseDuration), SendOrder, 1)

	// The agent's own lease lapsed long ago; another agent may have acquired one since.
	g = NewOrderGate(t0)
	g.LeaseAcquired(7, t0)
	g.PlatformUnreachable(at(time.Minute))
	expect(&g, at(time.Minute), DeferOrder, 0)
	g.PlatformUnreachable(at(time.Minute + LeaseDuration))
	expect(&g, at(time.Minute+LeaseDuration), SendOrder, 1)
	g.PlatformUnreachable(at(time.Hour)) // the platform may have been reachable in between
	expect(&g, at(time.Hour), DeferOrder, 0)
}

// TestOrderValidityLapses guards against an order that is sent although the process
// was paused between the decision and the order, or in the middle of the order.
func TestOrderValidityLapses(t *testing.T) {
	t0 := time.Unix(1000, 0)
	end := t0.Add(LeaseDuration - leaseMargin)
	leased := NewOrderGate(t0)
	leased.LeaseAcquired(7, t0)
	unleased := NewOrderGate(t0.Add(-LeaseDuration))
	unleased.PlatformUnreachable(t0.Add(-LeaseDuration))
	unleased.PlatformUnreachable(t0)
	for name, g := range map[string]*OrderGate{"leased": &leased, "without the platform": &unleased} {
		d := g.NextStep(t0)
		var v OrderValidity
		v.Start(d)
		if d.Step != SendOrder || v.Lapsed(end.Add(-1)) || !v.Lapsed(end) {
			t.Fatalf("%s: decision %+v ends at another time than %v", name, d, end)
		}
		v.ExtendUnleased(end)
		if !v.Lapsed(end) {
			t.Fatalf("%s: lapsed order is valid again", name)
		}
		v.LeaseExtended(t0.Add(time.Second))
		if v.Lapsed(end) || !v.Lapsed(end.Add(time.Second)) {
			t.Fatalf("%s: validity not extended by a second", name)
		}
	}
}

// TestUnloadedTargetIsNotServed guards against an agent that leaves rotation because a version
// becomes the target again while the engine unloads it: it counted as served between the end
// of the order and the engine's report.
func TestUnloadedTargetIsNotServed(t *testing.T) {
	table := NewTable()
	table.Apply("g", Assigned(Ref{"m", "v1"}, declare.KeepOld, "v1", "v3"), VersionsComplete([]fleet.Version{"v1", "v3"}), EngineReported([]fleet.Version{"v3", "v1"}))
	unload := Action{Unload, Ref{Version: "v3"}}
	table.Apply("g", OrderStarted(unload), Assigned(Ref{"m", "v3"}, declare.KeepOld, "v1", "v3"))
	if p := table.Apply("g", OrderEnded()); p.Serving.Version != "v1" {
		t.Errorf("serves %q after the order to unload v3 has ended, want v1", p.Serving.Version)
	}
	if p := table.Apply("g", EngineReported([]fleet.Version{"v1"})); p.Serving.Version != "v1" {
		t.Errorf("serves %q after v3 was unloaded, want v1", p.Serving.Version)
	}
}
