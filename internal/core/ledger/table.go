package ledger

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/shard"
)

// Step is the next action of a document's worker.
type Step uint8

const (
	// StepIdle ends the worker. Submit or ClaimDirty requests a new one.
	StepIdle Step = iota
	// StepRead reads the document.
	StepRead
	// StepWrite prepares and sends a write of the document.
	StepWrite
)

// Outcome is the final decision on an attempt that was Queued.
type Outcome struct {
	Attempt  Attempt
	Decision Decision
}

// Table holds the documents that a process is working with, each under the lock
// of its shard. A document has at most one worker, and therefore at most one
// write in flight. Between two calls of the worker, other goroutines may
// submit, cancel and finish calls on the document.
type Table struct {
	docs   *shard.Map[Document, *docState]
	window time.Duration
}

// NewTable returns an empty table for keys that are valid for window.
func NewTable(window time.Duration) *Table {
	return &Table{docs: shard.New[Document, *docState](0), window: window}
}

// Submit adds a call. If the decision is Queued, the final one is returned
// later as an Outcome. If startWorker is true, the caller must start a worker
// for the document.
func (t *Table) Submit(k Key, a Attempt, now time.Time) (dec Decision, startWorker bool) {
	name := k.Document()
	t.docs.Update(name, func(d *docState, ok bool) (*docState, bool) {
		if !ok {
			d = newDocState(name)
		}
		d.lastUsed = now
		dec = d.submit(pendingCall{key: k, attempt: a})
		startWorker = dec == Queued && !d.hasWorker
		d.hasWorker = d.hasWorker || startWorker
		return d, true
	})
	return dec, startWorker
}

// update calls f under the lock of the document's shard if the table has the
// document.
func (t *Table) update(name Document, f func(*docState)) {
	t.docs.Update(name, func(d *docState, ok bool) (*docState, bool) {
		if ok {
			f(d)
		}
		return d, ok
	})
}

// NextStep returns the worker's next step. After StepIdle the worker must end.
func (t *Table) NextStep(name Document) (s Step) {
	t.update(name, func(d *docState) {
		s = d.nextStep()
		d.hasWorker = s != StepIdle
	})
	return s
}

// ReadSucceeded passes the result of a read; an absent document has revision 0.
// If unchanged is true, the last write met a conflict although the document is
// the same, so the lease of that write has expired.
func (t *Table) ReadSucceeded(name Document, records Records, rev int64, now time.Time) (out []Outcome, unchanged bool) {
	t.update(name, func(d *docState) { out, unchanged = d.readSucceeded(records, rev, now, t.window) })
	return out, unchanged
}

// ReadFailed reports a failed read. If retry is false, the worker must end.
func (t *Table) ReadFailed(name Document) (out []Outcome, retry bool) {
	t.update(name, func(d *docState) {
		out = d.readFailed()
		retry = len(d.waiting) > 0
		d.hasWorker = retry
	})
	return out, retry
}

// PrepareWrite builds the next write from all calls that are waiting now. It
// returns false if there is nothing to write. The caller must not modify the
// records.
func (t *Table) PrepareWrite(name Document, now time.Time) (records Records, rev int64, out []Outcome, ok bool) {
	t.update(name, func(d *docState) {
		out, ok = d.prepareWrite(now, t.window)
		records, rev = d.nextRecords, d.rev
	})
	return records, rev, out, ok
}

// WriteSucceeded reports that the last prepared write took effect at revision
// rev.
func (t *Table) WriteSucceeded(name Document, rev int64, now time.Time) (out []Outcome) {
	t.update(name, func(d *docState) { out = d.writeSucceeded(rev, now, t.window) })
	return out
}

// WriteUnconfirmed reports that the last prepared write met a conflict or has
// an unknown result.
func (t *Table) WriteUnconfirmed(name Document, conflict bool) {
	t.update(name, func(d *docState) { d.writeUnconfirmed(conflict) })
}

// WriteRejected reports that the last prepared write did not take effect and
// that the platform accepts no writes at present. If retry is false, the worker
// must end.
func (t *Table) WriteRejected(name Document) (out []Outcome, retry bool) {
	t.update(name, func(d *docState) {
		out = d.writeRejected()
		retry = len(d.waiting) > 0
		d.hasWorker = retry
	})
	return out, retry
}

// Cancel reports that the caller of an attempt disconnected or reached its
// deadline. The attempt does not run, even if it was allowed to.
func (t *Table) Cancel(k Key, a Attempt) {
	t.update(k.Document(), func(d *docState) { d.cancel(k, a) })
}

// Finish reports how a run ended: Done, Aborted if it certainly did not run, or
// Started if that is unknown. Later calls for the same attempt have no effect.
func (t *Table) Finish(k Key, a Attempt, end State) {
	t.update(k.Document(), func(d *docState) { d.finish(k, a, end) })
}

// ClaimDirty returns up to n documents that have unwritten final records and no
// worker. It assigns a worker to each, which the caller must start.
func (t *Table) ClaimDirty(n int) []Document {
	var out []Document
	t.docs.Range(func(name Document, d *docState) bool {
		if len(out) >= n {
			return false
		}
		if len(d.unwritten) > 0 && !d.hasWorker {
			d.hasWorker = true
			out = append(out, name)
		}
		return true
	})
	return out
}

// idleRetention is how long a document without pending work is kept. Calls of one
// bucket arrive within about a minute of each other.
const idleRetention = 2 * time.Minute

// Sweep removes documents whose keys have all expired, and documents without
// pending work that have not been used for idleRetention and can be read again.
func (t *Table) Sweep(now time.Time) {
	var removable []Document
	t.docs.Range(func(name Document, d *docState) bool {
		if d.evictable(now, t.window) {
			removable = append(removable, name)
		}
		return true
	})
	for _, name := range removable {
		t.docs.Update(name, func(d *docState, ok bool) (*docState, bool) {
			return d, ok && !d.evictable(now, t.window)
		})
	}
}

func (d *docState) evictable(now time.Time, window time.Duration) bool {
	return !d.hasWorker && (d.name.Bucket.Expired(now, window) || d.unused() && now.Sub(d.lastUsed) > idleRetention)
}

// DirtyDocuments returns the number of documents with unwritten final records.
func (t *Table) DirtyDocuments() int {
	n := 0
	t.docs.Range(func(_ Document, d *docState) bool {
		if len(d.unwritten) > 0 {
			n++
		}
		return true
	})
	return n
}

// Len returns the number of documents in the table.
func (t *Table) Len() int { return t.docs.Len() }
