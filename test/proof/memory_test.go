package proof

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/test/harness"
)

// memoryForOne starts machines whose engines have the memory for one version
// and take a second to load it.
func deployLowMemory(t *testing.T, overlap string) *deploymentTest {
	t.Helper()
	return deploy(t, func(s *harness.Spec) {
		s.Engine.MemoryBytes, s.Engine.LoadPerMiB = 3<<19, "1s"
		s.Overlap = overlap
	})
}

// checkChange fails the test unless both versions served, each generate request
// was answered, and every engine refused as many loads as expected.
func (dt *deploymentTest) checkVersionChange(v1, v2 string, refusals func(int64) bool) {
	dt.t.Helper()
	dt.checkVersionsServed(v1, v2)
	dt.checkAllAnswered(func(r requestRecord) bool { return r.isGenerate() })
	for _, n := range dt.EngineAgents() {
		c, err := harness.GetCounts(dt.t.Context(), n.TargetAddr)
		dt.must(err)
		dt.t.Logf("%s: %v", n.Name, c)
		if !refusals(c["out_of_memory"]) {
			dt.t.Errorf("the engine of %s refused %d loads for want of memory", n.Name, c["out_of_memory"])
		}
	}
}

// TestDrainFirstUnderLoad guards against a change that needs the memory for two
// versions, cuts or fails requests, takes more than half of the machines out of
// rotation at a time, or does not end: each machine leaves the rotation, loads
// the new version and returns.
func TestDrainFirstUnderLoad(t *testing.T) {
	dt := deployLowMemory(t, "drain-first")
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	v1, v2 := dt.versions["v1"], dt.publish("v2", 2)
	dt.declareVersion("v2")
	dt.logStep("v2 is declared")
	left, most := map[string]bool{}, 0
	dt.must(harness.WaitFor(dt.ctx, waitBound, "v2 everywhere", func() error {
		out, done := 0, 0
		for _, n := range dt.EngineAgents() {
			var s harness.AgentStatus
			if err := harness.GetStatus(dt.ctx, n.Admin, &s); err != nil {
				return err
			}
			if !s.Ready {
				left[n.Name] = true
				out++
			}
			if s.Version == v2 {
				done++
			}
		}
		if most = max(most, out); done < len(dt.EngineAgents()) {
			return errors.Errorf("%d machines are done, %d are out of rotation", done, out)
		}
		return nil
	}))
	dt.logStep("v2 is served everywhere")
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.t.Logf("left rotation: %v, at most %d at a time", left, most)
	if len(left) != len(dt.EngineAgents()) || most > len(dt.EngineAgents())/2 {
		t.Errorf("%d of %d machines were seen out of rotation, %d at a time", len(left), len(dt.EngineAgents()), most)
	}
	dt.checkVersionChange(v1, v2, func(n int64) bool { return n == 0 })
}

// TestKeepOldWithoutMemory guards against a change with keep-old that the
// engines have no memory for, and that fails requests, stops service or does not
// say why it stands still. Declared with drain-first, it goes on.
func TestKeepOldWithoutMemory(t *testing.T) {
	dt := deployLowMemory(t, "keep-old")
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	v1, v2 := dt.versions["v1"], dt.publish("v2", 2)
	dt.declareVersion("v2")
	dt.logStep("v2 is declared")
	for _, n := range dt.EngineAgents() {
		dt.must(harness.WaitFor(dt.ctx, waitBound, "the reason at "+n.Name, func() error {
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
	dt.logStep("v2 is declared with drain-first")
	dt.must(dt.WaitVersion(dt.ctx, waitBound, v2))
	dt.logStep("v2 is served everywhere")
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.checkVersionChange(v1, v2, func(n int64) bool { return n > 0 })
}
