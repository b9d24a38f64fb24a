package ledger

import (
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/ledgerdoc"
	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// work starts the worker of a document. The table gives out one at a time.
func (l *Ledger) work(name core.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.workers.Start()
	l.wg.Go(func() {
		defer l.workers.Done()
		w := worker{l: l, name: name, backoff: minBackoff}
		for w.step() {
		}
	})
}

// worker reads and writes one document until nothing is left to do.
type worker struct {
	l       *Ledger
	name    core.Document
	backoff time.Duration
}

// step does the next thing and reports whether to go on.
func (w *worker) step() bool {
	if w.l.ctx.Err() != nil {
		return false
	}
	switch w.l.table.NextStep(w.name) {
	case core.StepRead:
		return w.read()
	case core.StepWrite:
		return w.write()
	default:
		return false
	}
}

func (w *worker) read() bool {
	rec, rev, err := w.l.fetch(w.name)
	if err != nil {
		w.l.opts.Metrics.Count("ledger_read_failures", 1)
		return w.unreachable()
	}
	w.backoff = minBackoff
	out, unchanged := w.l.table.ReadSucceeded(w.name, rec, rev, w.l.clock.Now())
	if unchanged {
		w.l.leases.forget(w.name.Bucket)
	}
	w.l.deliver(out)
	return true
}

// unreachable tells the calls that wait, and that no write carried yet, that
// the platform is out of reach.
func (w *worker) unreachable() bool {
	out, retry := w.l.table.ReadFailed(w.name)
	w.l.deliver(out)
	return retry && w.pause()
}

// pause waits before the next try. It returns false if the ledger has ended.
func (w *worker) pause() bool {
	d := w.backoff
	w.backoff = min(2*w.backoff, maxBackoff)
	return w.l.sleep(d)
}

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

// fetch reads a document. An absent one has revision 0.
func (l *Ledger) fetch(name core.Document) (core.Records, int64, error) {
	e, err := l.kv.Get(l.ctx, name.String())
	if errors.Is(err, port.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrapf(err, "reading %s", name)
	}
	rec, err := ledgerdoc.Decode(e.Value)
	return rec, e.Rev, errors.Wrapf(err, "decoding %s", name)
}

// write waits for its turn and then writes all calls that wait by then. The
// lease comes first, since the platform may take long to grant it.
func (w *worker) write() bool {
	lease, err := w.l.leases.get(w.name.Bucket)
	if err != nil {
		return w.unreachable()
	}
	if !w.l.sleep(w.l.pacer.Reserve(w.l.clock.Now())) {
		return false
	}
	rec, rev, out, ok := w.l.table.PrepareWrite(w.name, w.l.clock.Now())
	w.l.deliver(out)
	if !ok {
		return true
	}
	value, err := ledgerdoc.Encode(rec)
	if err != nil {
		return w.refused()
	}
	w.l.opts.Metrics.Count("ledger_writes", 1)
	got, err := w.l.kv.CompareAndSwap(w.l.ctx, w.name.String(), rev, value, lease)
	return w.result(got, err)
}

// result takes in the outcome of a write.
func (w *worker) result(rev int64, err error) bool {
	switch {
	case err == nil:
		w.l.deliver(w.l.table.WriteSucceeded(w.name, rev, w.l.clock.Now()))
		return true
	case errors.Is(err, port.ErrUnavailable):
		return w.refused()
	case errors.Is(err, port.ErrConflict):
		w.l.opts.Metrics.Count("ledger_conflicts", 1)
		w.l.table.WriteUnconfirmed(w.name, true)
		return true
	default:
		w.l.opts.Metrics.Count("ledger_unknown_writes", 1)
		w.l.table.WriteUnconfirmed(w.name, false)
		return true
	}
}

// refused tells the calls of the write that the platform takes no writes. The
// worker goes on for calls that came meanwhile.
func (w *worker) refused() bool {
	w.l.opts.Metrics.Count("ledger_refused_writes", 1)
	out, retry := w.l.table.WriteRejected(w.name)
	w.l.deliver(out)
	return retry && w.pause()
}
