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
func (w *world) newestRevision() uint64 {
	w.t.Helper()
	w.must(w.Cordon(w.ctx, "b"))
	w.must(w.Uncordon(w.ctx, "b"))
	const rev = 3
	w.waitRevision(configBound, rev, w.Nodes()...)
	return rev
}

// restartAll ends daemons together and starts them again.
func (w *world) restartAll(nodes []*harness.Node) {
	w.t.Helper()
	for _, n := range nodes {
		w.kill(n)
	}
	for _, n := range nodes {
		w.run(n)
	}
	for _, n := range nodes {
		w.must(harness.WaitReady(w.ctx, waitBound, n.Proc, n.Admin))
		w.note(n.Name + " is ready")
	}
}

// TestRestartWithoutPlatform guards against a process that starts while the
// platform is down and serves nothing, or an older configuration, although a
// peer holds the newest one.
func TestRestartWithoutPlatform(t *testing.T) {
	w := deploy(t, nil)
	rev := w.newestRevision()
	w.faults(w.PlatformAddr, platform.Faults{Down: true})
	w.note("platform is down; entries restart")
	w.restartAll(w.Entries)
	w.waitRevision(configBound, rev, w.Entries...)
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	w.load.stop()
	w.note("agents restart")
	w.restartAll(w.Agents)
	w.waitRevision(configBound, rev, w.Agents...)
	from := w.now()
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	w.load.stop()
	w.answeredSince(from)
	w.finish()
}

// answeredSince fails the test unless generate requests were answered.
func (w *world) answeredSince(from time.Duration) {
	w.t.Helper()
	n := 0
	for _, r := range w.all() {
		if r.began >= from && r.generate() && r.outcome == ran {
			n++
		}
	}
	if w.t.Logf("%d answers since %v", n, from); n == 0 {
		w.t.Errorf("no request was answered since %v", from)
	}
}

// TestStaleStart guards against a process that starts with what an old read of
// the platform says although a peer holds a newer configuration.
func TestStaleStart(t *testing.T) {
	w := deploy(t, nil)
	rev := w.newestRevision()
	w.faults(w.PlatformAddr, platform.Faults{StaleReads: true})
	for _, n := range append(append([]*harness.Node{}, w.Entries[1]), w.agents("b", true)[0], w.services()[0]) {
		w.note("restart " + n.Name)
		w.kill(n)
		w.restart(n)
		if got, err := w.revision(n); err != nil || got != rev {
			t.Errorf("%s is ready with revision %d, want %d: %v", n.Name, got, rev, err)
		}
	}
	w.finish()
}

// TestNobodyKnows guards against processes that serve without a configuration
// when the platform is down and no peer is left, or do not say why they serve
// nothing.
func TestNobodyKnows(t *testing.T) {
	w := deploy(t, nil)
	rev := w.newestRevision()
	w.faults(w.PlatformAddr, platform.Faults{Down: true})
	for _, n := range w.Nodes() {
		w.kill(n)
	}
	for _, n := range w.Nodes() {
		w.run(n)
	}
	w.note("all daemons restart with the platform down")
	// The start-up rule of the page waits 2 s for the platform.
	w.sleep(2*time.Second + time.Second)
	for _, n := range w.Nodes() {
		status, text, err := harness.GetReadyz(w.ctx, n.Admin)
		w.must(err)
		w.t.Logf("%s: %d %s", n.Name, status, strings.TrimSpace(text))
		if status != http.StatusServiceUnavailable || !strings.Contains(text, "platform") {
			t.Errorf("/readyz of %s does not name the reason: %d %q", n.Name, status, text)
		}
	}
	from := w.now()
	w.startLoad()
	w.sleep(300 * time.Millisecond)
	w.load.stop()
	w.onlyVerdicts(func(r record) bool { return r.began >= from }, notRun)
	w.faults(w.PlatformAddr, platform.Faults{})
	w.note("platform is back")
	w.waitRevision(configBound, rev, w.Nodes()...)
	w.must(harness.WaitFor(w.ctx, waitBound, "an answer", func() error {
		r := w.load.send(0, 0, w.load.prompt())
		return errors.Wrap(r.whole(), "generate")
	}))
	w.finish()
}
