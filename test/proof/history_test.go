package proof

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/test/harness"
)

// Outcomes of a request for its caller: the verdicts of the system, and notSent for a
// request whose connection could not be opened.
const (
	notRun     = "not-run"
	mayHaveRun = "may-have-run"
	ran        = "ran"
	notSent    = "not-sent"
)

// requestRecord is one request of a caller and its result.
type requestRecord struct {
	caller             int
	entry              string
	req                harness.Request
	startedAt, endedAt time.Duration
	response           harness.Response
	err                error
	outcome            string
}

// history holds the requests of all callers. Times in records count from startedAt.
type history struct {
	startedAt time.Time

	mu      sync.Mutex
	records []requestRecord
}

// send sends one request and records it.
func (h *history) send(dt *deploymentTest, caller int, e *harness.Node, c *harness.Caller, req harness.Request) requestRecord {
	r := requestRecord{caller: caller, entry: e.Name, req: req, startedAt: time.Since(h.startedAt)}
	r.response, r.err = c.Send(dt.t.Context(), req)
	r.endedAt = time.Since(h.startedAt)
	r.outcome = classifyOutcome(r.response, r.err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r)
	return r
}

func (h *history) allRecords() []requestRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]requestRecord(nil), h.records...)
}

// classifyOutcome returns the outcome of a request. If the connection ended without a
// verdict, the request may have run.
func classifyOutcome(resp harness.Response, err error) string {
	var op *net.OpError
	switch {
	case err != nil && errors.As(err, &op) && op.Op == "dial":
		return notSent
	case resp.Error != nil:
		return resp.Error.Verdict
	case err != nil || resp.Verdict == "":
		return mayHaveRun
	default:
		return resp.Verdict
	}
}

// checkComplete returns an error unless the caller got the complete response.
func (r *requestRecord) checkComplete() error {
	if r.err != nil {
		return r.err
	}
	if r.isGenerate() {
		return r.response.CheckComplete()
	}
	return r.response.CheckServiceCall()
}

func (r *requestRecord) isGenerate() bool { return r.req.Path == harness.GeneratePath(harness.Group) }

// describe returns the times, entry, path, outcome and error of the request for messages.
func (r *requestRecord) describe() string {
	failure := ""
	if r.response.Error != nil {
		failure = r.response.Error.Code + ": " + r.response.Error.Message
	}
	if r.err != nil {
		failure = r.err.Error()
	}
	return time.Duration(r.startedAt).Round(time.Millisecond).String() + " to " + r.endedAt.Round(time.Millisecond).String() +
		" at " + r.entry + " " + r.req.Path + " " + r.outcome + " " + failure
}

// revisionChecker checks that the revision of a process never decreases.
type revisionChecker struct {
	mu         sync.Mutex
	latest     map[string]uint64
	violations []string
}

func (v *revisionChecker) forget(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.latest, name)
}

func (v *revisionChecker) observe(name string, rev uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.latest == nil {
		v.latest = map[string]uint64{}
	}
	if old := v.latest[name]; rev < old {
		v.violations = append(v.violations, errors.Errorf("%s went from revision %d back to %d", name, old, rev).Error())
	}
	v.latest[name] = max(rev, v.latest[name])
}

// monitorInterval is the time between two status requests to a process.
const monitorInterval = 50 * time.Millisecond

// startRevisionMonitor starts to observe the revision of each daemon until the test ends.
func (dt *deploymentTest) startRevisionMonitor() {
	for _, n := range dt.Nodes() {
		dt.restartLocks[n] = &sync.Mutex{}
	}
	for _, n := range dt.Nodes() {
		dt.monitor.Go(func() {
			for dt.ctx.Err() == nil {
				dt.recordRevision(n)
				select {
				case <-dt.ctx.Done():
				case <-time.After(monitorInterval):
				}
			}
		})
	}
}

// recordRevision records the revision of a daemon unless the daemon is being started.
func (dt *deploymentTest) recordRevision(n *harness.Node) {
	if !dt.restartLocks[n].TryLock() {
		return
	}
	defer dt.restartLocks[n].Unlock()
	if rev, err := dt.revision(n); err == nil {
		dt.revisions.observe(n.Name, rev)
	}
}

// revision returns the revision of the declaration that a daemon reports.
func (dt *deploymentTest) revision(n *harness.Node) (uint64, error) {
	var s struct{ Revision uint64 }
	err := harness.GetStatus(dt.ctx, n.Admin, &s)
	return s.Revision, err
}

// waitForRevision waits until all nodes report at least the revision.
func (dt *deploymentTest) waitForRevision(bound time.Duration, rev uint64, nodes ...*harness.Node) {
	dt.t.Helper()
	dt.must(harness.WaitFor(dt.ctx, bound, "the latest revision", func() error {
		for _, n := range nodes {
			if got, err := dt.revision(n); err != nil || got < rev {
				return errors.Errorf("%s is at revision %d, want %d: %v", n.Name, got, rev, err)
			}
		}
		return nil
	}))
}
