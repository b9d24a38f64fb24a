package proof

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/standin/platform"
)

// Exit codes of masticwingctl.
const (
	exitDone     = 0
	exitConflict = 4
)

// applyAt runs masticwingctl apply for a change that is based on a revision.
func (dt *deploymentTest) applyAt(rev uint64, operator, text string) (string, int) {
	dt.t.Helper()
	file, err := dt.WriteFile(operator+".ini", text)
	dt.must(err)
	out, code, err := dt.Ctl(dt.t.Context(), "apply", "--platform", dt.PlatformAddr, "--operator", operator,
		"--revision", fmt.Sprint(rev), file)
	if err != nil {
		dt.t.Error(err)
	}
	return out, code
}

// TestOperatorsRace guards against two operators who both believe that their
// change of the same revision took effect, also when answers are lost.
func TestOperatorsRace(t *testing.T) {
	dt := deploy(t, nil)
	text := dt.Spec.RenderDeclaration(dt.versions, "v1")
	for rev := uint64(1); rev <= 6; rev++ {
		if rev > 3 {
			dt.setFaults(dt.PlatformAddr, platform.Faults{LoseWriteAnswers: 0.5})
		}
		var done, lost atomic.Int64
		var wg conc.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				switch out, code := dt.applyAt(rev, fmt.Sprintf("op%d", i), text); code {
				case exitDone:
					done.Add(1)
				case exitConflict:
					lost.Add(1)
				default:
					t.Errorf("exit code %d: %s", code, out)
				}
			})
		}
		wg.Wait()
		if done.Load() != 1 || lost.Load() != 2 {
			t.Errorf("revision %d: %d operators won and %d lost", rev, done.Load(), lost.Load())
		}
		dt.waitForRevision(configBound, rev+1, dt.Nodes()...)
	}
	dt.finish()
}

// TestLostAnswerOfApply guards against a change that is reported as failed, or
// made twice, because the answer to its write was lost.
func TestLostAnswerOfApply(t *testing.T) {
	dt := deploy(t, nil)
	dt.setFaults(dt.PlatformAddr, platform.Faults{LoseWriteAnswers: 1})
	text := dt.Spec.RenderDeclaration(dt.versions, "v1")
	for rev := uint64(1); rev <= 3; rev++ {
		out, code := dt.applyAt(rev, "op", text)
		if code != exitDone {
			t.Errorf("exit code %d: %s", code, out)
		}
		dt.waitForRevision(configBound, rev+1, dt.Nodes()...)
		if got, err := dt.revision(dt.Entries[0]); err != nil || got != rev+1 {
			t.Errorf("revision %d after one change of %d: %v", got, rev, err)
		}
	}
	dt.finish()
}
