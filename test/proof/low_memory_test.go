package proof

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/test/harness"
)

// deployLowMemory starts engines that have memory for only one version and take a second to
// load it.
func deployLowMemory(t *testing.T, overlap string) *deploymentTest {
	t.Helper()
	return deploy(t, func(s *harness.Spec) {
		s.Engine.MemoryBytes, s.Engine.LoadPerMiB = 3<<19, "1s"
		s.Overlap = overlap
	})
}

// checkVersionChange fails the test unless both versions served requests, each generate
// request was answered, and refusalsOK returns true for the number of loads that each engine
// refused for lack of memory.
func (dt *deploymentTest) checkVersionChange(v1, v2 string, refusalsOK func(int64) bool) {
	dt.t.Helper()
	dt.checkVersionsServed(v1, v2)
	dt.checkNoFailures(func(r requestRecord) bool { return r.isGenerate() })
	for _, n := range dt.EngineAgents() {
		c, err := harness.GetCounts(dt.t.Context(), n.TargetAddr)
		dt.must(err)
		dt.t.Logf("%s: %v", n.Name, c)
		if !refusalsOK(c["out_of_memory"]) {
			dt.t.Errorf("the engine of %s refused %d loads for lack of memory", n.Name, c["out_of_memory"])
		}
	}
}

// TestDrainFirstUnderLoad guards against a version change with drain-first that needs memory
// for two versions, fails requests, takes more than half of the machines out of rotation at
// once, or does not complete. Each machine has to leave the rotation, load the new version
// and return.
func TestDrainFirstUnderLoad(t *testing.T) {
	dt := deployLowMemory(t, "drain-first")
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	v1, v2 := dt.versions["v1"], dt.publish("v2", 2)
	dt.declareVersion("v2")
	dt.logStep("v2 declared")
	seenOut, maxOut := map[string]bool{}, 0
	dt.must(harness.WaitFor(dt.ctx, waitBound, "v2 everywhere", func() error {
		out, updated := 0, 0
		for _, n := range dt.EngineAgents() {
			var s harness.AgentStatus
			if err := harness.GetStatus(dt.ctx, n.Admin, &s); err != nil {
				return err
			}
			if !s.Ready {
				seenOut[n.Name] = true
				out++
			}
			if s.Version == v2 {
				updated++
			}
		}
		if maxOut = max(maxOut, out); updated < len(dt.EngineAgents()) {
			return errors.Errorf("%d machines serve the new version, %d are out of rotation", updated, out)
		}
		return nil
	}))
	dt.logStep("v2 is served everywhere")
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.t.Logf("left rotation: %v, at most %d at a time", seenOut, maxOut)
	if len(seenOut) != len(dt.EngineAgents()) || maxOut > len(dt.EngineAgents())/2 {
		t.Errorf("%d of %d machines were seen out of rotation, %d at a time", len(seenOut), len(dt.EngineAgents()), maxOut)
	}
	dt.checkVersionChange(v1, v2, func(n int64) bool { return n == 0 })
}

// TestKeepOldWithoutMemory declares a version change with keep-old for which the engines lack
// the memory. It guards against failed requests, an interruption of the service and a status
// without the reason why the change is stuck. Declared with drain-first, the change has to
// complete.
func TestKeepOldWithoutMemory(t *testing.T) {
	dt := deployLowMemory(t, "keep-old")
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	v1, v2 := dt.versions["v1"], dt.publish("v2", 2)
	dt.declareVersion("v2")
	dt.logStep("v2 declared")
	for _, n := range dt.EngineAgents() {
		dt.must(harness.WaitFor(dt.ctx, waitBound, "the reason for the stuck change of "+n.Name, func() error {
			out, _, err := dt.Ctl(dt.ctx, "status", "--peer", dt.Entries[0].RPC)
			for line := range strings.Lines(out) {
				if strings.HasPrefix(line, "stuck: "+n.Name+":") && strings.Contains(line, "not enough memory") {
					dt.logStep(strings.TrimSpace(line))
					return nil
				}
			}
			return errors.Errorf("status shows: %s %v", out, err)
		}))
	}
	dt.must(dt.WaitVersion(dt.ctx, configBound, v1))
	dt.Spec.Overlap = "drain-first"
	dt.declareVersion("v2")
	dt.logStep("v2 declared with drain-first")
	dt.must(dt.WaitVersion(dt.ctx, waitBound, v2))
	dt.logStep("v2 is served everywhere")
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.checkVersionChange(v1, v2, func(n int64) bool { return n > 0 })
}
