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

// applyAt runs masticwingctl apply for a change that is based on the given revision, and
// returns its output and exit exitCode.
func (dt *deploymentTest) applyAt(rev uint64, operator, text string) (string, int) {
	dt.t.Helper()
	file, err := dt.WriteFile(operator+".ini", text)
	dt.must(err)
	out, exitCode, err := dt.Ctl(dt.t.Context(), "apply", "--platform", dt.PlatformAddr, "--operator", operator,
		"--revision", fmt.Sprint(rev), file)
	if err != nil {
		dt.t.Error(err)
	}
	return out, exitCode
}

// TestOperatorsRace guards against two operators who are both told that their change of the
// same revision took effect. In half of the revisions, responses of the platform to writes
// are conflicts.
func TestOperatorsRace(t *testing.T) {
	dt := deploy(t, nil)
	text := dt.Spec.RenderDeclaration(dt.versions, "v1")
	for rev := uint64(1); rev <= 6; rev++ {
		if rev > 3 {
			dt.setFaults(dt.PlatformAddr, platform.Faults{LoseWriteAnswers: 0.5})
		}
		var applied, conflicts atomic.Int64
		var wg conc.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				switch out, exitCode := dt.applyAt(rev, fmt.Sprintf("op%d", i), text); exitCode {
				case exitDone:
					applied.Add(1)
				case exitConflict:
					conflicts.Add(1)
				default:
					t.Errorf("exit code %d: %s", exitCode, out)
				}
			})
		}
		wg.Wait()
		if applied.Load() != 1 || conflicts.Load() != 2 {
			t.Errorf("revision %d: %d operators succeeded and %d got a conflict, want 1 and 2", rev, applied.Load(), conflicts.Load())
		}
		dt.waitForRevision(configBound, rev+1, dt.Nodes()...)
	}
	dt.finish()
}

// TestLostResponseToApply guards against a change that is reported as failed, or applied twice,
// because the platform's response to its write was conflicts.
func TestLostResponseToApply(t *testing.T) {
	dt := deploy(t, nil)
	dt.setFaults(dt.PlatformAddr, platform.Faults{LoseWriteAnswers: 1})
	text := dt.Spec.RenderDeclaration(dt.versions, "v1")
	for rev := uint64(1); rev <= 3; rev++ {
		out, exitCode := dt.applyAt(rev, "op", text)
		if exitCode != exitDone {
			t.Errorf("exit code %d: %s", exitCode, out)
		}
		dt.waitForRevision(configBound, rev+1, dt.Nodes()...)
		if got, err := dt.revision(dt.Entries[0]); err != nil || got != rev+1 {
			t.Errorf("revision %d after one change of revision %d: %v", got, rev, err)
		}
	}
	dt.finish()
}
