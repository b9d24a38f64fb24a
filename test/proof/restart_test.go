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

// advanceRevision applies two changes, waits until all processes have the resulting revision
// and returns it.
func (dt *deploymentTest) advanceRevision() uint64 {
	dt.t.Helper()
	dt.must(dt.Cordon(dt.ctx, "b"))
	dt.must(dt.Uncordon(dt.ctx, "b"))
	const rev = 3
	dt.waitForRevision(configBound, rev, dt.Nodes()...)
	return rev
}

// restartAll kills the daemons of all given nodes, then starts them again and waits until
// they are ready.
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

// TestRestartWithoutPlatform guards against a process that starts while the platform is down
// and does not serve, or serves with an older configuration, although a peer has the latest
// one.
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

// checkAnsweredSince fails the test unless a generate request that began after from was
// answered.
func (dt *deploymentTest) checkAnsweredSince(from time.Duration) {
	dt.t.Helper()
	n := 0
	for _, r := range dt.allRecords() {
		if r.startedAt >= from && r.isGenerate() && r.outcome == ran {
			n++
		}
	}
	if dt.t.Logf("%d responses since %v", n, from); n == 0 {
		dt.t.Errorf("no request was answered since %v", from)
	}
}

// TestStartAfterStaleRead guards against a process that becomes ready with an outdated
// configuration from a stale read of the platform although a peer has a newer one.
func TestStartAfterStaleRead(t *testing.T) {
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

// TestStartWithoutPlatformAndPeers restarts all processes while the platform is down, so that
// none of them can get a configuration. It guards against processes that serve nevertheless,
// or that do not report the reason why they are not ready.
func TestStartWithoutPlatformAndPeers(t *testing.T) {
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
	// The start-up rule of the design page waits 2 s for the platform.
	dt.sleep(2*time.Second + time.Second)
	for _, n := range dt.Nodes() {
		status, text, err := harness.GetReadyz(dt.ctx, n.Admin)
		dt.must(err)
		dt.t.Logf("%s: %d %s", n.Name, status, strings.TrimSpace(text))
		if status != http.StatusServiceUnavailable || !strings.Contains(text, "platform") {
			t.Errorf("/readyz of %s does not state the reason: %d %q", n.Name, status, text)
		}
	}
	from := dt.elapsed()
	dt.startLoad()
	dt.sleep(300 * time.Millisecond)
	dt.loadGenerator.stop()
	dt.checkOutcomes(func(r requestRecord) bool { return r.startedAt >= from }, notRun)
	dt.setFaults(dt.PlatformAddr, platform.Faults{})
	dt.logStep("platform is up")
	dt.waitForRevision(configBound, rev, dt.Nodes()...)
	dt.must(harness.WaitFor(dt.ctx, waitBound, "a response", func() error {
		r := dt.loadGenerator.send(0, 0, dt.loadGenerator.newGenerateRequest())
		return errors.Wrap(r.checkComplete(), "generate")
	}))
	dt.finish()
}
