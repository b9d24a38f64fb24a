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
type record struct {
	caller     int
	entry      string
	req        harness.Request
	began, end time.Duration
	answer     harness.Response
	err        error
	outcome    string
}

// history is what callers saw.
type history struct {
	began time.Time

	mu      sync.Mutex
	records []record
}

// send sends one request and records it.
func (h *history) send(w *world, caller int, e *harness.Node, c *harness.Caller, req harness.Request) record {
	r := record{caller: caller, entry: e.Name, req: req, began: time.Since(h.began)}
	r.answer, r.err = c.Send(w.t.Context(), req)
	r.end = time.Since(h.began)
	r.outcome = outcomeOf(r.answer, r.err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r)
	return r
}

func (h *history) all() []record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]record(nil), h.records...)
}

// outcomeOf reads the verdict. A connection that ends without one means that
// the request may have run, unless it could not be opened.
func outcomeOf(a harness.Response, err error) string {
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
func (r *record) whole() error {
	if r.err != nil {
		return r.err
	}
	if r.generate() {
		return r.answer.CheckComplete()
	}
	return r.answer.CheckServiceCall()
}

func (r *record) generate() bool { return r.req.Path == harness.GeneratePath(harness.Group) }

// failed describes a request without an answer, for messages.
func (r *record) failed() string {
	code := ""
	if r.answer.Error != nil {
		code = r.answer.Error.Code + ": " + r.answer.Error.Message
	}
	if r.err != nil {
		code = r.err.Error()
	}
	return time.Duration(r.began).Round(time.Millisecond).String() + " to " + r.end.Round(time.Millisecond).String() +
		" at " + r.entry + " " + r.req.Path + " " + r.outcome + " " + code
}

// revisions checks that the revision of a process never goes back.
type revisions struct {
	mu     sync.Mutex
	newest map[string]uint64
	faults []string
}

func (v *revisions) forget(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.newest, name)
}

func (v *revisions) see(name string, rev uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.newest == nil {
		v.newest = map[string]uint64{}
	}
	if old := v.newest[name]; rev < old {
		v.faults = append(v.faults, errors.Errorf("%s went back from revision %d to %d", name, old, rev).Error())
	}
	v.newest[name] = max(rev, v.newest[name])
}

// monitorEvery is the time between two looks at the revision of a process.
const monitorEvery = 50 * time.Millisecond

// startMonitor follows the revision of each daemon while the test runs.
func (w *world) startMonitor() {
	for _, n := range w.Nodes() {
		w.locks[n] = &sync.Mutex{}
	}
	for _, n := range w.Nodes() {
		w.monitor.Go(func() {
			for w.ctx.Err() == nil {
				w.look(n)
				select {
				case <-w.ctx.Done():
				case <-time.After(monitorEvery):
				}
			}
		})
	}
}

func (w *world) look(n *harness.Node) {
	if !w.locks[n].TryLock() {
		return
	}
	defer w.locks[n].Unlock()
	if rev, err := w.revision(n); err == nil {
		w.revs.see(n.Name, rev)
	}
}

// revision returns the revision that a daemon reports.
func (w *world) revision(n *harness.Node) (uint64, error) {
	var s struct{ Revision uint64 }
	err := harness.GetStatus(w.ctx, n.Admin, &s)
	return s.Revision, err
}

// waitRevision waits until each node given holds the revision.
func (w *world) waitRevision(bound time.Duration, rev uint64, nodes ...*harness.Node) {
	w.t.Helper()
	w.must(harness.WaitFor(w.ctx, bound, "the newest revision", func() error {
		for _, n := range nodes {
			if got, err := w.revision(n); err != nil || got < rev {
				return errors.Errorf("%s is at revision %d, want %d: %v", n.Name, got, rev, err)
			}
		}
		return nil
	}))
}
