package ledger

import (
	"time"
)

// pendingCall is a call that waits until its attempt is recorded or rejected.
type pendingCall struct {
	key     Key
	attempt Attempt
	// maybeWritten means that a write that contains the attempt may have taken
	// effect.
	maybeWritten bool
	// needsRead requests a fresh read before the next decision: the cached
	// record belongs to another process, which may have changed it since.
	needsRead bool
}

// attemptState is what this process knows about one of its own attempts.
// Attempts that are undecided or finished, and those of other processes, have
// no entry in docState.attemptState.
type attemptState uint8

const (
	// attemptRunning: the attempt was allowed to run and has not ended.
	attemptRunning attemptState = iota + 1
	// attemptNotRun: the attempt did not run and never will, so this process
	// may replace its record.
	attemptNotRun
)

// docState is the state of one document. Its methods run under the lock of its
// shard and do not block.
type docState struct {
	name Document
	// cached means that rev and records can be used for the next write without
	// a read.
	cached  bool
	rev     int64
	records Records
	// conflictRev is the revision on which the last write was based if that
	// write met a conflict, otherwise -1.
	conflictRev int64
	// hasWorker means that a goroutine is processing the document.
	hasWorker bool
	// waiting are the calls for the next write, writing those in the current
	// one.
	waiting []pendingCall
	writing []pendingCall
	// nextRecords is the content of the write in progress.
	nextRecords  Records
	attemptState map[Attempt]attemptState
	// unwritten holds, by key, the final records that are not yet in the
	// document.
	unwritten map[KeyHash]Record
	lastUsed  time.Time
}

func newDocState(name Document) *docState {
	return &docState{
		name: name, records: Records{}, conflictRev: -1,
		attemptState: map[Attempt]attemptState{}, unwritten: map[KeyHash]Record{},
	}
}

// decide returns the decision that the known records imply for a call. Queued
// means that the attempt may be written.
func (d *docState) decide(c pendingCall) Decision {
	r, ok := d.records[c.key.Hash]
	switch {
	case !ok && len(d.records) >= MaxRecords:
		return Full
	case !ok || r.State == Aborted:
		return Queued
	case r.State == Done || d.unwritten[c.key.Hash] == Record{r.Attempt, Done}:
		return AlreadyRan
	case r.Attempt == c.attempt:
		return Run
	case d.attemptState[r.Attempt] == attemptNotRun:
		return Queued
	case d.attemptState[r.Attempt] == attemptRunning:
		return InProgress
	default:
		return MayHaveRun
	}
}

// submit queues a call, or returns its decision if that needs neither a read
// nor a write.
func (d *docState) submit(c pendingCall) Decision {
	if d.hasLiveCall(c.key.Hash) {
		return InProgress
	}
	switch dec := d.decide(c); dec {
	case Queued:
	case MayHaveRun:
		c.needsRead = true
	default:
		return dec
	}
	d.waiting = append(d.waiting, c)
	return Queued
}

// hasLiveCall reports whether a call with the key is waiting or being written.
// A call that was canceled during the write never runs and does not count.
func (d *docState) hasLiveCall(k KeyHash) bool {
	for _, cs := range [2][]pendingCall{d.waiting, d.writing} {
		for _, c := range cs {
			if c.key.Hash == k && d.attemptState[c.attempt] != attemptNotRun {
				return true
			}
		}
	}
	return false
}

// nextStep returns the next step of the worker.
func (d *docState) nextStep() Step {
	if len(d.waiting) == 0 && len(d.unwritten) == 0 {
		return StepIdle
	}
	if !d.cached {
		return StepRead
	}
	for _, c := range d.waiting {
		if c.needsRead {
			return StepRead
		}
	}
	return StepWrite
}

// readSucceeded merges the records read and decides the calls that need no
// write. It reports whether the last write met a conflict although the document
// is unchanged, as happens when the lease of the write has expired.
func (d *docState) readSucceeded(fetched Records, rev int64, now time.Time, window time.Duration) (out []Outcome, unchanged bool) {
	unchanged = d.conflictRev == rev
	d.conflictRev = -1
	// A read may lag behind a write of this process that took effect. Ignore a
	// revision older than the cached one.
	if rev == 0 || rev >= d.rev {
		d.records, d.rev = Merge(d.records, fetched), rev
	}
	d.cached = true
	if len(d.attemptState) > 0 {
		d.markNotRun()
	}
	for i := range d.waiting {
		d.waiting[i].needsRead = false
	}
	return d.decideWaiting(now, window), unchanged
}

// markNotRun schedules an Aborted record for each Started record whose attempt
// never runs. Such a record can appear late, through a write whose reply was
// lost.
func (d *docState) markNotRun() {
	for k, r := range d.records {
		if r.State == Started && d.attemptState[r.Attempt] == attemptNotRun {
			d.unwritten[k] = Record{r.Attempt, Aborted}
		}
	}
}

// decideWaiting removes and returns the waiting calls that the records already
// decide.
func (d *docState) decideWaiting(now time.Time, window time.Duration) []Outcome {
	var out []Outcome
	rest := d.waiting[:0]
	for _, c := range d.waiting {
		if c.needsRead {
			rest = append(rest, c)
			continue
		}
		switch dec := d.decide(c); dec {
		case Queued:
			rest = append(rest, c)
		case Run:
			out = append(out, d.allowRun(c, now, window))
		default:
			out = append(out, Outcome{c.attempt, dec})
		}
	}
	d.waiting = rest
	return out
}

// allowRun lets a call run whose attempt is recorded in the document. If the
// key is now older than the window, an earlier record of it may have expired
// before the write, so the call does not run.
func (d *docState) allowRun(c pendingCall, now time.Time, window time.Duration) Outcome {
	if c.key.checkAge(now, window) != nil {
		d.setAborted(c)
		return Outcome{c.attempt, Expired}
	}
	d.attemptState[c.attempt] = attemptRunning
	return Outcome{c.attempt, Run}
}

// setAborted schedules an Aborted record for an attempt that never runs. Its
// Started record is in the document or may still appear there.
func (d *docState) setAborted(c pendingCall) {
	d.attemptState[c.attempt] = attemptNotRun
	d.unwritten[c.key.Hash] = Record{c.attempt, Aborted}
}

// readFailed handles a failed read. It rejects the waiting calls, except those
// whose attempt may already be in the document.
func (d *docState) readFailed() []Outcome {
	var out []Outcome
	rest := d.waiting[:0]
	for _, c := range d.waiting {
		if c.maybeWritten {
			rest = append(rest, c)
			continue
		}
		out = append(out, Outcome{c.attempt, Unavailable})
	}
	d.waiting = rest
	return out
}

// cancel handles a caller that disconnected or reached its deadline. The
// attempt does not run.
func (d *docState) cancel(k Key, a Attempt) {
	for i, c := range d.waiting {
		if c.attempt != a {
			continue
		}
		d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
		d.reject(c, Unavailable)
		return
	}
	for _, c := range d.writing {
		if c.attempt == a {
			d.attemptState[a] = attemptNotRun
			return
		}
	}
	if d.attemptState[a] == attemptRunning {
		d.setAborted(pendingCall{key: k, attempt: a})
	}
}

// finish records how the run of an attempt ended.
func (d *docState) finish(k Key, a Attempt, end State) {
	if d.attemptState[a] != attemptRunning {
		return
	}
	switch end {
	case Done:
		delete(d.attemptState, a)
		d.unwritten[k.Hash] = Record{a, Done}
	case Aborted:
		d.setAborted(pendingCall{key: k, attempt: a})
	default:
		delete(d.attemptState, a)
	}
}

// unused reports whether the document can be removed without losing state.
func (d *docState) unused() bool {
	return len(d.waiting) == 0 && len(d.writing) == 0 && len(d.unwritten) == 0 && len(d.attemptState) == 0
}
