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
	served := platformtest.Execution{Target: "a", Status: http.StatusOK}
	failed := platformtest.Execution{Target: "b", Status: http.StatusInternalServerError}
	broken := platformtest.Execution{Target: "c"}
	runs := func(es ...platformtest.Execution) []platformtest.Execution { return es }
	response := func(path string, e platformtest.Execution) result {
		r := result{id: "1", path: path, status: e.Status, signature: platformtest.Signature(e.Target, "1")}
		r.body = expectedBody(r, e)
		return r
	}
	ok := func(path string) result { return response(path, served) }
	changed := func(path string, f func(*result)) result {
		r := ok(path)
		f(&r)
		return r
	}
	cut := errors.New("cut")
	for name, c := range map[string]struct {
		r          result
		executions []platformtest.Execution
		bad        bool
	}{
		"complete response":         {ok("/r/x"), runs(served), false},
		"complete stream, two runs": {ok("/s/x"), runs(served, served), false},
		"response without a run":    {ok("/r/x"), nil, true},
		"call that ran twice":       {ok("/w/x"), runs(served, served), true},
		"response to other request": {changed("/r/x", func(r *result) { r.body = platformtest.ResponseBody("a", "2") }), runs(served), true},
		"response of other target":  {changed("/r/x", func(r *result) { r.body = platformtest.ResponseBody("c", "1") }), runs(served, broken), true},
		"short stream":              {changed("/s/x", func(r *result) { r.body = r.body[:20] }), runs(served), true},
		"short stream that was cut": {changed("/s/x", func(r *result) { r.body, r.err = r.body[:20], cut }), runs(served), false},
		"duplicate event":           {changed("/s/x", func(r *result) { r.body, r.err = r.body[:10]+r.body[:10], cut }), runs(served), true},
		"event of another run": {changed("/s/x", func(r *result) {
			r.body, r.err = r.body[:13]+platformtest.EventText("another run of 1", 2), cut
		}), runs(served, served), true},
		"error page behind events": {changed("/s/x", func(r *result) { r.body = r.body[:26] + platformtest.ErrorBody("b", "1") }), runs(served, failed), true},
		"error page, then cut": {changed("/s/x", func(r *result) {
			r.body, r.err = r.body[:26]+platformtest.ErrorBody("b", "1"), cut
		}), runs(served, failed), true},
		"no signature":               {changed("/r/x", func(r *result) { r.signature = "" }), runs(served), true},
		"signature of other target":  {changed("/s/x", func(r *result) { r.signature = platformtest.Signature("b", "1") }), runs(served, failed), true},
		"signature without response": {changed("/s/x", func(r *result) { r.signature = platformtest.Signature("c", "1") }), runs(served, broken), true},
		"success without content":    {result{id: "1", path: "/r/x", status: http.StatusNoContent}, runs(broken), true},
		"error of a target":          {response("/w/x", failed), runs(failed), false},
		"error of one of two runs":   {response("/r/x", failed), runs(served, failed), false},
		"short error":                {result{id: "1", path: "/r/x", status: failed.Status, signature: platformtest.Signature("b", "1")}, runs(failed), true},
		"error with other status": {result{
			id: "1", path: "/r/x", status: http.StatusBadGateway, signature: platformtest.Signature("b", "1"), body: platformtest.ErrorBody("b", "1"),
		}, runs(failed), true},
		"refused":                  {result{id: "1", path: "/w/x", status: http.StatusServiceUnavailable}, nil, false},
		"refused after a run":      {result{id: "1", path: "/r/x", status: http.StatusServiceUnavailable}, runs(served), true},
		"unknown outcome, one run": {result{id: "1", path: "/w/x", status: http.StatusBadGateway}, runs(served), false},
	} {
		if got := responseViolations(c.r, c.executions); (len(got) > 0) != c.bad {
			t.Errorf("%s: violations %v", name, got)
		}
	}
}
