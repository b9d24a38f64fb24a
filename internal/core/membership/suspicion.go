package membership

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// RecordSuccess notes a successful exchange with a member. A suspicion ends only
// when the member itself raises its incarnation, so that all processes agree.
func (t *Table[P]) RecordSuccess(id string, now time.Time) {
	if id == t.self {
		return
	}
	t.update(id, func(e tableEntry[P], ok bool) (tableEntry[P], bool) {
		e.confirmedAt, e.failingSince = instantOf(now), 0
		return e, ok
	})
}

// RecordFailure notes that an exchange with a member failed.
func (t *Table[P]) RecordFailure(id string, now time.Time) {
	if id == t.self {
		return
	}
	t.update(id, func(e tableEntry[P], ok bool) (tableEntry[P], bool) {
		if e.failingSince == 0 {
			e.failingSince = instantOf(now)
		}
		return e, ok
	})
}

// FailingIDs returns the ids of members that did not answer last time and are
// not dead yet. They are tried until they answer or count as dead.
func (t *Table[P]) FailingIDs() []string {
	var out []string
	t.m.Range(func(id string, e tableEntry[P]) bool {
		if e.failingSince != 0 && e.record.State != Dead {
			out = append(out, id)
		}
		return true
	})
	return out
}

// Tick applies the passage of time and returns whether any state changed.
// A member that is silent to this process becomes suspect. A suspect, own or
// reported, and a leaving member that is gone become dead if they do not
// refute. Dead members are forgotten after KeepDead. If this process was paused
// since the last call, the silence was its own and is not counted.
func (t *Table[P]) Tick(now time.Time) bool {
	last := t.lastTick.Swap(now.UnixNano())
	paused := last != 0 && now.Sub(time.Unix(0, last)) >= SuspectAfter
	changed := false
	for _, id := range t.ids() {
		t.update(id, func(e tableEntry[P], ok bool) (tableEntry[P], bool) {
			if !ok || id == t.self {
				return e, ok
			}
			if paused {
				e = e.withTimersReset(now)
			}
			next := e.nextState(now)
			if next == e.record.State {
				return e, next != Dead || e.stateSince.elapsed(now) < KeepDead
			}
			changed = true
			e.record.State, e.stateSince = next, instantOf(now)
			return e.withPendingSends(now, true), true
		})
	}
	return changed
}

// withTimersReset starts the time of a suspicion again.
func (e tableEntry[P]) withTimersReset(now time.Time) tableEntry[P] {
	e.failingSince = 0
	if e.record.State == Suspect {
		e.stateSince = instantOf(now)
	}
	return e
}

func (e tableEntry[P]) nextState(now time.Time) State {
	silent := time.Duration(0)
	if e.failingSince != 0 {
		silent = e.failingSince.elapsed(now)
	}
	switch {
	case e.record.State == Alive && silent >= SuspectAfter:
		return Suspect
	case e.record.State == Suspect && e.stateSince.elapsed(now) >= DeadAfter-SuspectAfter:
		return Dead
	case e.record.State == Leaving && silent >= SuspectAfter:
		return Dead
	}
	return e.record.State
}

func (t *Table[P]) ids() []string {
	var out []string
	t.m.Range(func(id string, _ tableEntry[P]) bool {
		out = append(out, id)
		return true
	})
	return out
}

// ReportedSilentIDs returns the ids of members that others hold for suspect or dead and
// that this process did not fail to reach. Contacting them lets them refute.
func (t *Table[P]) ReportedSilentIDs(now time.Time) []string {
	var out []string
	t.m.Range(func(id string, e tableEntry[P]) bool {
		silent := e.record.State == Suspect || e.record.State == Dead
		if silent && e.failingSince == 0 && !e.confirmedDead(now) {
			out = append(out, id)
		}
		return true
	})
	return out
}

// recentDeathPeriod is the time for which a death makes the other members of the
// failure domain worth a check.
const recentDeathPeriod = 15 * time.Second

// LiveIDsInFailingDomains returns the live members of failure domains in which a member is
// suspect or died lately. A whole domain that is cut off is then found in a
// few rounds, instead of only as its members become neighbours.
func (t *Table[P]) LiveIDsInFailingDomains(now time.Time) []string {
	domains := map[fleet.Domain]bool{}
	t.m.Range(func(_ string, e tableEntry[P]) bool {
		if e.record.State == Suspect || e.record.State == Dead && e.stateSince.elapsed(now) < recentDeathPeriod {
			domains[e.record.Domain] = true
		}
		return true
	})
	if len(domains) == 0 {
		return nil
	}
	var out []string
	t.m.Range(func(id string, e tableEntry[P]) bool {
		if id != t.self && e.record.State == Alive && e.failingSince == 0 && domains[e.record.Domain] {
			out = append(out, id)
		}
		return true
	})
	return out
}
