package proof

import (
	"net/http"
	"testing"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

// heavyLoadCallers is the number of callers per entry that keeps every engine above the
// limit of a cold engine, while the other engines can still take the load of one that is
// cold. With 16 callers the engines were full while one was cold, and a request could be
// refused as target_full.
const heavyLoadCallers = 10

// TestColdRestart guards against more load on a target that has just started than it can
// handle. Under load, the engines restart without their weights, one after the other.
func TestColdRestart(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoadWithCallers(heavyLoadCallers)
	dt.sleep(time.Second)
	for _, n := range dt.EngineAgents() {
		dt.restartEngine(n)
		dt.sleep(2 * time.Second)
	}
	dt.must(dt.WaitVersion(dt.ctx, waitBound, dt.versions["v1"]))
	dt.sleep(time.Second)
	dt.finish()
	dt.checkNoOverload()
	dt.checkNoFailures(func(r requestRecord) bool { return r.isGenerate() && len(r.response.Lines) == 0 })
}

// TestCachesLost guards against sending the load of a warm engine to one that has lost its
// caches and kept its weights.
func TestCachesLost(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoadWithCallers(heavyLoadCallers)
	dt.sleep(time.Second)
	for _, n := range dt.EngineAgents() {
		dt.logStep("engine of " + n.Name + " loses its caches")
		dt.must(harness.CallJSON(dt.ctx, http.MethodPost, "http://"+n.TargetAddr+"/cold", nil, nil))
		dt.sleep(time.Second)
	}
	dt.finish()
	dt.checkNoOverload()
}

// TestCachesLostBeforeLoad guards against sending the load of a warm engine to one that has
// lost its caches while it was idle. No request may run between the loss and the load, since
// each request that a cold engine completes raises its limit by one.
func TestCachesLostBeforeLoad(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoadWithCallers(heavyLoadCallers)
	dt.sleep(time.Second)
	dt.loadGenerator.stop()
	for _, n := range dt.EngineAgents() {
		dt.must(harness.CallJSON(dt.ctx, http.MethodPost, "http://"+n.TargetAddr+"/cold", nil, nil))
	}
	dt.logStep("all engines have lost their caches")
	dt.sleep(time.Second) // the agents query their engines in this time
	dt.startLoadWithCallers(heavyLoadCallers)
	dt.sleep(2 * time.Second)
	dt.finish()
	dt.checkNoOverload()
	dt.checkNoFailures(func(r requestRecord) bool { return r.isGenerate() })
}

// checkNoOverload fails the test if an engine got more requests at once than it could handle.
func (dt *deploymentTest) checkNoOverload() {
	dt.t.Helper()
	for _, n := range dt.EngineAgents() {
		c, err := harness.GetCounts(dt.t.Context(), n.TargetAddr)
		dt.must(err)
		dt.t.Logf("%s: %v", n.Name, c)
		if c["overload"] > 0 {
			dt.t.Errorf("the engine of %s was overloaded %d times", n.Name, c["overload"])
		}
	}
}
