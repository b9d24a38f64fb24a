package ledger

import (
	"maps"
	"time"
)

// prepareWrite builds the next write from the unwritten final records and all
// waiting calls that need no read first. It returns false if there is nothing
// to write.
func (d *docState) prepareWrite(now time.Time, window time.Duration) (out []Outcome, ok bool) {
	out = d.decideWaiting(now, window)
	d.nextRecords = maps.Clone(d.records)
	changed := d.applyUnwritten()
	var rest []pendingCall
	for _, c := range d.waiting {
		if c.needsRead {
			rest = append(rest, c)
			continue
		}
		if _, had := d.nextRecords[c.key.Hash]; !had && len(d.nextRecords) >= MaxRecords {
			out = append(out, d.reject(c, Full))
			continue
		}
		d.nextRecords[c.key.Hash] = Record{c.attempt, Started}
		d.writing = append(d.writing, c)
		changed = true
	}
	d.waiting = rest
	if !changed {
		d.nextRecords = nil
	}
	return out, changed
}

// applyUnwritten applies the unwritten final records to nextRecords and reports
// whether any of them changed it. It discards a final record if the attempt has
// no Started record, since the write of that attempt did not take effect.
func (d *docState) applyUnwritten() bool {
	changed := false
	for k, final := range d.unwritten {
		r, ok := d.nextRecords[k]
		if !ok || r.Attempt != final.Attempt || r.State != Started {
			delete(d.unwritten, k)
			continue
		}
		d.nextRecords[k] = final
		changed = true
	}
	return changed
}

// writeSucceeded handles a write that took effect at revision rev.
func (d *docState) writeSucceeded(rev int64, now time.Time, window time.Duration) []Outcome {
	d.records, d.rev, d.nextRecords = d.nextRecords, rev, nil
	for k, final := range d.unwritten {
		if d.records[k] == final {
			delete(d.unwritten, k)
			delete(d.attemptState, final.Attempt)
		}
	}
	var out []Outcome
	for _, c := range d.writing {
		if d.attemptState[c.attempt] == attemptNotRun { // canceled during the write
			d.setAborted(c)
			continue
		}
		out = append(out, d.allowRun(c, now, window))
	}
	d.writing = nil
	return out
}

// writeUnconfirmed handles a write that met a conflict or has an unknown
// result. The document is read again before the next write.
func (d *docState) writeUnconfirmed(conflict bool) {
	if conflict {
		d.conflictRev = d.rev
	}
	for _, c := range d.writing {
		if d.attemptState[c.attempt] == attemptNotRun { // canceled during the write
			d.setAborted(c)
			continue
		}
		c.maybeWritten = true
		d.waiting = append(d.waiting, c)
	}
	d.writing, d.nextRecords, d.cached = nil, nil, false
}

// writeRejected handles a write that did not take effect because the platform
// accepts no writes at present.
func (d *docState) writeRejected() []Outcome {
	var out []Outcome
	for _, c := range d.writing {
		switch {
		case d.attemptState[c.attempt] != attemptNotRun:
			out = append(out, d.reject(c, Unavailable))
		case !c.maybeWritten:
			delete(d.attemptState, c.attempt)
		}
	}
	d.writing, d.nextRecords = nil, nil
	return out
}

// reject returns the decision dec for a call that does not run. If the attempt
// may have been written, it also schedules an Aborted record.
func (d *docState) reject(c pendingCall, dec Decision) Outcome {
	if c.maybeWritten {
		d.setAborted(c)
	}
	return Outcome{c.attempt, dec}
}
