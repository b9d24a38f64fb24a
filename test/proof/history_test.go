package proof

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/test/harness"
)

// Outcomes of a request as its caller knows them. They are the verdicts of the
// product, and one more for a request that never left the caller.
const (
	notRun     = "not-run"
	mayHaveRun = "may-have-run"
	ran        = "ran"
	notSent    = "not-sent"
)

// record is one request of a caller.
type requestRecord struct {
	caller             int
	entry              string
	req                harness.Request
	startedAt, endedAt time.Duration
	answer             harness.Response
	err                error
	outcome            string
}

// history is what callers saw.
type history struct {
	startedAt time.Time

	mu      sync.Mutex
	records []requestRecord
}

// send sends one request and records it.
func (h *history) send(dt *deploymentTest, caller int, e *harness.Node, c *harness.Caller, req harness.Request) requestRecord {
	r := requestRecord{caller: caller, entry: e.Name, req: req, startedAt: time.Since(h.startedAt)}
	r.answer, r.err = c.Send(dt.t.Context(), req)
	r.endedAt = time.Since(h.startedAt)
	r.outcome = classifyOutcome(r.answer, r.err)
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

// outcomeOf reads the verdict. A connection that ends without one means that
// the request may have run, unless it could not be opened.
func classifyOutcome(a harness.Response, err error) string {
	var op *net.OpError
	switch {
	case err != nil && errors.As(err, &op) && op.Op == "dial":
		return notSent
	case a.Error != nil:
		return a.Error.Verdict
	case err != nil || a.Verdict == "":
		return mayHaveRun
	default:
		return a.Verdict
	}
}

// whole reports whether the caller has the whole answer of its request.
func (r *requestRecord) checkComplete() error {
	if r.err != nil {
		return r.err
	}
	if r.isGenerate() {
		return r.answer.CheckComplete()
	}
	return r.answer.CheckServiceCall()
}

func (r *requestRecord) isGenerate() bool { return r.req.Path == harness.GeneratePath(harness.Group) }

// failed describes a request without an answer, for messages.
func (r *requestRecord) describe() string {
	code := ""
	if r.answer.Error != nil {
		code = r.answer.Error.Code + ": " + r.answer.Error.Message
	}
	if r.err != nil {
		code = r.err.Error()
	}
	return time.Duration(r.startedAt).Round(time.Millisecond).String() + " to " + r.endedAt.Round(time.Millisecond).String() +
		" at " + r.entry + " " + r.req.Path + " " + r.outcome + " " + code
}

// revisions checks that the revision of a process never goes back.
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
		v.violations = append(v.violations, errors.Errorf("%s went back from revision %d to %d", name, old, rev).Error())
	}
	v.latest[name] = max(rev, v.latest[name])
}

// monitorEvery is the time between two looks at the revision of a process.
const monitorInterval = 50 * time.Millisecond

// startMonitor follows the revision of each daemon while the test runs.
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

func (dt *deploymentTest) recordRevision(n *harness.Node) {
	if !dt.restartLocks[n].TryLock() {
		return
	}
	defer dt.restartLocks[n].Unlock()
	if rev, err := dt.revision(n); err == nil {
		dt.revs.observe(n.Name, rev)
	}
}

// revision returns the revision that a daemon reports.
func (dt *deploymentTest) revision(n *harness.Node) (uint64, error) {
	var s struct{ Revision uint64 }
	err := harness.GetStatus(dt.ctx, n.Admin, &s)
	return s.Revision, err
}

// waitRevision waits until each node given holds the revision.
func (dt *deploymentTest) waitForRevision(bound time.Duration, rev uint64, nodes ...*harness.Node) {
	dt.t.Helper()
	dt.must(harness.WaitFor(dt.ctx, bound, "the newest revision", func() error {
		for _, n := range nodes {
			if got, err := dt.revision(n); err != nil || got < rev {
				return errors.Errorf("%s is at revision %d, want %d: %v", n.Name, got, rev, err)
			}
		}
		return nil
	}))
}
