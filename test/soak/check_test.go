package soak

import (
	"errors"
	"net/http"
	"testing"

	"github.com/masticwing/masticwing/platform/platformtest"
)

// TestResponseViolations guards against a soak test that passes although a response
// violates a guarantee.
func TestResponseViolations(t *testing.T) {
	ok := func(path string) result {
		r := result{id: "1", path: path, status: http.StatusOK, signature: platformtest.Signature("1")}
		r.body = expectedBody(r)
		return r
	}
	changed := func(path string, f func(*result)) result {
		r := ok(path)
		f(&r)
		return r
	}
	cut := errors.New("cut")
	for name, c := range map[string]struct {
		r          result
		executions int
		bad        bool
	}{
		"complete response":         {ok("/r/x"), 1, false},
		"complete stream, two runs": {ok("/s/x"), 2, false},
		"response without a run":    {ok("/r/x"), 0, true},
		"call that ran twice":       {ok("/w/x"), 2, true},
		"response to other request": {changed("/r/x", func(r *result) { r.body = "answer to 2" }), 1, true},
		"short stream":              {changed("/s/x", func(r *result) { r.body = r.body[:20] }), 1, true},
		"short stream that was cut": {changed("/s/x", func(r *result) { r.body, r.err = r.body[:20], cut }), 1, false},
		"duplicate event":           {changed("/s/x", func(r *result) { r.body, r.err = r.body[:10]+r.body[:10], cut }), 1, true},
		"no signature":              {changed("/r/x", func(r *result) { r.signature = "" }), 1, true},
		"refused":                   {result{id: "1", path: "/w/x", status: http.StatusServiceUnavailable}, 0, false},
		"refused after a run":       {result{id: "1", path: "/r/x", status: http.StatusServiceUnavailable}, 1, true},
		"unknown outcome, one run":  {result{id: "1", path: "/w/x", status: http.StatusBadGateway}, 1, false},
	} {
		if got := responseViolations(c.r, c.executions); (len(got) > 0) != c.bad {
			t.Errorf("%s: violations %v", name, got)
		}
	}
}
