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

// world is an engine and its requests, driven by a machine's plans.
type world struct {
	t        *rapid.T
	tb       *Table
	target   Ref
	overlap  declare.Overlap
	complete map[fleet.Version]bool
	loaded   []fleet.Version
	busy     map[fleet.Version]int
	order    Action
	plan     Plan
}

func (w *world) step() {
	var held []fleet.Version
	for v := range w.complete {
		held = append(held, v)
	}
	es := []Event{Assigned(w.target, w.overlap, "v1", "v2", "v3"), HeldComplete(held), EngineReported(w.loaded)}
	for v, n := range w.busy {
		es = append(es, Busy(v, n))
	}
	old := w.plan
	w.plan = w.tb.Apply("g", es...)
	w.check(old)
	// What is not wanted is released.
	for v := range w.complete {
		if !slices.ContainsFunc(w.plan.Want, func(r Ref) bool { return r.Version == v }) {
			delete(w.complete, v)
		}
	}
}

func (w *world) check(old Plan) {
	s, next := w.plan.Serving.Version, w.plan.Next
	if s != "" && !slices.Contains(w.loaded, s) {
		w.t.Fatalf("serves %s, engine holds %v", s, w.loaded)
	}
	switch next.Kind {
	case Load:
		if !w.complete[next.Ref.Version] {
			w.t.Fatalf("order to load %s, which is not complete", next.Ref.Version)
		}
		if len(w.loaded) > 1 || w.overlap == declare.DrainFirst && len(w.loaded) > 0 {
			w.t.Fatalf("order to load %s beside %v", next.Ref.Version, w.loaded)
		}
	case Unload:
		if v := next.Ref.Version; w.busy[v] > 0 || v == s {
			w.t.Fatalf("order to unload %s in use", v)
		}
	}
	was := old.Serving
	if w.overlap == declare.KeepOld && was.Version != "" && slices.Contains(w.loaded, was.Version) && s == "" {
		w.t.Fatalf("left rotation without need; %s is loaded", was.Version)
	}
}

// give starts the next order; end finishes it, well or not.
func (w *world) give() {
	if w.plan.Next.Kind == Wait {
		return
	}
	w.order = w.plan.Next
	w.tb.Apply("g", OrderStarted(w.order))
	w.step()
}

func (w *world) end(ok bool) {
	if w.order.Kind == Wait {
		return
	}
	v := w.order.Ref.Version
	switch {
	case ok && w.order.Kind == Load:
		w.loaded = append(w.loaded, v)
	case ok:
		w.loaded = slices.DeleteFunc(w.loaded, func(x fleet.Version) bool { return x == v })
	}
	w.order = Action{}
	w.tb.Apply("g", OrderEnded())
	w.step()
}

func (w *world) requests(n int) {
	for v := range w.busy {
		w.busy[v] = 0
	}
	if s := w.plan.Serving.Version; s != "" {
		w.busy[s] = n
	}
	w.step()
}

// TestMachineProperty guards against orders for incomplete versions, an unload
// under requests, a third version in the engine, a gap in service, and a
// rollout that never arrives, under any order of events.
func TestMachineProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, tb: NewTable(), complete: map[fleet.Version]bool{}, busy: map[fleet.Version]int{}}
		w.overlap = rapid.SampledFrom([]declare.Overlap{declare.KeepOld, declare.DrainFirst}).Draw(t, "overlap")
		retarget := func(t *rapid.T) {
			w.target = Ref{"m", fleet.Version(fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "v")))}
			w.step()
		}
		finish := func(*rapid.T) { w.complete[w.target.Version] = true; w.step() }
		t.Repeat(map[string]func(*rapid.T){
			"retarget": retarget,
			"complete": finish,
			"give":     func(*rapid.T) { w.give() },
			"done":     func(*rapid.T) { w.end(true) },
			"failed":   func(*rapid.T) { w.end(false) },
			"requests": func(t *rapid.T) { w.requests(rapid.IntRange(0, 3).Draw(t, "n")) },
			"restart":  func(*rapid.T) { w.loaded = nil; w.end(false); w.step() },
		})
		retarget(t)
		finish(t)
		w.end(true)
		for range 10 {
			w.requests(0)
			w.complete[w.target.Version] = true
			w.step()
			w.give()
			w.end(true)
		}
		if w.plan.Serving != w.target || len(w.loaded) != 1 {
			t.Fatalf("target %v, serves %v, engine holds %v", w.target, w.plan.Serving, w.loaded)
		}
	})
}

// TestAgentRestart guards against an agent that starts beside a serving engine
// and takes it out of rotation, or fetches the old version again.
func TestAgentRestart(t *testing.T) {
	target := Ref{"m", "v2"}
	p := NewTable().Apply("g", Assigned(target, declare.KeepOld, "v1", "v2"), EngineReported([]fleet.Version{"v1"}))
	if p.Serving.Version != "v1" || p.Next.Kind != Wait || len(p.Want) != 1 || p.Want[0] != target {
		t.Fatalf("plan %+v", p)
	}
	p = NewTable().Apply("g", Assigned(target, declare.KeepOld, "v2"), EngineReported([]fleet.Version{"v0"}))
	if p.Serving.Version != "" || p.Next.Kind != Unload {
		t.Fatalf("a version that is not declared is served: %+v", p)
	}
}

// TestTurns guards against a group that leaves rotation all at once, and
// against a change that waits for ever for members that do not come back.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "members")
		peers := make([]Peer, n)
		for i := range peers {
			peers[i] = Peer{VM: fleet.VM(fmt.Sprint("vm", i)), Serving: rapid.IntRange(0, 4).Draw(t, "up") > 0}
		}
		for range 10 * n {
			var leave []int
			for i, p := range peers {
				if p.Serving && !p.Updated && MayLeave(p.VM, "v", peers, 0) {
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
	if MayLeave("a", "v", dead, 0) || !MayLeave("a", "v", dead, TurnPatience) {
		t.Fatal("the wait for dead members must end, and not before its time")
	}
}

// TestGate guards against an order without a valid lease, before an unknown
// lease has lapsed, or under a number that a checking engine refuses.
func TestGate(t *testing.T) {
	t0 := time.Unix(1000, 0)
	expect := func(g *Gate, now time.Time, want Step, fence int64) {
		t.Helper()
		if d := g.Next(now); d.Step != want || d.Fence != fence || want == Hold && d.Wait <= 0 {
			t.Fatalf("at %v got %+v, want step %d fence %d", now.Sub(t0), d, want, fence)
		}
	}
	at := func(d time.Duration) time.Time { return t0.Add(d) }

	g := NewGate(t0)
	expect(&g, t0, Acquire, 0)
	g.Acquired(7, t0)
	expect(&g, at(time.Second), Give, 7)
	expect(&g, at(LeaseTime), Acquire, 0) // paused past the lease
	g.EngineFence(20)
	g.Acquired(9, at(LeaseTime))
	expect(&g, at(LeaseTime), Give, 21)

	g = NewGate(t0)
	g.EngineFence(4)
	g.Unreachable(at(time.Millisecond))
	expect(&g, at(2*time.Millisecond), Hold, 0)
	g.Unreachable(at(LeaseTime - time.Millisecond))
	expect(&g, at(LeaseTime-time.Millisecond), Hold, 0)
	g.Unreachable(at(LeaseTime))
	expect(&g, at(LeaseTime), Hold, 0) // a lease taken before the outage may last a little longer
	g.Unreachable(at(LeaseTime + time.Millisecond))
	expect(&g, at(LeaseTime+time.Millisecond), Give, 5)

	g = NewGate(t0)
	g.Refused(at(time.Minute))
	expect(&g, at(time.Minute), Hold, 0)
	expect(&g, at(time.Minute+retryEvery), Acquire, 0)
	g.Unreachable(at(time.Minute + retryEvery))
	expect(&g, at(time.Minute+retryEvery), Hold, 0)
	g.Unreachable(at(time.Minute + LeaseTime))
	expect(&g, at(time.Minute+LeaseTime), Hold, 0)
	g.Unreachable(at(time.Minute + retryEvery + LeaseTime))
	expect(&g, at(time.Minute+retryEvery+LeaseTime), Give, 1)

	// Another agent has given an order since; an engine that restarted has none.
	g.EngineFence(2)
	g.Unreachable(at(time.Minute + 2*LeaseTime))
	expect(&g, at(time.Minute+2*LeaseTime), Hold, 0)
	g.EngineFence(0)
	expect(&g, at(time.Minute+2*LeaseTime), Give, 1)

	// Its own lease has lapsed long ago; another holder may have come since.
	g = NewGate(t0)
	g.Acquired(7, t0)
	g.Unreachable(at(time.Minute))
	expect(&g, at(time.Minute), Hold, 0)
	g.Unreachable(at(time.Minute + LeaseTime))
	expect(&g, at(time.Minute+LeaseTime), Give, 1)
	g.Unreachable(at(time.Hour)) // the platform may have been back meanwhile
	expect(&g, at(time.Hour), Hold, 0)
}

// TestOrderLapses guards against an order that goes on after the process was
// paused between the decision and the order, or in the middle of it.
func TestOrderLapses(t *testing.T) {
	t0 := time.Unix(1000, 0)
	end := t0.Add(LeaseTime - leaseMargin)
	leased := NewGate(t0)
	leased.Acquired(7, t0)
	alone := NewGate(t0.Add(-LeaseTime))
	alone.Unreachable(t0.Add(-LeaseTime))
	alone.Unreachable(t0)
	for name, g := range map[string]*Gate{"leased": &leased, "without the platform": &alone} {
		d := g.Next(t0)
		var v Validity
		v.Start(d)
		if d.Step != Give || v.Lapsed(end.Add(-1)) || !v.Lapsed(end) {
			t.Fatalf("%s: decision %+v ends at another time than %v", name, d, end)
		}
		v.Alive(end)
		if !v.Lapsed(end) {
			t.Fatalf("%s: lapsed order is alive again", name)
		}
		v.Extended(t0.Add(time.Second))
		if v.Lapsed(end) || !v.Lapsed(end.Add(time.Second)) {
			t.Fatalf("%s: not extended by a second", name)
		}
	}
}
