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
	// Marks hold what the payload says that others should hear of at once, such
	// as that the member is cordoned. Only a difference of marks matters.
	Marks uint8
	// Bare marks a record of the state alone: incarnation and state count, the
	// rest is not set. It changes nothing in a table that does not hold the
	// member in that incarnation.
	Bare    bool
	Payload P
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
	if b.Version > a.Version && !b.Bare {
		out = b
	}
	out.State = state
	return out, out.Version != a.Version || out.State != a.State
}

// instant is a time in Unix nanoseconds; zero means never. It takes a third of
// the memory of a time.Time.
type instant int64

func at(t time.Time) instant { return instant(t.UnixNano()) }

// until returns the time from i to now.
func (i instant) until(now time.Time) time.Duration { return time.Duration(now.UnixNano() - int64(i)) }

// entry is a record with what this process observed of the member.
type entry[P any] struct {
	rec Record[P]
	// heard is when the record was last known to be true, here or elsewhere.
	heard instant
	// failing is when the first of a row of failed contacts happened; zero
	// after a successful one.
	failing instant
	// since is when the state was entered, as seen here.
	since instant
	// listed is the time until which a member that others report as dead is
	// still used, so that it can refute.
	listed instant
	// changedAt is when this process learned of the last change, and sends counts how
	// often it is still to be passed on.
	changedAt instant
	sends     uint16
	// urgent means that the change is one of state or marks.
	urgent bool
}

// gone reports whether the member is dead and had the time to refute. When a
// partition heals, each side learns that the other held it for dead; without
// that time every member would vanish for a moment. It ends early if this
// process cannot reach the member either.
func (e entry[P]) gone(now time.Time) bool {
	silent := e.failing != 0 && e.failing.until(now) >= SuspectAfter
	return e.rec.State == Dead && (silent || e.listed.until(now) >= 0)
}

// Seen is a record with the time since it was last known to be true.
type Seen[P any] struct {
	Record[P]
	Age time.Duration
	// Gone means that the member is known to be dead.
	Gone bool
}

// Table holds the members, sharded by id. The record of the process itself is
// in the table as well; only the process changes it.
type Table[P any] struct {
	self string
	m    *shard.Map[string, entry[P]]
	// ticked is the time of the last Tick in Unix nanoseconds, or 0.
	ticked atomic.Int64
	parts  parts
}

// NewTable returns a table that holds the record of its own process.
func NewTable[P any](self Record[P], now time.Time) *Table[P] {
	t := &Table[P]{self: self.ID, m: shard.New[string, entry[P]](0)}
	t.update(self.ID, func(entry[P], bool) (entry[P], bool) {
		return entry[P]{rec: self, heard: at(now), since: at(now)}.changed(now, false), true
	})
	return t
}

// Self returns the record of the process itself.
func (t *Table[P]) Self() Record[P] {
	e, _ := t.m.Get(t.self)
	return e.rec
}

// Get returns the record of a member.
func (t *Table[P]) Get(id string, now time.Time) (Seen[P], bool) {
	e, ok := t.m.Get(id)
	return t.seen(e, now), ok
}

func (t *Table[P]) seen(e entry[P], now time.Time) Seen[P] {
	return Seen[P]{Record: e.rec, Age: t.age(e, now), Gone: e.gone(now)}
}

func (t *Table[P]) age(e entry[P], now time.Time) time.Duration {
	if e.rec.ID == t.self {
		return 0
	}
	return max(0, e.heard.until(now))
}

// SetSelf changes the record of the process itself and raises its version.
func (t *Table[P]) SetSelf(now time.Time, change func(*Record[P])) Record[P] {
	var out Record[P]
	t.update(t.self, func(e entry[P], _ bool) (entry[P], bool) {
		old := e.rec
		change(&e.rec)
		e.rec.Version++
		e.heard = at(now)
		e = e.changed(now, old.State != e.rec.State || old.Marks != e.rec.Marks)
		out = e.rec
		return e, true
	})
	return out
}

// Outcome says what a merge changed.
type Outcome uint8

// The outcomes of Table.Merge.
const (
	// Unchanged means that nothing changed.
	Unchanged Outcome = iota
	// Updated means that the member is new or its record changed.
	Updated
	// Moved means that its state or marks changed, which is passed on at once.
	Moved
	// Refuted means that another process held this one for suspect or dead, or
	// knew a former life of it, and its incarnation was raised.
	Refuted
)

// Merge takes a record from another process; age is the time since it was
// last known to be true.
func (t *Table[P]) Merge(r Record[P], age time.Duration, now time.Time) Outcome {
	if r.ID == t.self {
		return t.refute(r, now)
	}
	out := Unchanged
	t.update(r.ID, func(e entry[P], ok bool) (entry[P], bool) {
		if r.Bare && (!ok || r.Incarnation != e.rec.Incarnation) {
			return e, ok
		}
		if !ok {
			if r.State == Dead && age > KeepDead {
				return e, false
			}
			out = Updated
			e = entry[P]{rec: r, heard: at(now.Add(-age)), since: at(now)}
			if age < updateFor {
				e = e.changed(now, false)
			}
			return e, true
		}
		merged, changed := Merge(e.rec, r)
		same := merged.Incarnation == r.Incarnation && merged.Version == r.Version && merged.State == r.State
		if heard := at(now.Add(-age)); same && heard > e.heard {
			e.heard = heard
		}
		if !changed {
			return e, true
		}
		out = Updated
		if merged.State != e.rec.State {
			if e.rec.State == Alive && merged.State == Dead {
				e.listed = at(now.Add(ReportedGrace))
			}
			e.since, out = at(now), Moved
		}
		if merged.Marks != e.rec.Marks {
			out = Moved
		}
		e = e.changed(now, out == Moved)
		if merged.Incarnation > e.rec.Incarnation {
			e.failing = 0
		}
		e.rec = merged
		return e, true
	})
	return out
}

// refute raises the incarnation of the process itself if another process
// holds a record that would win over its own.
func (t *Table[P]) refute(r Record[P], now time.Time) Outcome {
	out := Unchanged
	t.update(t.self, func(e entry[P], _ bool) (entry[P], bool) {
		if _, changed := Merge(e.rec, r); !changed {
			return e, true
		}
		out = Refuted
		e.rec.Incarnation = max(e.rec.Incarnation, r.Incarnation) + 1
		e.heard = at(now)
		e = e.changed(now, true)
		return e, true
	})
	return out
}

// Range calls f for each member while the lock of its shard is held.
func (t *Table[P]) Range(now time.Time, f func(Seen[P]) bool) {
	t.m.Range(func(_ string, e entry[P]) bool { return f(t.seen(e, now)) })
}

// Gone reports whether the member is known to be dead.
func (t *Table[P]) Gone(id string, now time.Time) bool {
	e, ok := t.m.Get(id)
	return ok && e.gone(now)
}

// Live returns the members that are not known to be dead, the process itself
// included.
func (t *Table[P]) Live(now time.Time) []Seen[P] {
	var out []Seen[P]
	t.m.Range(func(_ string, e entry[P]) bool {
		if !e.gone(now) {
			out = append(out, t.seen(e, now))
		}
		return true
	})
	return out
}

// All returns every member, the process itself included.
func (t *Table[P]) All(now time.Time) []Seen[P] {
	var out []Seen[P]
	t.Range(now, func(s Seen[P]) bool {
		out = append(out, s)
		return true
	})
	return out
}

// Len returns the number of members.
func (t *Table[P]) Len() int { return t.m.Len() }
