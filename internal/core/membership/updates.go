package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// urgentSends and updateSends are the numbers of times that a process sends an
	// urgent and any other change. Half of the urgent sends go to members that have
	// the change already. Members that do not receive a change in this way find it
	// by digests.
	urgentSends = 2 * (SameDomainNeighbours + OtherDomainNeighbours)
	updateSends = 3
	// sendPeriod is the time within which a change is sent. Without this limit, the
	// processes of a fleet that starts would send each record, for as long as the
	// budget requires, to members that have it already.
	sendPeriod = 10 * time.Second
)

// withPendingSends schedules a change for sending. A change that is not urgent does
// not replace an urgent one that is still pending.
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

// RecordSize estimates the encoded size of a record in bytes.
type RecordSize[P any] func(*Record[P]) int

// TakeChanges returns records with pending changes and counts each as sent once:
// urgent changes first, then those that were sent least often. Urgent changes may
// fill max(urgent, room) bytes, others are added up to a total of room bytes.
// Urgent changes of a suspect or dead member are returned as state-only records.
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
			rec := t.observed(e, now)
			if e.urgent && (e.record.State == Suspect || e.record.State == Dead) {
				rec.Record = stateOnly(rec.Record)
			}
			if n := size(&rec.Record); used+n <= limit {
				used, e.sendsLeft = used+n, e.sendsLeft-1
				out = append(out, rec)
			}
			return e, true
		})
		if used >= max(urgent, room) {
			break
		}
	}
	return out
}

// stateOnly returns a state-only copy of a record.
func stateOnly[P any](r Record[P]) Record[P] {
	return Record[P]{ID: r.ID, Incarnation: r.Incarnation, Version: r.Version, State: r.State, StateOnly: true}
}

// HasPendingChanges reports whether any change remains to be sent.
func (t *Table[P]) HasPendingChanges(now time.Time) bool {
	found := false
	t.m.Range(func(_ string, e tableEntry[P]) bool {
		found = e.hasPendingSends(now)
		return !found
	})
	return found
}
