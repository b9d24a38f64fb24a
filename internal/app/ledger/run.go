package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// flushInterval is the interval at which final records are written that were
	// not included in the write of a call.
	flushInterval = time.Second
	// sweepInterval is the interval at which expired documents, leases and answers
	// are removed.
	sweepInterval = 30 * time.Second
	// stopTimeout limits the time for the last final records during a graceful
	// shutdown. Writing the partitions of two minutes takes 6.4 s at the default
	// write rate.
	stopTimeout = 10 * time.Second
)

// Run writes final records and removes expired state until ctx ends. Then it
// refuses new calls, writes the remaining final records, and returns. Running
// calls should finish before ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	lastSweep := l.clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.clock.After(flushInterval):
			now := l.clock.Now()
			l.startFlush(l.writeLimiter.SpareWrites(now))
			if now.Sub(lastSweep) >= sweepInterval {
				lastSweep = now
				l.table.Sweep(now)
				l.leases.removeExpired(now)
				l.answers.Expire(now, l.opts.Window)
				l.opts.Metrics.Gauge("ledger_answer_bytes", float64(l.answers.Bytes()))
			}
		}
	}
	l.closed.Store(true)
	return l.flushAndStop()
}

// startFlush starts workers for up to n documents that have unwritten final
// records.
func (l *Ledger) startFlush(n int) {
	for _, d := range l.table.ClaimDirty(n) {
		l.startWorker(d)
	}
}

// flushAndStop writes the remaining final records within stopTimeout and stops
// the workers.
func (l *Ledger) flushAndStop() error {
	timeout := l.clock.After(stopTimeout)
	for l.flushAll(timeout) && l.table.DirtyDocuments() > 0 && l.waitBeforeRetry(timeout) {
	}
	l.Kill()
	if unwritten := l.table.DirtyDocuments(); unwritten > 0 {
		return errors.Errorf("%d documents have final records that were not written", unwritten)
	}
	return nil
}

// waitBeforeRetry waits before the next attempt to write final records that the
// platform rejected. It uses a timer because nothing signals when the platform
// accepts writes again. It returns false if the timeout comes first.
func (l *Ledger) waitBeforeRetry(timeout <-chan time.Time) bool {
	select {
	case <-l.clock.After(minBackoff):
		return true
	case <-timeout:
		return false
	}
}

// flushAll starts the writes of all final records and waits until no worker is
// running. It returns false if the timeout comes first.
func (l *Ledger) flushAll(timeout <-chan time.Time) bool {
	l.startFlush(l.table.DirtyDocuments())
	for !l.workers.Idle() {
		select {
		case <-l.workers.IdleSignal():
		case <-timeout:
			return false
		}
	}
	return true
}

// Kill stops all work immediately, like a crash of the process, and waits until
// the workers have returned. Waiting calls do not run.
func (l *Ledger) Kill() {
	l.closed.Store(true)
	l.cancel()
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.wg.Wait()
}
