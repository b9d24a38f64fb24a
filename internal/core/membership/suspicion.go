package membership

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Contact notes a successful exchange with a member. A suspicion ends only
// when the member itself raises its incarnation, so that all processes agree.
func (t *Table[P]) Contact(id string, now time.Time) {
	if id == t.self {
		return
	}
	t.update(id, func(e entry[P], ok bool) (entry[P], bool) {
		e.heard, e.failing = at(now), 0
		return e, ok
	})
}

// Fail notes that an exchange with a member failed.
func (t *Table[P]) Fail(id string, now time.Time) {
	if id == t.self {
		return
	}
	t.update(id, func(e entry[P], ok bool) (entry[P], bool) {
		if e.failing == 0 {
			e.failing = at(now)
		}
		return e, ok
	})
}

// Failing returns the ids of members that did not answer last time and are
// not dead yet. They are tried until they answer or count as dead.
func (t *Table[P]) Failing() []string {
	var out []string
	t.m.Range(func(id string, e entry[P]) bool {
		if e.failing != 0 && e.rec.State != Dead {
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
	last := t.ticked.Swap(now.UnixNano())
	paused := last != 0 && now.Sub(time.Unix(0, last)) >= SuspectAfter
	changed := false
	for _, id := range t.ids() {
		t.update(id, func(e entry[P], ok bool) (entry[P], bool) {
			if !ok || id == t.self {
				return e, ok
			}
			if paused {
				e = e.forgive(now)
			}
			next := e.next(now)
			if next == e.rec.State {
				return e, next != Dead || e.since.until(now) < KeepDead
			}
			changed = true
			e.rec.State, e.since = next, at(now)
			return e.changed(now, true), true
		})
	}
	return changed
}

// forgive starts the time of a suspicion again.
func (e entry[P]) forgive(now time.Time) entry[P] {
	e.failing = 0
	if e.rec.State == Suspect {
		e.since = at(now)
	}
	return e
}

func (e entry[P]) next(now time.Time) State {
	silent := time.Duration(0)
	if e.failing != 0 {
		silent = e.failing.until(now)
	}
	switch {
	case e.rec.State == Alive && silent >= SuspectAfter:
		return Suspect
	case e.rec.State == Suspect && e.since.until(now) >= DeadAfter-SuspectAfter:
		return Dead
	case e.rec.State == Leaving && silent >= SuspectAfter:
		return Dead
	}
	return e.rec.State
}

func (t *Table[P]) ids() []string {
	var out []string
	t.m.Range(func(id string, _ entry[P]) bool {
		out = append(out, id)
		return true
	})
	return out
}

// Suspected returns the ids of members that others hold for suspect or dead and
// that this process did not fail to reach. Contacting them lets them refute.
func (t *Table[P]) Suspected(now time.Time) []string {
	var out []string
	t.m.Range(func(id string, e entry[P]) bool {
		silent := e.rec.State == Suspect || e.rec.State == Dead
		if silent && e.failing == 0 && !e.gone(now) {
			out = append(out, id)
		}
		return true
	})
	return out
}

// troubledFor is the time for which a death makes the other members of the
// failure domain worth a check.
const troubledFor = 15 * time.Second

// Troubled returns the live members of failure domains in which a member is
// suspect or died lately. A whole domain that is cut off is then found in a
// few rounds, instead of only as its members become neighbours.
func (t *Table[P]) Troubled(now time.Time) []string {
	domains := map[fleet.Domain]bool{}
	t.m.Range(func(_ string, e entry[P]) bool {
		if e.rec.State == Suspect || e.rec.State == Dead && e.since.until(now) < troubledFor {
			domains[e.rec.Domain] = true
		}
		return true
	})
	if len(domains) == 0 {
		return nil
	}
	var out []string
	t.m.Range(func(id string, e entry[P]) bool {
		if id != t.self && e.rec.State == Alive && e.failing == 0 && domains[e.rec.Domain] {
			out = append(out, id)
		}
		return true
	})
	return out
}
