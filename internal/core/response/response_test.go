package response

import (
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestOneResponse guards against a second response, or data, after a response that is not open, and against a response
// that counts as complete without its end.
func TestOneResponse(t *testing.T) {
	for name, c := range map[string]struct {
		calls    func(p *Progress) error
		err      error
		complete bool
	}{
		"whole":               {func(p *Progress) error { return first(p.Begin(), p.Continue(), p.Continue(), p.End()) }, nil, true},
		"refused":             {func(p *Progress) error { return p.Refuse() }, nil, true},
		"not ended":           {func(p *Progress) error { return first(p.Begin(), p.Continue()) }, nil, false},
		"nothing sent":        {func(*Progress) error { return nil }, nil, false},
		"two heads":           {func(p *Progress) error { return first(p.Begin(), p.Begin(), p.End()) }, ErrBegun, false},
		"refused after head":  {func(p *Progress) error { return first(p.Begin(), p.Refuse()) }, ErrBegun, false},
		"refused twice":       {func(p *Progress) error { return first(p.Refuse(), p.Refuse()) }, ErrBegun, false},
		"head after refusal":  {func(p *Progress) error { return first(p.Refuse(), p.Begin(), p.End()) }, ErrBegun, false},
		"data without head":   {func(p *Progress) error { return p.Continue() }, ErrNotOpen, false},
		"data after refusal":  {func(p *Progress) error { return first(p.Refuse(), p.Continue()) }, ErrNotOpen, false},
		"data after the end":  {func(p *Progress) error { return first(p.Begin(), p.End(), p.Continue()) }, ErrNotOpen, false},
		"end without head":    {func(p *Progress) error { return p.End() }, ErrNotOpen, false},
		"end after abort":     {func(p *Progress) error { p.Abort(); return p.End() }, ErrNotOpen, false},
		"abort after the end": {func(p *Progress) error { defer p.Abort(); return first(p.Begin(), p.End()) }, nil, false},
	} {
		var p Progress
		if err := c.calls(&p); !errors.Is(err, c.err) || p.Complete() != c.complete {
			t.Errorf("%s: %v, complete %v", name, err, p.Complete())
		}
	}
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// TestMisuseIsFinal guards against a response that becomes complete after a call that did not fit.
func TestMisuseIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Progress
		failed := false
		for _, call := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 8).Draw(t, "calls") {
			err := [](func() error){p.Begin, p.Continue, p.End, p.Refuse}[call]()
			if failed && err == nil {
				t.Fatal("a call succeeds after a failed one")
			}
			failed = failed || err != nil
			if failed && p.Complete() {
				t.Fatal("the response is complete after a failed call")
			}
		}
	})
}
