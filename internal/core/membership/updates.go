package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// urgentSends and sendsUpdate are how often a process passes on a change. Of
	// the urgent ones half go to members that have them already.
	// What members do not receive in this way they find by their digests.
	urgentSends = 2 * (SameDomainNeighbours + OtherDomainNeighbours)
	updateSends = 3
	// sendPeriod is the time for which a change is passed on. Without it, a fleet
	// that starts passes on each of its records for as long as the budget
	// needs, to members that have them.
	sendPeriod = 10 * time.Second
)

// withPendingSends makes a change something to pass on. One that follows an urgent one
// does not take its place.
func (e tableEntry[P]) withPendingSends(now time.Time, urgent bool) tableEntry[P] {
	if !urgent && e.urgent && e.hasPendingSends(now) {
		return e
	}
	e.changedAt, e.sendsLeft, e.urgent = instantOf(now), updateSends, urgent
	if urgent {
		e.sendsLeft = urgentSends
	}
	return e
}

func (e tableEntry[P]) hasPendingSends(now time.Time) bool {
	return e.sendsLeft > 0 && e.changedAt.elapsed(now) < sendPeriod
}

// RecordSize estimates the bytes that a record takes in a message.
type RecordSize[P any] func(*Record[P]) int

// TakeChanges returns records that changed lately and counts them as passed on
// once more: urgent ones first, then those passed on least. Urgent ones take
// at most urgent bytes; others are added up to room bytes in all. State
// changes of a member that is not alive go out as bare records.
func (t *Table[P]) TakeChanges(urgent, room int, size RecordSize[P], now time.Time) []ObservedRecord[P] {
	type item struct {
		id        string
		urgent    bool
		sendsLeft uint16
	}
	var items []item
	t.m.Range(func(id string, e tableEntry[P]) bool {
		if e.hasPendingSends(now) {
			items = append(items, item{id, e.urgent, e.sendsLeft})
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
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.id, b.id))
	})
	var out []ObservedRecord[P]
	used := 0
	for _, it := range items {
		limit := room
		if it.urgent {
			limit = max(urgent, room)
		}
		t.update(it.id, func(e tableEntry[P], ok bool) (tableEntry[P], bool) {
			if !ok {
				return e, false
			}
			s := t.observed(e, now)
			if e.urgent && (e.record.State == Suspect || e.record.State == Dead) {
				s.Record = stateOnly(s.Record)
			}
			if n := size(&s.Record); used+n <= limit {
				used, e.sendsLeft = used+n, e.sendsLeft-1
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

// stateOnly returns the state of a record alone.
func stateOnly[P any](r Record[P]) Record[P] {
	return Record[P]{ID: r.ID, Incarnation: r.Incarnation, Version: r.Version, State: r.State, StateOnly: true}
}

// HasPendingChanges reports whether changes wait to be passed on.
func (t *Table[P]) HasPendingChanges(now time.Time) bool {
	found := false
	t.m.Range(func(_ string, e tableEntry[P]) bool {
		found = e.hasPendingSends(now)
		return !found
	})
	return found
}
