package proof

import (
	"net/http"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

// coldBoot makes an engine lose its weights and caches, as a new process of it
// would, and keep the record of what it answered.
func (dt *deploymentTest) restartEngine(n *harness.Node) {
	dt.t.Helper()
	dt.logStep("engine of " + n.Name + " restarts")
	dt.must(harness.CallJSON(dt.ctx, http.MethodPost, "http://"+n.TargetAddr+"/restart", nil, nil))
}

// served fails the test unless answers came from each of the versions.
func (dt *deploymentTest) checkVersionsServed(versions ...string) {
	dt.t.Helper()
	by := map[string]int{}
	for _, r := range dt.allRecords() {
		if r.outcome == ran && r.isGenerate() {
			by[r.answer.Version]++
		}
	}
	for _, v := range versions {
		if by[v] == 0 {
			dt.t.Errorf("no answer came from version %s: %v", v, by)
		}
	}
}

// now is the time in the history.
func (dt *deploymentTest) elapsed() time.Duration { return time.Since(dt.startedAt) }

// lost returns the requests that were sent in a time, pass a filter and left
// their caller without a whole answer. A repeat of a keyed call that the same
// caller has the answer of is not lost, whatever it is told.
func (dt *deploymentTest) unanswered(from, to time.Duration, filter func(requestRecord) bool) []string {
	var out []string
	answered := map[string]bool{}
	for _, r := range dt.allRecords() {
		if r.checkComplete() == nil {
			answered[r.req.Key] = true
			continue
		}
		if r.startedAt >= from && r.startedAt < to && filter(r) && (r.req.Key == "" || !answered[r.req.Key]) {
			out = append(out, r.describe())
		}
	}
	return out
}

// told fails the test unless keyed calls had each of the outcomes, because the
// failures of the test would else have touched none of them.
func (dt *deploymentTest) checkKeyedOutcomes(outcomes ...string) {
	dt.t.Helper()
	by := map[string]int{}
	for _, r := range dt.allRecords() {
		if r.req.Key != "" {
			by[r.outcome]++
		}
	}
	dt.t.Logf("keyed calls: %v", by)
	for _, o := range outcomes {
		if by[o] == 0 {
			dt.t.Errorf("no keyed call was told %s: %v", o, by)
		}
	}
}
