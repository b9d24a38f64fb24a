package verdict

import (
	"testing"

	"github.com/pkg/errors"
)

// TestUnknownErrorsMayHaveRun guards against a "not run" verdict for an error
// or text that says nothing about the request.
func TestUnknownErrorsMayHaveRun(t *testing.T) {
	if v := FromError(errors.New("connection reset")).Verdict; v != MayHaveRun {
		t.Fatalf("verdict = %v, want %v", v, MayHaveRun)
	}
	if v := Parse("garbage"); v != MayHaveRun {
		t.Fatalf("Parse(garbage) = %v, want %v", v, MayHaveRun)
	}
}

// TestWrappedErrorKeepsVerdict guards against losing the verdict when a caller
// wraps the error.
func TestWrappedErrorKeepsVerdict(t *testing.T) {
	err := errors.Wrap(New(NotRun, CodeTargetFull, "10 of 10 requests"), "opening stream")
	e := FromError(err)
	if e.Verdict != NotRun || e.Code != CodeTargetFull {
		t.Fatalf("FromError = %v %v, want not-run target_full", e.Verdict, e.Code)
	}
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if Parse(v.String()) != v {
			t.Fatalf("Parse(%q) = %v", v.String(), Parse(v.String()))
		}
	}
}

// TestAfterStart guards against the verdict not-run for a request whose answer has
// begun, and against a weaker verdict for one that ran.
func TestAfterStart(t *testing.T) {
	for before, want := range map[Verdict]Verdict{NotRun: MayHaveRun, MayHaveRun: MayHaveRun, Ran: Ran} {
		if got := New(before, CodeTargetError, "x").AfterStart(); got.Verdict != want || got.Code != CodeTargetError {
			t.Errorf("%v became %v, want %v", before, got, want)
		}
	}
}
