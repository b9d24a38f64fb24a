package ledger

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/shard"
)

// Step is what the worker of a document does next.
type Step uint8

// The steps.
const (
	// Idle ends the worker; Join or Flushable asks for a new one.
	Idle Step = iota
	// Read reads the document.
	Read
	// Write composes and writes the document.
	Write
)

// Outcome is the decision of one waiting attempt.
type Outcome struct {
	Attempt  Attempt
	Decision Decision
}

// Table holds the documents that a process works with, each under the lock of
// its shard. At most one worker at a time works on a document, so at most one
// write of it is in flight. Between two calls of a worker the document may be
// joined, abandoned and finished by others.
type Table struct {
	docs   *shard.Map[Document, *doc]
	window time.Duration
}

// NewTable returns an empty table for keys of the given window.
func NewTable(window time.Duration) *Table {
	return &Table{docs: shard.New[Document, *doc](0), window: window}
}

// Join takes a call in. The decision is Queued if the outcome follows. If
// start is true the caller has to start a worker for the document.
func (t *Table) Join(k Key, a Attempt, now time.Time) (dec Decision, start bool) {
	name := k.Document()
	t.docs.Update(name, func(d *doc, ok bool) (*doc, bool) {
		if !ok {
			d = newDoc(name)
		}
		d.lastUsed = now
		dec = d.join(call{key: k, attempt: a})
		start = dec == Queued && !d.worker
		d.worker = d.worker || start
		return d, true
	})
	return dec, start
}

// with calls f under the lock of the document's shard, if it is present.
func (t *Table) with(name Document, f func(*doc)) {
	t.docs.Update(name, func(d *doc, ok bool) (*doc, bool) {
		if ok {
			f(d)
		}
		return d, ok
	})
}

// Step returns what the worker does next. After Idle the worker has ended.
func (t *Table) Step(name Document) (s Step) {
	t.with(name, func(d *doc) {
		s = d.step()
		d.worker = s != Idle
	})
	return s
}

// Loaded takes in what a read returned; an absent document has revision 0.
// Unchanged means that the last write conflicted without a change of the
// document, so its lease is no good.
func (t *Table) Loaded(name Document, rec Records, rev int64, now time.Time) (out []Outcome, unchanged bool) {
	t.with(name, func(d *doc) { out, unchanged = d.loaded(rec, rev, now, t.window) })
	return out, unchanged
}

// Unread takes in that a read failed. If retry is false the worker has ended.
func (t *Table) Unread(name Document) (out []Outcome, retry bool) {
	t.with(name, func(d *doc) {
		out = d.unread()
		retry = len(d.waiting) > 0
		d.worker = retry
	})
	return out, retry
}

// Compose builds the next write from all calls that wait now. It returns false
// if there is nothing to write. The records must not be changed.
func (t *Table) Compose(name Document, now time.Time) (rec Records, rev int64, out []Outcome, ok bool) {
	t.with(name, func(d *doc) {
		out, ok = d.compose(now, t.window)
		rec, rev = d.next, d.rev
	})
	return rec, rev, out, ok
}

// Landed takes in that the write composed last took effect at revision rev.
func (t *Table) Landed(name Document, rev int64, now time.Time) (out []Outcome) {
	t.with(name, func(d *doc) { out = d.landed(rev, now, t.window) })
	return out
}

// Uncertain takes in that the write composed last met a conflict or has an
// unknown outcome.
func (t *Table) Uncertain(name Document, conflict bool) {
	t.with(name, func(d *doc) { d.uncertain(conflict) })
}

// Refused takes in that the write composed last did not take effect and that
// the platform takes none. If retry is false the worker has ended.
func (t *Table) Refused(name Document) (out []Outcome, retry bool) {
	t.with(name, func(d *doc) {
		out = d.refused()
		retry = len(d.waiting) > 0
		d.worker = retry
	})
	return out, retry
}

// Abandon takes in that the caller of an attempt has gone. The attempt does
// not run, whatever was decided.
func (t *Table) Abandon(k Key, a Attempt) {
	t.with(k.Document(), func(d *doc) { d.abandon(k, a) })
}

// Finish takes in the end of a run: Done, Aborted if it certainly did not run,
// or Started if that is unknown. Further calls for the attempt do nothing.
func (t *Table) Finish(k Key, a Attempt, end State) {
	t.with(k.Document(), func(d *doc) { d.finish(k, a, end) })
}

// Flushable returns up to n documents that have marks to write and no worker,
// and gives each a worker, which the caller has to start.
func (t *Table) Flushable(n int) []Document {
	var out []Document
	t.docs.Range(func(name Document, d *doc) bool {
		if len(out) >= n {
			return false
		}
		if len(d.marks) > 0 && !d.worker {
			d.worker = true
			out = append(out, name)
		}
		return true
	})
	return out
}

// idleTime is how long a document without open work is kept. Calls of one
// bucket arrive within about a minute of each other.
const idleTime = 2 * time.Minute

// Sweep forgets documents whose keys are all too old, and documents that have
// not been used for a while and can be read again.
func (t *Table) Sweep(now time.Time) {
	var old []Document
	t.docs.Range(func(name Document, d *doc) bool {
		if d.forgettable(now, t.window) {
			old = append(old, name)
		}
		return true
	})
	for _, name := range old {
		t.docs.Update(name, func(d *doc, ok bool) (*doc, bool) {
			return d, ok && !d.forgettable(now, t.window)
		})
	}
}

func (d *doc) forgettable(now time.Time, window time.Duration) bool {
	return !d.worker && (d.name.Bucket.Expired(now, window) || d.idle() && now.Sub(d.lastUsed) > idleTime)
}

// Marks returns the number of documents with marks to write.
func (t *Table) Marks() int {
	n := 0
	t.docs.Range(func(_ Document, d *doc) bool {
		if len(d.marks) > 0 {
			n++
		}
		return true
	})
	return n
}

// Len returns the number of documents held.
func (t *Table) Len() int { return t.docs.Len() }
