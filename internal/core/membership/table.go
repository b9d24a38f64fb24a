// Package membership implements a gossip-based membership protocol: the table of a
// deployment's processes, the merging of records, the detection of failed members,
// the choice of neighbours, and the contents of the messages between processes.
//
// The records of a member form a lattice. The higher incarnation takes precedence;
// within one incarnation, the later state and the higher version take precedence
// independently of each other. Merging is therefore commutative, associative and
// idempotent, and a record never returns to an earlier state.
package membership

import (
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// SuspectAfter is the time after which a member that does not respond becomes
	// suspect.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the time after which a member that does not respond becomes dead.
	// Until then it can refute the suspicion.
	DeadAfter = 6 * time.Second
	// ReportedGrace is the time for which a member remains in use after another
	// process reported it as dead without an earlier suspicion. This happens when a
	// partition heals, and the refutations then have to reach the whole fleet.
	ReportedGrace = 10 * time.Second
	// KeepDead is the time for which dead members are kept and retried. Partitions
	// of an hour are expected occasionally.
	KeepDead = time.Hour
)

// State is the state of a member. The constants are in the order of precedence
// within one incarnation, lowest first.
type State uint8

// States of a member.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Record describes one member. P is the type of further data that the member
// publishes with each Version; this package does not interpret it.
type Record[P any] struct {
	ID      string
	Kind    fleet.Kind
	Domain  fleet.Domain
	Address fleet.Address
	// Incarnation is set by the member itself. The member increases it when it
	// restarts or refutes a suspicion.
	Incarnation uint64
	// Version increases with each change that the member makes to its record.
	Version uint64
	State   State
	// Flags are the parts of the payload whose change is urgent, such as whether the
	// member is cordoned. They are only compared for equality.
	Flags uint8
	// StateOnly marks a record of which only ID, Incarnation, Version and State are
	// set. It only changes the state of a member that the table contains in the same
	// incarnation.
	StateOnly bool
	Payload   P
}

// Merge returns the join of two records of the same member, and whether the join
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

// instant is a time in Unix nanoseconds; zero means never. It needs a third of the
// memory of a time.Time.
type instant int64

func instantOf(t time.Time) instant { return instant(t.UnixNano()) }

// elapsed returns the time from i to now.
func (i instant) elapsed(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - int64(i))
}

// tableEntry is a record with this process's observations of the member.
type tableEntry[P any] struct {
	record Record[P]
	// confirmedAt is the time at which the record was last confirmed, by this
	// process or another one.
	confirmedAt instant
	// failingSince is the time of the first failed exchange since the last successful
	// one, or zero.
	failingSince instant
	// stateSince is the time at which this process learned of the state.
	stateSince instant
	// refutableUntil is the time until which a member that others report as dead
	// remains in use, so that it can refute.
	refutableUntil instant
	// changedAt is the time at which this process learned of the last change, and
	// sendsLeft the number of times that the change remains to be sent.
	changedAt instant
	sendsLeft uint16
	// urgent means that the change concerns the state or the flags.
	urgent bool
}

// confirmedDead reports whether the member is dead and its time to refute is over.
// When a partition heals, each side learns that the other side considered it dead;
// without that time, every member would disappear briefly. The time ends early if
// this process cannot reach the member either.
func (e tableEntry[P]) confirmedDead(now time.Time) bool {
	unresponsive := e.failingSince != 0 && e.failingSince.elapsed(now) >= SuspectAfter
	return e.record.State == Dead && (unresponsive || e.refutableUntil.elapsed(now) >= 0)
}

// ObservedRecord is a record with the observations of the process that holds it.
type ObservedRecord[P any] struct {
	Record[P]
	// Age is the time since the record was last confirmed.
	Age time.Duration
	// ConfirmedDead means that the member is dead and its time to refute is over.
	ConfirmedDead bool
}

// Table is the table of members, sharded by id. It includes the record of the
// process itself, which only this process changes.
type Table[P any] struct {
	self string
	m    *shard.Map[string, tableEntry[P]]
	// lastTick is the time of the last Tick in Unix nanoseconds, or 0.
	lastTick   atomic.Int64
	digestTree digestTree
}

// NewTable returns a table that contains only the record of its own process.
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

// UpdateSelf applies change to the record of the process itself, increases its
// version and returns it.
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

// MergeOutcome is the effect of Table.Merge.
type MergeOutcome uint8

// Outcomes of Table.Merge.
const (
	// Unchanged means that nothing changed.
	Unchanged MergeOutcome = iota
	// Updated means that the member is new or its record changed.
	Updated
	// StateChanged means that the state or the flags of the member changed, which is
	// sent to others at once.
	StateChanged
	// Refuted means that another process considered this one suspect or dead, or had
	// a record of an earlier run of it, and that this process raised its incarnation.
	Refuted
)

// Merge merges a record from another process into the table. age is the time since
// the record was last confirmed.
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

// refute raises the incarnation of the process itself if another process has a
// record that would take precedence over its own.
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

// Range calls visit for each member, holding the lock of the member's shard, until
// visit returns false.
func (t *Table[P]) Range(now time.Time, visit func(ObservedRecord[P]) bool) {
	t.m.Range(func(_ string, e tableEntry[P]) bool { return visit(t.observed(e, now)) })
}

// ConfirmedDead reports whether the member is dead and its time to refute is over.
func (t *Table[P]) ConfirmedDead(id string, now time.Time) bool {
	e, ok := t.m.Get(id)
	return ok && e.confirmedDead(now)
}

// LiveMembers returns the members that are not confirmed dead, including the process
// itself.
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

// AllMembers returns all members, including the process itself.
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
