package membership

import "time"

// Contact notes a successful exchange with a member. A suspicion ends only
// when the member itself raises its incarnation, so that all processes agree.
func (t *Table[P]) Contact(id string, now time.Time) {
	if id == t.self {
		return
	}
	t.m.Update(id, func(e entry[P], ok bool) (entry[P], bool) {
		e.heard, e.failing = now, time.Time{}
		return e, ok
	})
}

// Fail notes that an exchange with a member failed.
func (t *Table[P]) Fail(id string, now time.Time) {
	if id == t.self {
		return
	}
	t.m.Update(id, func(e entry[P], ok bool) (entry[P], bool) {
		if e.failing.IsZero() {
			e.failing = now
		}
		return e, ok
	})
}

// Failing returns the ids of members that did not answer last time and are
// not dead yet. They are tried until they answer or count as dead.
func (t *Table[P]) Failing() []string {
	var out []string
	t.m.Range(func(id string, e entry[P]) bool {
		if !e.failing.IsZero() && e.rec.State != Dead {
			out = append(out, id)
		}
		return true
	})
	return out
}

// Tick applies the passage of time and returns whether any state changed.
// A member that is silent to this process becomes suspect. A suspect, own or
// reported, and a leaving member that is gone become dead if they do not
// refute. Dead members are forgotten after KeepDead.
func (t *Table[P]) Tick(now time.Time) bool {
	changed := false
	for _, id := range t.ids() {
		t.m.Update(id, func(e entry[P], ok bool) (entry[P], bool) {
			if !ok || id == t.self {
				return e, ok
			}
			next := e.next(now)
			if next == e.rec.State {
				return e, next != Dead || now.Sub(e.since) < KeepDead
			}
			changed = true
			e.rec.State, e.since, e.sends = next, now, initialSends
			return e, true
		})
	}
	return changed
}

func (e entry[P]) next(now time.Time) State {
	silent := time.Duration(0)
	if !e.failing.IsZero() {
		silent = now.Sub(e.failing)
	}
	switch {
	case e.rec.State == Alive && silent >= SuspectAfter:
		return Suspect
	case e.rec.State == Suspect && now.Sub(e.since) >= DeadAfter-SuspectAfter:
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
