package ledger

import (
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/supervise"
	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// minBackoff and maxBackoff limit the delay before a failed read or rejected
	// write is retried.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// startWorker starts the worker of a document. The table requests at most one
// at a time for a document.
func (l *Ledger) startWorker(doc core.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.workers.Start()
	l.wg.Go(func() {
		defer l.workers.Done()
		w := worker{l: l, doc: doc, backoff: minBackoff}
		for w.step() {
		}
	})
}

// worker reads and writes one document until the table has no further step for
// it.
type worker struct {
	l       *Ledger
	doc     core.Document
	backoff time.Duration
}

// step performs the next step and reports whether the worker should continue.
func (w *worker) step() bool {
	if w.l.ctx.Err() != nil {
		return false
	}
	switch w.l.table.NextStep(w.doc) {
	case core.StepRead:
		return w.read()
	case core.StepWrite:
		return w.write()
	default:
		return false
	}
}

func (w *worker) read() bool {
	var rec core.Records
	var rev int64
	err := supervise.Call(w.l.opts.Log, w.l.opts.Metrics, "ledger_read", func() (err error) {
		rec, rev, err = w.l.readDocument(w.doc)
		return err
	})
	if err != nil {
		w.l.opts.Metrics.Count("ledger_read_failures", 1)
		return w.handleReadFailure()
	}
	w.backoff = minBackoff
	out, unchanged := w.l.table.ReadSucceeded(w.doc, rec, rev, w.l.clock.Now())
	if unchanged {
		w.l.leases.forget(w.doc.Bucket)
	}
	w.l.deliver(out)
	return true
}

// handleReadFailure rejects the waiting calls, except those whose attempt may
// already be in the document, because the platform cannot be reached.
func (w *worker) handleReadFailure() bool {
	out, retry := w.l.table.ReadFailed(w.doc)
	w.l.deliver(out)
	return retry && w.waitBackoff()
}

// waitBackoff waits before the next attempt to reach the platform. It returns
// false if the ledger was stopped.
func (w *worker) waitBackoff() bool {
	d := w.backoff
	w.backoff = min(2*w.backoff, maxBackoff)
	return w.l.sleep(d)
}

// sleep returns false if the ledger was stopped.
func (l *Ledger) sleep(d time.Duration) bool {
	if d <= 0 {
		return l.ctx.Err() == nil
	}
	select {
	case <-l.clock.After(d):
		return true
	case <-l.ctx.Done():
		return false
	}
}

// readDocument reads a document. An absent document has revision 0.
func (l *Ledger) readDocument(doc core.Document) (core.Records, int64, error) {
	e, err := l.kv.Get(l.ctx, doc.String())
	if errors.Is(err, port.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrapf(err, "reading %s", doc)
	}
	rec, err := l.codec.Decode(e.Value)
	return rec, e.Rev, errors.Wrapf(err, "decoding %s", doc)
}

// write waits for the rate limit and then writes the attempts of all calls that
// are waiting at that time. It gets the lease first, since the platform may take
// long to grant it.
func (w *worker) write() bool {
	lease, err := w.l.leases.get(w.doc.Bucket)
	if err != nil {
		return w.handleReadFailure()
	}
	if !w.l.sleep(w.l.writeLimiter.Reserve(w.l.clock.Now())) {
		return false
	}
	rec, rev, out, ok := w.l.table.PrepareWrite(w.doc, w.l.clock.Now())
	w.l.deliver(out)
	if !ok {
		return true
	}
	value, err := w.l.codec.Encode(rec)
	if err != nil {
		return w.handleWriteRejection()
	}
	w.l.opts.Metrics.Count("ledger_writes", 1)
	newRev, err := w.l.kv.CompareAndSwap(w.l.ctx, w.doc.String(), rev, value, lease)
	return w.handleWriteResult(newRev, err)
}

// handleWriteResult passes the result of a write to the table.
func (w *worker) handleWriteResult(rev int64, err error) bool {
	switch {
	case err == nil:
		w.l.deliver(w.l.table.WriteSucceeded(w.doc, rev, w.l.clock.Now()))
		return true
	case errors.Is(err, port.ErrUnavailable):
		return w.handleWriteRejection()
	case errors.Is(err, port.ErrConflict):
		w.l.opts.Metrics.Count("ledger_conflicts", 1)
		w.l.table.WriteUnconfirmed(w.doc, true)
		return true
	default:
		w.l.opts.Metrics.Count("ledger_unknown_writes", 1)
		w.l.table.WriteUnconfirmed(w.doc, false)
		return true
	}
}

// handleWriteRejection rejects the calls of a write that did not take effect,
// mostly because the platform accepts no writes at present. The worker continues
// for calls that were queued in the meantime.
func (w *worker) handleWriteRejection() bool {
	w.l.opts.Metrics.Count("ledger_refused_writes", 1)
	out, retry := w.l.table.WriteRejected(w.doc)
	w.l.deliver(out)
	return retry && w.waitBackoff()
}
