package proof

import (
	"net/http"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

// coldBoot makes an engine lose its weights and caches, as a new process of it
// would, and keep the record of what it answered.
func (w *world) coldBoot(n *harness.Node) {
	w.t.Helper()
	w.note("engine of " + n.Name + " restarts")
	w.must(harness.CallJSON(w.ctx, http.MethodPost, "http://"+n.TargetAddr+"/restart", nil, nil))
}

// served fails the test unless answers came from each of the versions.
func (w *world) served(versions ...string) {
	w.t.Helper()
	by := map[string]int{}
	for _, r := range w.all() {
		if r.outcome == ran && r.generate() {
			by[r.answer.Version]++
		}
	}
	for _, v := range versions {
		if by[v] == 0 {
			w.t.Errorf("no answer came from version %s: %v", v, by)
		}
	}
}

// now is the time in the history.
func (w *world) now() time.Duration { return time.Since(w.began) }

// lost returns the requests that were sent in a time, pass a filter and left
// their caller without a whole answer. A repeat of a keyed call that the same
// caller has the answer of is not lost, whatever it is told.
func (w *world) lost(from, to time.Duration, filter func(record) bool) []string {
	var out []string
	answered := map[string]bool{}
	for _, r := range w.all() {
		if r.whole() == nil {
			answered[r.req.Key] = true
			continue
		}
		if r.began >= from && r.began < to && filter(r) && (r.req.Key == "" || !answered[r.req.Key]) {
			out = append(out, r.failed())
		}
	}
	return out
}

// told fails the test unless keyed calls had each of the outcomes, because the
// failures of the test would else have touched none of them.
func (w *world) told(outcomes ...string) {
	w.t.Helper()
	by := map[string]int{}
	for _, r := range w.all() {
		if r.req.Key != "" {
			by[r.outcome]++
		}
	}
	w.t.Logf("keyed calls: %v", by)
	for _, o := range outcomes {
		if by[o] == 0 {
			w.t.Errorf("no keyed call was told %s: %v", o, by)
		}
	}
}
