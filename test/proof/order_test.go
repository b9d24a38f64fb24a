package proof

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/standin/engine"
	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// deployLongLoads starts machines whose loads take as long as given. The
// weights are larger than what sockets hold, so that an agent takes part in a
// load until shortly before its end. The engines bear the requests of two agents,
// which do not share their counts, also right after a load.
func deployLongLoads(t *testing.T, checkFence bool, perMiB string) *world {
	t.Helper()
	return deploy(t, func(s *harness.Spec) {
		s.Origin.Size, s.Origin.Chunk = "16MiB", "256KiB"
		s.Engine.CheckFence, s.Engine.LoadPerMiB = checkFence, perMiB
		s.Engine.ColdRequests = s.Engine.MaxRequests
		for i := range s.Domains {
			s.Domains[i].Engines = 1
		}
		s.RelayedLinks = []harness.Link{harness.LinkPlatform}
	})
}

func (w *world) orders(n *harness.Node) (os []engine.Order) {
	w.t.Helper()
	w.must(harness.CallJSON(w.t.Context(), http.MethodGet, "http://"+n.TargetAddr+"/orders", nil, &os))
	return os
}

// waitOrder waits until the engine of n has an order for a version under a
// number above the given one, or has carried it out, and returns its number.
func (w *world) waitOrder(n *harness.Node, version string, above int64, done bool) int64 {
	w.t.Helper()
	fence := int64(0)
	w.must(harness.WaitFor(w.ctx, waitBound, "an order for "+version, func() error {
		for _, o := range w.orders(n) {
			if o.Version == version && o.Fence > above && (!done || o.DoneSeq > 0) {
				fence = o.Fence
				return nil
			}
		}
		return errors.Errorf("orders: %+v", w.orders(n))
	}))
	return fence
}

// noOldOrders fails the test if an order began or took effect at the engine
// after one with a higher number had begun.
func (w *world) noOldOrders(n *harness.Node) {
	w.t.Helper()
	os := w.orders(n)
	w.t.Logf("orders of the engine of %s: %+v", n.Name, os)
	for _, x := range os {
		for _, y := range os {
			if y.Fence > x.Fence && (y.BeganSeq < x.BeganSeq || y.BeganSeq < x.DoneSeq) {
				w.t.Errorf("order %+v came or took effect after %+v", x, y)
			}
		}
	}
}

// TestPausedAgentGivesNoOldOrder guards against an agent that is stopped in the
// middle of an order for longer than its order lease, and ends the order when it
// goes on, although another agent of the VM has given orders meanwhile.
func TestPausedAgentGivesNoOldOrder(t *testing.T) {
	for name, check := range map[string]bool{"ignored": false, "checked": true} {
		t.Run(name, func(t *testing.T) {
			w := deployLongLoads(t, check, "300ms")
			w.startLoad()
			n := w.agents("a", true)[0]
			v2 := w.publish("v2", 2)
			w.declare("v2")
			old := w.waitOrder(n, v2, 0, false)
			w.must(n.Proc.Pause())
			w.note(n.Name + " is stopped with an order half given")
			next, err := w.StartSuccessor(w.ctx, n)
			w.must(err)
			w.note(next.Name + " is ready")
			w.waitOrder(n, v2, old, true)
			w.note("its order is done")
			w.must(n.Proc.Resume())
			w.sleep(6 * time.Second) // the rest of the old order takes less
			w.noOldOrders(n)
			w.publish("v3", 3)
			w.declare("v3")
			w.waitOrder(n, w.versions["v3"], old, true)
			w.must(w.WaitVersion(w.ctx, waitBound, w.versions["v3"]))
			w.finish()
			w.noOldOrders(n)
		})
	}
}

// TestOrderEndsWithLeaseWithoutPlatform guards against an agent that is cut off
// from the platform in the middle of an order, and goes on with it after another
// agent of the VM has got the lease.
func TestOrderEndsWithLeaseWithoutPlatform(t *testing.T) {
	w := deployLongLoads(t, false, "700ms")
	w.startLoad()
	n := w.agents("a", true)[0]
	v2 := w.publish("v2", 2)
	w.declare("v2")
	old := w.waitOrder(n, v2, 0, false)
	w.must(w.SetLinkFaults(w.ctx, harness.LinkPlatform, relay.Faults{Cut: true}, n))
	w.note(n.Name + " is cut off from the platform in the middle of an order")
	next, err := w.StartSuccessor(w.ctx, n)
	w.must(err)
	w.note(next.Name + " is ready")
	w.waitOrder(n, v2, old, true)
	w.must(n.Proc.Kill()) // two agents of one VM are told apart by the platform only
	w.finish()
	w.noOldOrders(n)
}
