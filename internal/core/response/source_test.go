package response

import (
	"testing"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

// TestStartCheck guards against a response that continues another one at the wrong frame,
// and against a new one whose first frames are missing.
func TestStartCheck(t *testing.T) {
	for _, c := range []struct {
		start, expected uint64
		ok              bool
	}{{0, 0, true}, {1, 0, false}, {2, 2, true}, {0, 2, false}, {1, 2, false}, {3, 2, false}} {
		err := Source{Start: c.start}.CheckStart(c.expected)
		if (err == nil) != c.ok {
			t.Errorf("start %d, expected %d: %v", c.start, c.expected, err)
		}
		if err != nil && (err.Code != verdict.CodeBrokenAnswer || err.Verdict != verdict.MayHaveRun) {
			t.Errorf("start %d, expected %d: %v", c.start, c.expected, err)
		}
	}
}

// TestSourceChecks guards against a stream that begins or continues with an error page,
// a stored response, or the response of another version or request.
func TestSourceChecks(t *testing.T) {
	check := func(s Source) *verdict.Error {
		for _, err := range []*verdict.Error{s.CheckRequest("r"), s.CheckStream(), s.CheckVersion("v")} {
			if err != nil {
				return err
			}
		}
		return nil
	}
	for _, s := range []Source{{Request: "r", Version: "v"}, {Request: "r", Version: "v", Status: 200}} {
		if err := check(s); err != nil {
			t.Errorf("%+v: %v", s, err)
		}
	}
	for _, c := range []struct {
		source Source
		code   verdict.Code
	}{
		{Source{Request: "q", Version: "v"}, verdict.CodeBrokenAnswer},
		{Source{Version: "v"}, verdict.CodeBrokenAnswer},
		{Source{Request: "r"}, verdict.CodeBrokenAnswer},
		{Source{Request: "r", Version: "w"}, verdict.CodeVersionMismatch},
		{Source{Request: "r", Version: "v", Status: 500}, verdict.CodeBrokenAnswer},
		{Source{Request: "r", Version: "v", Status: 204}, verdict.CodeBrokenAnswer},
		{Source{Request: "r", Version: "v", Replayed: true}, verdict.CodeBrokenAnswer},
	} {
		if err := check(c.source); err == nil || err.Code != c.code || err.Verdict != verdict.MayHaveRun {
			t.Errorf("%+v: %v, want %s", c.source, err, c.code)
		}
	}
}
