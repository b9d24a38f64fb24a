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

func (dt *deploymentTest) engineOrders(n *harness.Node) (os []engine.Order) {
	dt.t.Helper()
	dt.must(harness.CallJSON(dt.t.Context(), http.MethodGet, "http://"+n.TargetAddr+"/orders", nil, &os))
	return os
}

// waitOrder waits until the engine of n has an order for a version under a
// number above the given one, or has carried it out, and returns its number.
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

// noOldOrders fails the test if an order began or took effect at the engine
// after one with a higher number had begun.
func (dt *deploymentTest) checkOrderSequence(n *harness.Node) {
	dt.t.Helper()
	os := dt.engineOrders(n)
	dt.t.Logf("orders of the engine of %s: %+v", n.Name, os)
	for _, x := range os {
		for _, y := range os {
			if y.Fence > x.Fence && (y.BeganSeq < x.BeganSeq || y.BeganSeq < x.DoneSeq) {
				dt.t.Errorf("order %+v came or took effect after %+v", x, y)
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
			dt := deploySlowLoads(t, check, "300ms")
			dt.startLoad()
			n := dt.agents("a", true)[0]
			v2 := dt.publish("v2", 2)
			dt.declareVersion("v2")
			old := dt.waitForOrder(n, v2, 0, false)
			dt.must(n.Proc.Pause())
			dt.logStep(n.Name + " is stopped with an order half given")
			next, err := dt.StartSuccessor(dt.ctx, n)
			dt.must(err)
			dt.logStep(next.Name + " is ready")
			dt.waitForOrder(n, v2, old, true)
			dt.logStep("its order is done")
			dt.must(n.Proc.Resume())
			dt.sleep(6 * time.Second) // the rest of the old order takes less
			dt.checkOrderSequence(n)
			dt.publish("v3", 3)
			dt.declareVersion("v3")
			dt.waitForOrder(n, dt.versions["v3"], old, true)
			dt.must(dt.WaitVersion(dt.ctx, waitBound, dt.versions["v3"]))
			dt.finish()
			dt.checkOrderSequence(n)
		})
	}
}

// TestOrderEndsWithLeaseWithoutPlatform guards against an agent that is cut off
// from the platform in the middle of an order, and goes on with it after another
// agent of the VM has got the lease.
func TestOrderEndsWithLeaseWithoutPlatform(t *testing.T) {
	dt := deploySlowLoads(t, false, "700ms")
	dt.startLoad()
	n := dt.agents("a", true)[0]
	v2 := dt.publish("v2", 2)
	dt.declareVersion("v2")
	old := dt.waitForOrder(n, v2, 0, false)
	dt.must(dt.SetLinkFaults(dt.ctx, harness.LinkPlatform, relay.Faults{Cut: true}, n))
	dt.logStep(n.Name + " is cut off from the platform in the middle of an order")
	next, err := dt.StartSuccessor(dt.ctx, n)
	dt.must(err)
	dt.logStep(next.Name + " is ready")
	dt.waitForOrder(n, v2, old, true)
	dt.must(n.Proc.Kill()) // two agents of one VM are told apart by the platform only
	dt.finish()
	dt.checkOrderSequence(n)
}
