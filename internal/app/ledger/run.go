package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// flushInterval is how often marks that no call carried along are written.
	flushInterval = time.Second
	// sweepInterval is how often old documents and answers are forgotten.
	sweepInterval = 30 * time.Second
	// stopTimeout bounds the last writes of marks at a planned stop. The
	// partitions of two minutes take 6.4 s at the default rate of writes.
	stopTimeout = 10 * time.Second
)

// Run writes marks and forgets what is old until ctx ends. Then it refuses new
// calls, writes the marks that are left, and returns. Calls that run at that
// time should have finished before ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	swept := l.clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.clock.After(flushInterval):
			now := l.clock.Now()
			l.flush(l.pacer.SpareWrites(now))
			if now.Sub(swept) >= sweepInterval {
				swept = now
				l.table.Sweep(now)
				l.leases.sweep(now)
				l.answers.Expire(now, l.opts.Window)
				l.opts.Metrics.Gauge("ledger_answer_bytes", float64(l.answers.Bytes()))
			}
		}
	}
	l.closed.Store(true)
	return l.stop()
}

// flush starts the writes of up to n documents with marks.
func (l *Ledger) flush(n int) {
	for _, d := range l.table.ClaimDirty(n) {
		l.work(d)
	}
}

// stop writes the marks that are left within stopTimeout and ends the workers.
func (l *Ledger) stop() error {
	end := l.clock.After(stopTimeout)
	for l.flushed(end) && l.table.DirtyDocuments() > 0 && l.pauseBefore(end) {
	}
	l.Kill()
	if left := l.table.DirtyDocuments(); left > 0 {
		return errors.Errorf("%d documents with ends of calls that were not written", left)
	}
	return nil
}

// pauseBefore waits before marks are written again that the platform did not
// take. It is a timer because nothing signals that the platform takes writes
// again. It returns false if end comes first.
func (l *Ledger) pauseBefore(end <-chan time.Time) bool {
	select {
	case <-l.clock.After(minBackoff):
		return true
	case <-end:
		return false
	}
}

// flushed starts the writes of all marks and waits until no worker is left. It
// returns false if end comes first.
func (l *Ledger) flushed(end <-chan time.Time) bool {
	l.flush(l.table.DirtyDocuments())
	for !l.workers.Idle() {
		select {
		case <-l.workers.IdleSignal():
		case <-end:
			return false
		}
	}
	return true
}

// Kill ends all work at once, as the end of the process would, and waits for
// the workers. Calls that wait are not run.
func (l *Ledger) Kill() {
	l.closed.Store(true)
	l.cancel()
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.wg.Wait()
}
