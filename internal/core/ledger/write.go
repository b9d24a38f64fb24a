package ledger

import (
	"maps"
	"time"
)

// compose builds the next write from the marks and all waiting calls but those
// that need a read first. It returns false if nothing is to be written.
func (d *doc) compose(now time.Time, window time.Duration) (out []Outcome, ok bool) {
	out = d.settle(now, window)
	d.next = maps.Clone(d.records)
	changed := d.applyMarks()
	var rest []call
	for _, c := range d.waiting {
		if c.reread {
			rest = append(rest, c)
			continue
		}
		if _, had := d.next[c.key.Hash]; !had && len(d.next) >= MaxRecords {
			out = append(out, d.drop(c, Full))
			continue
		}
		d.next[c.key.Hash] = Record{c.attempt, Started}
		d.inflight = append(d.inflight, c)
		changed = true
	}
	d.waiting = rest
	if !changed {
		d.next = nil
	}
	return out, changed
}

// applyMarks puts the marks into next. A mark whose attempt is not in the
// records has nothing to change: its write did not take effect.
func (d *doc) applyMarks() bool {
	changed := false
	for k, m := range d.marks {
		r, ok := d.next[k]
		if !ok || r.Attempt != m.Attempt || r.State != Started {
			delete(d.marks, k)
			continue
		}
		d.next[k] = m
		changed = true
	}
	return changed
}

// landed takes in that the write took effect.
func (d *doc) landed(rev int64, now time.Time, window time.Duration) []Outcome {
	d.records, d.rev, d.next = d.next, rev, nil
	for k, m := range d.marks {
		if d.records[k] == m {
			delete(d.marks, k)
			delete(d.own, m.Attempt)
		}
	}
	var out []Outcome
	for _, c := range d.inflight {
		if d.own[c.attempt] == notRun { // its caller has gone
			d.abort(c)
			continue
		}
		out = append(out, d.grant(c, now, window))
	}
	d.inflight = nil
	return out
}

// uncertain takes in that the write met a conflict or that its outcome is
// unknown: the document has to be read again.
func (d *doc) uncertain(conflict bool) {
	if conflict {
		d.conflicted = d.rev
	}
	for _, c := range d.inflight {
		if d.own[c.attempt] == notRun { // its caller has gone
			d.abort(c)
			continue
		}
		c.sent = true
		d.waiting = append(d.waiting, c)
	}
	d.inflight, d.next, d.fresh = nil, nil, false
}

// refused takes in that the write did not take effect and that the platform
// takes none.
func (d *doc) refused() []Outcome {
	var out []Outcome
	for _, c := range d.inflight {
		switch {
		case d.own[c.attempt] != notRun:
			out = append(out, d.drop(c, Unavailable))
		case !c.sent:
			delete(d.own, c.attempt)
		}
	}
	d.inflight, d.next = nil, nil
	return out
}

// drop gives a call up that does not run.
func (d *doc) drop(c call, j Decision) Outcome {
	if c.sent {
		d.abort(c)
	}
	return Outcome{c.attempt, j}
}
