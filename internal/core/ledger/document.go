package ledger

import (
	"time"
)

// call is a call that waits for its record.
type call struct {
	key     Key
	attempt Attempt
	// sent means that a write with the attempt may have taken effect.
	sent bool
	// reread asks for a fresh read, because a cached record of another process
	// may have changed since.
	reread bool
}

// own is what this process knows of an attempt of its own.
type own uint8

const (
	running own = iota + 1
	// notRun attempts did not run and never will, so their records may be
	// replaced by this process.
	notRun
)

// doc is the state of one document. Its methods run under the lock of its
// shard and do not block.
type doc struct {
	name Document
	// fresh means that rev and records need no read before the next write.
	fresh   bool
	rev     int64
	records Records
	// conflicted is the revision at which the last write met a conflict, or -1.
	conflicted int64
	// worker means that a goroutine works on the document.
	worker   bool
	waiting  []call
	inflight []call
	next     Records
	own      map[Attempt]own
	// marks are the final states that are not written yet, by key.
	marks    map[KeyHash]Record
	lastUsed time.Time
}

func newDoc(name Document) *doc {
	return &doc{
		name: name, records: Records{}, conflicted: -1,
		own: map[Attempt]own{}, marks: map[KeyHash]Record{},
	}
}

// judge returns what the records known say of a call. Queued means that the
// call may be written.
func (d *doc) judge(c call) Decision {
	r, ok := d.records[c.key.Hash]
	switch {
	case !ok && len(d.records) >= MaxRecords:
		return Full
	case !ok || r.State == Aborted:
		return Queued
	case r.State == Done || d.marks[c.key.Hash] == Record{r.Attempt, Done}:
		return AlreadyRan
	case r.Attempt == c.attempt:
		return Run
	case d.own[r.Attempt] == notRun:
		return Queued
	case d.own[r.Attempt] == running:
		return InProgress
	default:
		return MayHaveRun
	}
}

// join takes a call in, or decides it at once.
func (d *doc) join(c call) Decision {
	if d.holds(c.key.Hash) {
		return InProgress
	}
	switch j := d.judge(c); j {
	case Queued:
	case MayHaveRun:
		c.reread = true
	default:
		return j
	}
	d.waiting = append(d.waiting, c)
	return Queued
}

// holds reports whether a call with the key waits or is being written. A call
// that is being written and whose caller has gone never runs, so it holds
// nothing.
func (d *doc) holds(k KeyHash) bool {
	for _, cs := range [2][]call{d.waiting, d.inflight} {
		for _, c := range cs {
			if c.key.Hash == k && d.own[c.attempt] != notRun {
				return true
			}
		}
	}
	return false
}

// step returns what the worker does next.
func (d *doc) step() Step {
	if len(d.waiting) == 0 && len(d.marks) == 0 {
		return Idle
	}
	if !d.fresh {
		return Read
	}
	for _, c := range d.waiting {
		if c.reread {
			return Read
		}
	}
	return Write
}

// loaded takes in what was read and decides the calls that need no write. It
// reports whether the last conflict came without a change of the document, as
// it does when the lease of the write has expired.
func (d *doc) loaded(rec Records, rev int64, now time.Time, window time.Duration) (out []Outcome, unchanged bool) {
	unchanged = d.conflicted == rev
	d.conflicted = -1
	// A read may lag behind a write of this process that is known to have
	// taken effect. What it says is older than what is held.
	if rev == 0 || rev >= d.rev {
		d.records, d.rev = Merge(d.records, rec), rev
	}
	d.fresh = true
	if len(d.own) > 0 {
		d.remark()
	}
	for i := range d.waiting {
		d.waiting[i].reread = false
	}
	return d.settle(now, window), unchanged
}

// remark marks the records of attempts that never run. Such a record can come
// into the document late, by a write whose answer was lost.
func (d *doc) remark() {
	for k, r := range d.records {
		if r.State == Started && d.own[r.Attempt] == notRun {
			d.marks[k] = Record{r.Attempt, Aborted}
		}
	}
}

// settle decides the waiting calls that the records decide.
func (d *doc) settle(now time.Time, window time.Duration) []Outcome {
	var out []Outcome
	rest := d.waiting[:0]
	for _, c := range d.waiting {
		if c.reread {
			rest = append(rest, c)
			continue
		}
		switch j := d.judge(c); j {
		case Queued:
			rest = append(rest, c)
		case Run:
			out = append(out, d.grant(c, now, window))
		default:
			out = append(out, Outcome{c.attempt, j})
		}
	}
	d.waiting = rest
	return out
}

// grant lets a call run whose record is known to be in the document. A key
// that has left its window by now may have had a record that expired before
// the write, so the call does not run.
func (d *doc) grant(c call, now time.Time, window time.Duration) Outcome {
	if c.key.checkAge(now, window) != nil {
		d.abort(c)
		return Outcome{c.attempt, Expired}
	}
	d.own[c.attempt] = running
	return Outcome{c.attempt, Run}
}

// abort remembers that an attempt whose record is or may come into the
// document never runs.
func (d *doc) abort(c call) {
	d.own[c.attempt] = notRun
	d.marks[c.key.Hash] = Record{c.attempt, Aborted}
}

// unread takes in that the document could not be read. Calls whose attempt
// may be in the document go on waiting.
func (d *doc) unread() []Outcome {
	var out []Outcome
	rest := d.waiting[:0]
	for _, c := range d.waiting {
		if c.sent {
			rest = append(rest, c)
			continue
		}
		out = append(out, Outcome{c.attempt, Unavailable})
	}
	d.waiting = rest
	return out
}

// abandon takes in that the caller has gone or has run out of time.
func (d *doc) abandon(k Key, a Attempt) {
	for i, c := range d.waiting {
		if c.attempt != a {
			continue
		}
		d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
		d.drop(c, Unavailable)
		return
	}
	for _, c := range d.inflight {
		if c.attempt == a {
			d.own[a] = notRun
			return
		}
	}
	if d.own[a] == running {
		d.abort(call{key: k, attempt: a})
	}
}

// finish takes in the end of a run.
func (d *doc) finish(k Key, a Attempt, end State) {
	if d.own[a] != running {
		return
	}
	switch end {
	case Done:
		delete(d.own, a)
		d.marks[k.Hash] = Record{a, Done}
	case Aborted:
		d.abort(call{key: k, attempt: a})
	default:
		delete(d.own, a)
	}
}

// idle reports whether the document can be forgotten without a loss.
func (d *doc) idle() bool {
	return len(d.waiting) == 0 && len(d.inflight) == 0 && len(d.marks) == 0 && len(d.own) == 0
}
