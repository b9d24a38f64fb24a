package proof

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/standin/platform"
	"github.com/masticwing/masticwing/test/harness"
)

// newestRevision makes two changes and returns the revision that is then in
// force everywhere.
func (dt *deploymentTest) advanceRevision() uint64 {
	dt.t.Helper()
	dt.must(dt.Cordon(dt.ctx, "b"))
	dt.must(dt.Uncordon(dt.ctx, "b"))
	const rev = 3
	dt.waitForRevision(configBound, rev, dt.Nodes()...)
	return rev
}

// restartAll ends daemons together and starts them again.
func (dt *deploymentTest) restartAll(nodes []*harness.Node) {
	dt.t.Helper()
	for _, n := range nodes {
		dt.killDaemon(n)
	}
	for _, n := range nodes {
		dt.startDaemon(n)
	}
	for _, n := range nodes {
		dt.must(harness.WaitReady(dt.ctx, waitBound, n.Proc, n.Admin))
		dt.logStep(n.Name + " is ready")
	}
}

// TestRestartWithoutPlatform guards against a process that starts while the
// platform is down and serves nothing, or an older configuration, although a
// peer holds the newest one.
func TestRestartWithoutPlatform(t *testing.T) {
	dt := deploy(t, nil)
	rev := dt.advanceRevision()
	dt.setFaults(dt.PlatformAddr, platform.Faults{Down: true})
	dt.logStep("platform is down; entries restart")
	dt.restartAll(dt.Entries)
	dt.waitForRevision(configBound, rev, dt.Entries...)
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	dt.loadGenerator.stop()
	dt.logStep("agents restart")
	dt.restartAll(dt.Agents)
	dt.waitForRevision(configBound, rev, dt.Agents...)
	from := dt.elapsed()
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	dt.loadGenerator.stop()
	dt.checkAnsweredSince(from)
	dt.finish()
}

// answeredSince fails the test unless generate requests were answered.
func (dt *deploymentTest) checkAnsweredSince(from time.Duration) {
	dt.t.Helper()
	n := 0
	for _, r := range dt.allRecords() {
		if r.startedAt >= from && r.isGenerate() && r.outcome == ran {
			n++
		}
	}
	if dt.t.Logf("%d answers since %v", n, from); n == 0 {
		dt.t.Errorf("no request was answered since %v", from)
	}
}

// TestStaleStart guards against a process that starts with what an old read of
// the platform says although a peer holds a newer configuration.
func TestStaleStart(t *testing.T) {
	dt := deploy(t, nil)
	rev := dt.advanceRevision()
	dt.setFaults(dt.PlatformAddr, platform.Faults{StaleReads: true})
	for _, n := range append(append([]*harness.Node{}, dt.Entries[1]), dt.agents("b", true)[0], dt.serviceAgents()[0]) {
		dt.logStep("restart " + n.Name)
		dt.killDaemon(n)
		dt.startDaemonAndWait(n)
		if got, err := dt.revision(n); err != nil || got != rev {
			t.Errorf("%s is ready with revision %d, want %d: %v", n.Name, got, rev, err)
		}
	}
	dt.finish()
}

// TestNobodyKnows guards against processes that serve without a configuration
// when the platform is down and no peer is left, or do not say why they serve
// nothing.
func TestNobodyKnows(t *testing.T) {
	dt := deploy(t, nil)
	rev := dt.advanceRevision()
	dt.setFaults(dt.PlatformAddr, platform.Faults{Down: true})
	for _, n := range dt.Nodes() {
		dt.killDaemon(n)
	}
	for _, n := range dt.Nodes() {
		dt.startDaemon(n)
	}
	dt.logStep("all daemons restart with the platform down")
	// The start-up rule of the page waits 2 s for the platform.
	dt.sleep(2*time.Second + time.Second)
	for _, n := range dt.Nodes() {
		status, text, err := harness.GetReadyz(dt.ctx, n.Admin)
		dt.must(err)
		dt.t.Logf("%s: %d %s", n.Name, status, strings.TrimSpace(text))
		if status != http.StatusServiceUnavailable || !strings.Contains(text, "platform") {
			t.Errorf("/readyz of %s does not name the reason: %d %q", n.Name, status, text)
		}
	}
	from := dt.elapsed()
	dt.startLoad()
	dt.sleep(300 * time.Millisecond)
	dt.loadGenerator.stop()
	dt.checkOutcomes(func(r requestRecord) bool { return r.startedAt >= from }, notRun)
	dt.setFaults(dt.PlatformAddr, platform.Faults{})
	dt.logStep("platform is back")
	dt.waitForRevision(configBound, rev, dt.Nodes()...)
	dt.must(harness.WaitFor(dt.ctx, waitBound, "an answer", func() error {
		r := dt.loadGenerator.send(0, 0, dt.loadGenerator.newGenerateRequest())
		return errors.Wrap(r.checkComplete(), "generate")
	}))
	dt.finish()
}
