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

// deploySlowLoads starts engines that take the time perMiB to load each MiB of weights. The
// weights exceed the socket buffers, so that the agent is still sending until shortly before
// the end of a load. Right after a load, the engines accept as many requests as when they are
// warm, because two agents of one VM do not share their counts of requests.
func deploySlowLoads(t *testing.T, checkFence bool, perMiB string) *deploymentTest {
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

// engineOrders returns the load orders that the engine of a node has received.
func (dt *deploymentTest) engineOrders(n *harness.Node) (orders []engine.Order) {
	dt.t.Helper()
	dt.must(harness.CallJSON(dt.t.Context(), http.MethodGet, "http://"+n.TargetAddr+"/orders", nil, &orders))
	return orders
}

// waitForOrder waits until the engine of n has received an order for a version with a
// fencing number above the given one, and has completed it if done is set. It returns the
// fencing number.
func (dt *deploymentTest) waitForOrder(n *harness.Node, version string, above int64, done bool) int64 {
	dt.t.Helper()
	fence := int64(0)
	dt.must(harness.WaitFor(dt.ctx, waitBound, "an order for "+version, func() error {
		for _, o := range dt.engineOrders(n) {
			if o.Version == version && o.Fence > above && (!done || o.DoneSeq > 0) {
				fence = o.Fence
				return nil
			}
		}
		return errors.Errorf("orders: %+v", dt.engineOrders(n))
	}))
	return fence
}

// checkOrderSequence fails the test if an order began or took effect at the engine after an
// order with a higher fencing number had begun.
func (dt *deploymentTest) checkOrderSequence(n *harness.Node) {
	dt.t.Helper()
	orders := dt.engineOrders(n)
	dt.t.Logf("orders of the engine of %s: %+v", n.Name, orders)
	for _, x := range orders {
		for _, y := range orders {
			if y.Fence > x.Fence && (y.BeganSeq < x.BeganSeq || y.BeganSeq < x.DoneSeq) {
				dt.t.Errorf("order %+v began or took effect after the start of %+v", x, y)
			}
		}
	}
}

// TestPausedAgentCompletesNoStaleOrder guards against an agent that is paused during an order for
// longer than its order lease, and completes the order after it resumes although another
// agent of the VM has sent orders in between.
func TestPausedAgentCompletesNoStaleOrder(t *testing.T) {
	for name, checkFence := range map[string]bool{"ignored": false, "checked": true} {
		t.Run(name, func(t *testing.T) {
			dt := deploySlowLoads(t, checkFence, "300ms")
			dt.startLoad()
			n := dt.agents("a", true)[0]
			v2 := dt.publish("v2", 2)
			dt.declareVersion("v2")
			oldFence := dt.waitForOrder(n, v2, 0, false)
			dt.must(n.Proc.Pause())
			dt.logStep(n.Name + " is paused during an order")
			next, err := dt.StartSuccessor(dt.ctx, n)
			dt.must(err)
			dt.logStep(next.Name + " is ready")
			dt.waitForOrder(n, v2, oldFence, true)
			dt.logStep("its order has completed")
			dt.must(n.Proc.Resume())
			dt.sleep(6 * time.Second) // longer than the rest of the old order takes
			dt.checkOrderSequence(n)
			dt.publish("v3", 3)
			dt.declareVersion("v3")
			dt.waitForOrder(n, dt.versions["v3"], oldFence, true)
			dt.must(dt.WaitVersion(dt.ctx, waitBound, dt.versions["v3"]))
			dt.finish()
			dt.checkOrderSequence(n)
		})
	}
}

// TestOrderStopsWithLeaseWithoutPlatform guards against an agent that is cut off from the
// platform during an order and continues the order after another agent of the VM has acquired
// the order lease.
func TestOrderStopsWithLeaseWithoutPlatform(t *testing.T) {
	dt := deploySlowLoads(t, false, "700ms")
	dt.startLoad()
	n := dt.agents("a", true)[0]
	v2 := dt.publish("v2", 2)
	dt.declareVersion("v2")
	oldFence := dt.waitForOrder(n, v2, 0, false)
	dt.must(dt.SetLinkFaults(dt.ctx, harness.LinkPlatform, relay.Faults{Cut: true}, n))
	dt.logStep(n.Name + " is cut off from the platform during an order")
	next, err := dt.StartSuccessor(dt.ctx, n)
	dt.must(err)
	dt.logStep(next.Name + " is ready")
	dt.waitForOrder(n, v2, oldFence, true)
	dt.must(n.Proc.Kill()) // only the platform can distinguish two agents of one VM
	dt.finish()
	dt.checkOrderSequence(n)
}
