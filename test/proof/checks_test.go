package proof

import (
	"net/http"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

// restartEngine makes the engine of a node lose its weights and caches, as a restart of the
// process would. The engine stand-in keeps the history of its answers.
func (dt *deploymentTest) restartEngine(n *harness.Node) {
	dt.t.Helper()
	dt.logStep("engine of " + n.Name + " restarts")
	dt.must(harness.CallJSON(dt.ctx, http.MethodPost, "http://"+n.TargetAddr+"/restart", nil, nil))
}

// checkVersionsServed fails the test unless each of the versions gave a response to a
// generate request.
func (dt *deploymentTest) checkVersionsServed(versions ...string) {
	dt.t.Helper()
	counts := map[string]int{}
	for _, r := range dt.allRecords() {
		if r.outcome == ran && r.isGenerate() {
			counts[r.response.Version]++
		}
	}
	for _, v := range versions {
		if counts[v] == 0 {
			dt.t.Errorf("no response came from version %s: %v", v, counts)
		}
	}
}

// elapsed returns the time since the start of the histories.
func (dt *deploymentTest) elapsed() time.Duration { return time.Since(dt.startedAt) }

// failedRequests describes the requests that were sent between from and to, pass the filter
// and got an error or an incomplete response. A retry of a keyed call does not count if the
// caller already has the complete response to the call, whatever the retry returned.
func (dt *deploymentTest) failedRequests(from, to time.Duration, filter func(requestRecord) bool) []string {
	var descriptions []string
	succeeded := map[string]bool{}
	for _, r := range dt.allRecords() {
		if r.checkComplete() == nil {
			succeeded[r.req.Key] = true
			continue
		}
		if r.startedAt >= from && r.startedAt < to && filter(r) && (r.req.Key == "" || !succeeded[r.req.Key]) {
			descriptions = append(descriptions, r.describe())
		}
	}
	return descriptions
}

// checkKeyedOutcomes fails the test unless each of the outcomes was reported for some keyed
// call. Otherwise the failures of the test did not affect any of these calls.
func (dt *deploymentTest) checkKeyedOutcomes(outcomes ...string) {
	dt.t.Helper()
	counts := map[string]int{}
	for _, r := range dt.allRecords() {
		if r.req.Key != "" {
			counts[r.outcome]++
		}
	}
	dt.t.Logf("keyed calls: %v", counts)
	for _, o := range outcomes {
		if counts[o] == 0 {
			dt.t.Errorf("no keyed call had the outcome %s: %v", o, counts)
		}
	}
}
