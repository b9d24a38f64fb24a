package membership

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// RecordSuccess records a successful exchange with a member. It does not end a
// suspicion: that requires that the member itself raises its incarnation, so that
// all processes agree.
func (t *Table[P]) RecordSuccess(id string, now time.Time) {
	if id == t.self {
		return
	}
	t.update(id, func(e tableEntry[P], ok bool) (tableEntry[P], bool) {
		e.confirmedAt, e.failingSince = instantOf(now), 0
		return e, ok
	})
}

// RecordFailure records a failed exchange with a member.
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

// FailingIDs returns the ids of members whose last exchange failed and that are not
// dead yet. The caller retries them until they respond or are declared dead.
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

// Tick applies timeouts and reports whether any state changed. A member that does
// not respond to this process becomes suspect. A suspect that does not refute
// becomes dead, whether this process or another one suspected it. A leaving member
// that does not respond becomes dead without being suspected first. Dead members are removed after KeepDead. If this
// process was paused since the last call, the time of the pause does not count
// against members.
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

// withTimersReset restarts the suspicion timeouts of a member.
func (e tableEntry[P]) withTimersReset(now time.Time) tableEntry[P] {
	e.failingSince = 0
	if e.record.State == Suspect {
		e.stateSince = instantOf(now)
	}
	return e
}

// nextState returns the state that follows from the member's timeouts.
func (e tableEntry[P]) nextState(now time.Time) State {
	failingFor := time.Duration(0)
	if e.failingSince != 0 {
		failingFor = e.failingSince.elapsed(now)
	}
	switch {
	case e.record.State == Alive && failingFor >= SuspectAfter:
		return Suspect
	case e.record.State == Suspect && e.stateSince.elapsed(now) >= DeadAfter-SuspectAfter:
		return Dead
	case e.record.State == Leaving && failingFor >= SuspectAfter:
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

// ReportedSilentIDs returns the ids of members that other processes report as
// suspect or dead although this process did not fail to reach them. An exchange
// gives such a member the opportunity to refute.
func (t *Table[P]) ReportedSilentIDs(now time.Time) []string {
	var out []string
	t.m.Range(func(id string, e tableEntry[P]) bool {
		suspectOrDead := e.record.State == Suspect || e.record.State == Dead
		if suspectOrDead && e.failingSince == 0 && !e.confirmedDead(now) {
			out = append(out, id)
		}
		return true
	})
	return out
}

// recentDeathPeriod is the time after the death of a member in which the other
// members of its failure domain are checked.
const recentDeathPeriod = 15 * time.Second

// LiveIDsInFailingDomains returns the ids of live members of failure domains in
// which a member is suspect or died recently. By checking them, a process detects
// within a few rounds that a whole domain is unreachable, instead of only when its
// members become neighbours.
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
