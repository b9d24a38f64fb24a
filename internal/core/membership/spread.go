package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sendsUrgent and sendsUpdate are how often a process passes on a change. Of
	// the urgent ones half go to members that have them already.
	// What members do not receive in this way they find by their digests.
	sendsUrgent = 2 * (OwnNeighbours + OtherNeighbours)
	sendsUpdate = 3
	// updateFor is the time for which a change is passed on. Without it, a fleet
	// that starts passes on each of its records for as long as the budget
	// needs, to members that have them.
	updateFor = 10 * time.Second
)

// changed makes a change something to pass on. One that follows an urgent one
// does not take its place.
func (e entry[P]) changed(now time.Time, urgent bool) entry[P] {
	if !urgent && e.urgent && e.pending(now) {
		return e
	}
	e.changedAt, e.sends, e.urgent = at(now), sendsUpdate, urgent
	if urgent {
		e.sends = sendsUrgent
	}
	return e
}

func (e entry[P]) pending(now time.Time) bool {
	return e.sends > 0 && e.changedAt.until(now) < updateFor
}

// Size estimates the bytes that a record takes in a message.
type Size[P any] func(*Record[P]) int

// Changed returns records that changed lately and counts them as passed on
// once more: urgent ones first, then those passed on least. Urgent ones take
// at most urgent bytes; others are added up to room bytes in all. State
// changes of a member that is not alive go out as bare records.
func (t *Table[P]) Changed(urgent, room int, size Size[P], now time.Time) []Seen[P] {
	type item struct {
		id     string
		urgent bool
		sends  uint16
	}
	var items []item
	t.m.Range(func(id string, e entry[P]) bool {
		if e.pending(now) {
			items = append(items, item{id, e.urgent, e.sends})
		}
		return true
	})
	slices.SortFunc(items, func(a, b item) int {
		switch {
		case a.urgent != b.urgent && a.urgent:
			return -1
		case a.urgent != b.urgent:
			return 1
		}
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.id, b.id))
	})
	var out []Seen[P]
	used := 0
	for _, it := range items {
		limit := room
		if it.urgent {
			limit = max(urgent, room)
		}
		t.update(it.id, func(e entry[P], ok bool) (entry[P], bool) {
			if !ok {
				return e, false
			}
			s := t.seen(e, now)
			if e.urgent && (e.rec.State == Suspect || e.rec.State == Dead) {
				s.Record = bare(s.Record)
			}
			if n := size(&s.Record); used+n <= limit {
				used, e.sends = used+n, e.sends-1
				out = append(out, s)
			}
			return e, true
		})
		if used >= max(urgent, room) {
			break
		}
	}
	return out
}

// bare returns the state of a record alone.
func bare[P any](r Record[P]) Record[P] {
	return Record[P]{ID: r.ID, Incarnation: r.Incarnation, Version: r.Version, State: r.State, Bare: true}
}

// Pending reports whether changes wait to be passed on.
func (t *Table[P]) Pending(now time.Time) bool {
	found := false
	t.m.Range(func(_ string, e entry[P]) bool {
		found = e.pending(now)
		return !found
	})
	return found
}
