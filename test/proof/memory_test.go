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
func memoryForOne(t *testing.T, overlap string) *world {
	t.Helper()
	return deploy(t, func(s *harness.Spec) {
		s.Engine.MemoryBytes, s.Engine.LoadPerMiB = 3<<19, "1s"
		s.Overlap = overlap
	})
}

// checkChange fails the test unless both versions served, each generate request
// was answered, and every engine refused as many loads as expected.
func (w *world) checkChange(v1, v2 string, refusals func(int64) bool) {
	w.t.Helper()
	w.served(v1, v2)
	w.allAnswered(func(r record) bool { return r.generate() })
	for _, n := range w.EngineAgents() {
		c, err := harness.GetCounts(w.t.Context(), n.TargetAddr)
		w.must(err)
		w.t.Logf("%s: %v", n.Name, c)
		if !refusals(c["out_of_memory"]) {
			w.t.Errorf("the engine of %s refused %d loads for want of memory", n.Name, c["out_of_memory"])
		}
	}
}

// TestDrainFirstUnderLoad guards against a change that needs the memory for two
// versions, cuts or fails requests, takes more than half of the machines out of
// rotation at a time, or does not end: each machine leaves the rotation, loads
// the new version and returns.
func TestDrainFirstUnderLoad(t *testing.T) {
	w := memoryForOne(t, "drain-first")
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	v1, v2 := w.versions["v1"], w.publish("v2", 2)
	w.declare("v2")
	w.note("v2 is declared")
	left, most := map[string]bool{}, 0
	w.must(harness.WaitFor(w.ctx, waitBound, "v2 everywhere", func() error {
		out, done := 0, 0
		for _, n := range w.EngineAgents() {
			var s harness.AgentStatus
			if err := harness.GetStatus(w.ctx, n.Admin, &s); err != nil {
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
		if most = max(most, out); done < len(w.EngineAgents()) {
			return errors.Errorf("%d machines are done, %d are out of rotation", done, out)
		}
		return nil
	}))
	w.note("v2 is served everywhere")
	w.sleep(500 * time.Millisecond)
	w.finish()
	w.t.Logf("left rotation: %v, at most %d at a time", left, most)
	if len(left) != len(w.EngineAgents()) || most > len(w.EngineAgents())/2 {
		t.Errorf("%d of %d machines were seen out of rotation, %d at a time", len(left), len(w.EngineAgents()), most)
	}
	w.checkChange(v1, v2, func(n int64) bool { return n == 0 })
}

// TestKeepOldWithoutMemory guards against a change with keep-old that the
// engines have no memory for, and that fails requests, stops service or does not
// say why it stands still. Declared with drain-first, it goes on.
func TestKeepOldWithoutMemory(t *testing.T) {
	w := memoryForOne(t, "keep-old")
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	v1, v2 := w.versions["v1"], w.publish("v2", 2)
	w.declare("v2")
	w.note("v2 is declared")
	for _, n := range w.EngineAgents() {
		w.must(harness.WaitFor(w.ctx, waitBound, "the reason at "+n.Name, func() error {
			out, _, err := w.Ctl(w.ctx, "status", "--peer", w.Entries[0].RPC)
			for line := range strings.Lines(out) {
				if strings.HasPrefix(line, "stuck: "+n.Name+":") && strings.Contains(line, "not enough memory") {
					w.note(strings.TrimSpace(line))
					return nil
				}
			}
			return errors.Errorf("status shows: %s %v", out, err)
		}))
	}
	w.must(w.WaitVersion(w.ctx, configBound, v1))
	w.Spec.Overlap = "drain-first"
	w.declare("v2")
	w.note("v2 is declared with drain-first")
	w.must(w.WaitVersion(w.ctx, waitBound, v2))
	w.note("v2 is served everywhere")
	w.sleep(500 * time.Millisecond)
	w.finish()
	w.checkChange(v1, v2, func(n int64) bool { return n > 0 })
}
