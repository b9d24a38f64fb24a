package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

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

// period is a disturbance of a resource. Its times count from the first declaration; an end of
// 0 means that it lasts.
type period struct {
	resource   string
	begin, end time.Duration
}

const ms = time.Millisecond

// versionCases are executions at engines that gateway g sent. Version 2 is acknowledged at 0 and
// version 3 at 4 s.
var versionCases = map[string]struct {
	began    time.Duration
	on       int64
	plain    bool
	periods  []period
	expected int
}{
	"just inside":                      {began: weightsBound, on: 1},
	"just outside":                     {began: weightsBound + ms, on: 1, expected: 1},
	"new weights":                      {began: weightsBound + ms, on: 2},
	"plain service":                    {began: weightsBound + ms, on: 1, plain: true},
	"second declaration, just inside":  {began: weightsBound + 4*time.Second, on: 2},
	"second declaration, just outside": {began: weightsBound + 4*time.Second + ms, on: 2, expected: 1},
	"both declarations outside":        {began: weightsBound + 5*time.Second, on: 1, expected: 1},
	"gateway paused, long ago":         {began: 9 * time.Second, on: 1, periods: []period{{"g", 0, 5 * time.Second}}, expected: 1},
	"gateway paused until just now":    {began: 9 * time.Second, on: 1, periods: []period{{"g", 0, 6*time.Second + ms}}},
	"gateway paused since":             {began: 9 * time.Second, on: 1, periods: []period{{"g", 9 * time.Second, 0}}},
	"gateway paused later":             {began: 9 * time.Second, on: 1, periods: []period{{"g", 9*time.Second + ms, 0}}, expected: 1},
	"other gateway paused":             {began: 9 * time.Second, on: 1, periods: []period{{"h", 0, 0}}, expected: 1},
	"loader paused":                    {began: 9 * time.Second, on: 1, periods: []period{{"l", 0, 0}}, expected: 1},
	"own link before, just inside":     {began: 9 * time.Second, on: 1, periods: []period{{linkOf("g"), -ms, time.Second}}},
	"own link before, just outside":    {began: 9*time.Second + ms, on: 1, periods: []period{{linkOf("g"), -ms, time.Second}}, expected: 1},
	"other link before, just inside":   {began: 10 * time.Second, on: 1, periods: []period{{linkOf("h"), time.Second, 2 * time.Second}}},
	"other link before, just outside":  {began: 10*time.Second + ms, on: 1, periods: []period{{linkOf("h"), time.Second, 2 * time.Second}}, expected: 1},
	"link lasts":                       {began: 20 * time.Second, on: 1, periods: []period{{linkOf("h"), time.Second, 0}}},
	"link after the bound":             {began: 9 * time.Second, on: 1, periods: []period{{linkOf("h"), weightsBound, 0}}, expected: 1},
	"link ended before":                {began: weightsBound + ms, on: 1, periods: []period{{linkOf("h"), -time.Second, -ms}}, expected: 1},
	"store before, just inside":        {began: 12 * time.Second, on: 1, periods: []period{{storeResource, 0, time.Second}}},
	"store before, just outside":       {began: 12*time.Second + ms, on: 1, periods: []period{{storeResource, 0, time.Second}}, expected: 1},
	"store became stable before":       {began: weightsBound + ms, on: 1, periods: []period{{storeResource, -time.Minute, -contactTime}}, expected: 1},
	"store after the bound":            {began: 12 * time.Second, on: 1, periods: []period{{storeResource, weightsBound, 9*time.Second + ms}}},
	"in touch again after the bound":   {began: 13 * time.Second, on: 2, periods: []period{{storeResource, 5 * time.Second, 6 * time.Second}}},
	"overlapping, just inside": {
		began: 13 * time.Second, on: 1,
		periods: []period{{linkOf("h"), time.Second, 5 * time.Second}, {linkOf("i"), 2 * time.Second, 3 * time.Second}},
	},
	"overlapping, just outside": {
		began: 13*time.Second + ms, on: 1, expected: 1,
		periods: []period{{linkOf("i"), 2 * time.Second, 3 * time.Second}, {linkOf("h"), time.Second, 5 * time.Second}},
	},
}

// TestVersionViolations guards against a soak test that passes although a request began on
// weights whose bound had ended, and against one that fails although the bound had not ended
// or the gateway was not in touch.
func TestVersionViolations(t *testing.T) {
	zero := time.Unix(1e9, 0)
	at := func(d time.Duration) time.Time { return zero.Add(d) }
	for name, c := range versionCases {
		h := &history{declarations: []declaration{{2, zero}, {3, at(4 * time.Second)}}}
		for _, p := range c.periods {
			d := &disturbance{resource: p.resource, begin: at(p.begin)}
			if p.end != 0 {
				d.end = at(p.end)
			}
			h.disturbances = append(h.disturbances, d)
		}
		e := platformtest.Execution{Target: "e", Engine: !c.plain, WeightsVersion: c.on, At: at(c.began)}
		got := h.versionViolations("g", result{id: "1", sent: at(c.began)}, []platformtest.Execution{e})
		if len(got) != c.expected {
			t.Errorf("%s: %d violations %v, want %d", name, len(got), got, c.expected)
		}
	}
}

// TestSentWhileInTouch guards against a violation by a request that its gateway may have sent
// while it was not in touch, because it arrived there before.
func TestSentWhileInTouch(t *testing.T) {
	began := time.Unix(1e9, 0).Add(20 * time.Second)
	h := &history{declarations: []declaration{{2, time.Unix(1e9, 0)}}}
	h.disturbances = []*disturbance{{resource: "g", begin: began.Add(-5 * time.Second), end: began.Add(-4 * time.Second)}}
	executions := []platformtest.Execution{{Target: "e", Engine: true, WeightsVersion: 1, At: began}}
	for waited, expected := range map[time.Duration]int{0: 1, time.Second: 1, time.Second + time.Millisecond: 0} {
		if got := h.versionViolations("g", result{id: "1", sent: began.Add(-waited)}, executions); len(got) != expected {
			t.Errorf("request that took %v: violations %v, want %d", waited, got, expected)
		}
	}
}
