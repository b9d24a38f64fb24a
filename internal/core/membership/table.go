// Package membership holds the table of the processes of a deployment: how
// records of the same member merge, when a silent member is suspected and
// counts as dead, and which members a process talks to.
//
// Records form a lattice. The incarnation decides first; within one
// incarnation the later state and the higher version each win by themselves.
// Merging is therefore commutative, associative and idempotent, and a record
// never goes back.
package membership

import (
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// SuspectAfter is the time without contact after which a member that does
	// not answer is suspected.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the time without contact after which it counts as dead. In
	// between it can refute the suspicion.
	DeadAfter = 6 * time.Second
	// ReportedGrace is the time for which a member is still used that another
	// process reports as dead without a suspicion before. This happens when a
	// partition heals; the refutations then have to cross the whole fleet.
	ReportedGrace = 10 * time.Second
	// KeepDead is the time for which dead members are remembered and tried
	// again. Partitions of an hour are expected now and then.
	KeepDead = time.Hour
)

// State is the state of a member; a later one wins at the same incarnation.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Record is what is known of one member. P is what the member says of itself
// beside that; it belongs to Version and is not looked at.
type Record[P any] struct {
	ID      string
	Kind    fleet.Kind
	Domain  fleet.Domain
	Address fleet.Address
	// Incarnation is set by the member and rises when it restarts or refutes.
	Incarnation uint64
	// Version rises with each change that the member makes to its record.
	Version uint64
	State   State
	// Flags hold what the payload says that others should hear of at once, such
	// as that the member is cordoned. Only a difference of marks matters.
	Flags uint8
	// StateOnly marks a record of the state alone: incarnation and state count, the
	// rest is not set. It changes nothing in a table that does not hold the
	// member in that incarnation.
	StateOnly bool
	Payload   P
}

// Merge returns the join of two records of the same member and whether it
// differs from a.
func Merge[P any](a, b Record[P]) (Record[P], bool) {
	if b.Incarnation != a.Incarnation {
		if b.Incarnation > a.Incarnation {
			return b, true
		}
		return a, false
	}
	out, state := a, max(a.State, b.State)
	if b.Version > a.Version && !b.StateOnly {
		out = b
	}
	out.State = state
	return out, out.Version != a.Version || out.State != a.State
}

// instant is a time in Unix nanoseconds; zero means never. It takes a third of
// the memory of a time.Time.
type instant int64

func instantOf(t time.Time) instant { return instant(t.UnixNano()) }

// elapsed returns the time from i to now.
func (i instant) elapsed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - int64(i))
}

// tableEntry is a record with what this process observed of the member.
type tableEntry[P any] struct {
	record Record[P]
	// confirmedAt is when the record was last known to be true, here or elsewhere.
	confirmedAt instant
	// failingSince is when the first of a row of failed contacts happened; zero
	// after a successful one.
	failingSince instant
	// stateSince is when the state was entered, as seen here.
	stateSince instant
	// refutableUntil is the time until which a member that others report as dead is
	// still used, so that it can refute.
	refutableUntil instant
	// changedAt is when this process learned of the last change, and sends counts how
	// often it is still to be passed on.
	changedAt instant
	sendsLeft uint16
	// urgent means that the change is one of state or marks.
	urgent bool
}

// confirmedDead reports whether the member is dead and had the time to refute. When a
// partition heals, each side learns that the other held it for dead; without
// that time every member would vanish for a moment. It ends early if this
// process cannot reach the member either.
func (e tableEntry[P]) confirmedDead(now time.Time) bool {
	silent := e.failingSince != 0 && e.failingSince.elapsed(now) >= SuspectAfter
	return e.record.State == Dead && (silent || e.refutableUntil.elapsed(now) >= 0)
}

// ObservedRecord is a record with the time since it was last known to be true.
type ObservedRecord[P any] struct {
	Record[P]
	Age time.Duration
	// ConfirmedDead means that the member is known to be dead.
	ConfirmedDead bool
}

// Table holds the members, sharded by id. The record of the process itself is
// in the table as well; only the process changes it.
type Table[P any] struct {
	self string
	m    *shard.Map[string, tableEntry[P]]
	// lastTick is the time of the last Tick in Unix nanoseconds, or 0.
	lastTick   atomic.Int64
	digestTree digestTree
}

// NewTable returns a table that holds the record of its own process.
func NewTable[P any](self Record[P], now time.Time) *Table[P] {
	t := &Table[P]{self: self.ID, m: shard.New[string, tableEntry[P]](0)}
	t.update(self.ID, func(tableEntry[P], bool) (tableEntry[P], bool) {
		return tableEntry[P]{record: self, confirmedAt: instantOf(now), stateSince: instantOf(now)}.withPendingSends(now, false), true
	})
	return t
}

// Self returns the record of the process itself.
func (t *Table[P]) Self() Record[P] {
	e, _ := t.m.Get(t.self)
	return e.record
}

// Get returns the record of a member.
func (t *Table[P]) Get(id string, now time.Time) (ObservedRecord[P], bool) {
	e, ok := t.m.Get(id)
	return t.observed(e, now), ok
}

func (t *Table[P]) observed(e tableEntry[P], now time.Time) ObservedRecord[P] {
	return ObservedRecord[P]{Record: e.record, Age: t.age(e, now), ConfirmedDead: e.confirmedDead(now)}
}

func (t *Table[P]) age(e tableEntry[P], now time.Time) time.Duration {
	if e.record.ID == t.self {
		return 0
	}
	return max(0, e.confirmedAt.elapsed(now))
}

// UpdateSelf changes the record of the process itself and raises its version.
func (t *Table[P]) UpdateSelf(now time.Time, change func(*Record[P])) Record[P] {
	var out Record[P]
	t.update(t.self, func(e tableEntry[P], _ bool) (tableEntry[P], bool) {
		old := e.record
		change(&e.record)
		e.record.Version++
		e.confirmedAt = instantOf(now)
		e = e.withPendingSends(now, old.State != e.record.State || old.Flags != e.record.Flags)
		out = e.record
		return e, true
	})
	return out
}

// MergeOutcome says what a merge changed.
type MergeOutcome uint8

// The outcomes of Table.Merge.
const (
	// Unchanged means that nothing changed.
	Unchanged MergeOutcome = iota
	// Updated means that the member is new or its record changed.
	Updated
	// StateChanged means that its state or marks changed, which is passed on at once.
	StateChanged
	// Refuted means that another process held this one for suspect or dead, or
	// knew a former life of it, and its incarnation was raised.
	Refuted
)

// Merge takes a record from another process; age is the time since it was
// last known to be true.
func (t *Table[P]) Merge(r Record[P], age time.Duration, now time.Time) MergeOutcome {
	if r.ID == t.self {
		return t.refute(r, now)
	}
	out := Unchanged
	t.update(r.ID, func(e tableEntry[P], ok bool) (tableEntry[P], bool) {
		if r.StateOnly && (!ok || r.Incarnation != e.record.Incarnation) {
			return e, ok
		}
		if !ok {
			if r.State == Dead && age > KeepDead {
				return e, false
			}
			out = Updated
			e = tableEntry[P]{record: r, confirmedAt: instantOf(now.Add(-age)), stateSince: instantOf(now)}
			if age < sendPeriod {
				e = e.withPendingSends(now, false)
			}
			return e, true
		}
		merged, changed := Merge(e.record, r)
		same := merged.Incarnation == r.Incarnation && merged.Version == r.Version && merged.State == r.State
		if confirmedAt := instantOf(now.Add(-age)); same && confirmedAt > e.confirmedAt {
			e.confirmedAt = confirmedAt
		}
		if !changed {
			return e, true
		}
		out = Updated
		if merged.State != e.record.State {
			if e.record.State == Alive && merged.State == Dead {
				e.refutableUntil = instantOf(now.Add(ReportedGrace))
			}
			e.stateSince, out = instantOf(now), StateChanged
		}
		if merged.Flags != e.record.Flags {
			out = StateChanged
		}
		e = e.withPendingSends(now, out == StateChanged)
		if merged.Incarnation > e.record.Incarnation {
			e.failingSince = 0
		}
		e.record = merged
		return e, true
	})
	return out
}

// refute raises the incarnation of the process itself if another process
// holds a record that would win over its own.
func (t *Table[P]) refute(r Record[P], now time.Time) MergeOutcome {
	out := Unchanged
	t.update(t.self, func(e tableEntry[P], _ bool) (tableEntry[P], bool) {
		if _, changed := Merge(e.record, r); !changed {
			return e, true
		}
		out = Refuted
		e.record.Incarnation = max(e.record.Incarnation, r.Incarnation) + 1
		e.confirmedAt = instantOf(now)
		e = e.withPendingSends(now, true)
		return e, true
	})
	return out
}

// Range calls f for each member while the lock of its shard is held.
func (t *Table[P]) Range(now time.Time, f func(ObservedRecord[P]) bool) {
	t.m.Range(func(_ string, e tableEntry[P]) bool { return f(t.observed(e, now)) })
}

// ConfirmedDead reports whether the member is known to be dead.
func (t *Table[P]) ConfirmedDead(id string, now time.Time) bool {
	e, ok := t.m.Get(id)
	return ok && e.confirmedDead(now)
}

// LiveMembers returns the members that are not known to be dead, the process itself
// included.
func (t *Table[P]) LiveMembers(now time.Time) []ObservedRecord[P] {
	var out []ObservedRecord[P]
	t.m.Range(func(_ string, e tableEntry[P]) bool {
		if !e.confirmedDead(now) {
			out = append(out, t.observed(e, now))
		}
		return true
	})
	return out
}

// AllMembers returns every member, the process itself included.
func (t *Table[P]) AllMembers(now time.Time) []ObservedRecord[P] {
	var out []ObservedRecord[P]
	t.Range(now, func(s ObservedRecord[P]) bool {
		out = append(out, s)
		return true
	})
	return out
}

// Len returns the number of members.
func (t *Table[P]) Len() int { return t.m.Len() }
