package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// announced is what one start of a target has said of itself in its responses. It outlives the target's
// registry entry, which may expire and return, or be older than the response.
type announced struct {
	started int64
	// leavingSince is the time from which the target is known to leave, or zero.
	leavingSince time.Time
	// pausedUntil is the end of the time for which the target asked for no requests, or zero.
	pausedUntil time.Time
	// adjusted is set if the target has stated a pause that can't be meant.
	adjusted bool
	// usedAt is the last time at which the target was registered or has announced something.
	usedAt time.Time
}

// drainMargin is the part of the drain bound in which a leaving target gets no requests any more. A
// request that is sent before it reaches the target within the bound.
const drainMargin = 500 * time.Millisecond

// mayUseLeaving reports whether a request may be sent to the target although it leaves: no other target
// can serve it, and the drain bound is not over.
func (a announced) mayUseLeaving(drainBound time.Duration, now time.Time) bool {
	return now.Before(a.leavingSince.Add(drainBound - drainMargin))
}

// pauseLeft returns how much longer the target wants no requests, or zero.
func (a announced) pauseLeft(now time.Time) time.Duration { return max(0, a.pausedUntil.Sub(now)) }

const (
	// rampTime is the time after a pause in which this process limits its requests to the target. It is
	// a few times the time of a request.
	rampTime = 2 * time.Second
	// rampStep is the time in which the limit doubles, from one request on.
	rampStep = 250 * time.Millisecond
)

// rampAllows reports whether the ramp after a pause allows one more request beside those of this process.
// Requests that waited for the end of the pause would otherwise arrive all at once.
func (s *targetState) rampAllows(now time.Time) bool {
	since := now.Sub(s.announced.pausedUntil)
	return s.announced.pausedUntil.IsZero() || since >= rampTime || s.ownInFlight < 1<<(since/rampStep)
}

// leaves reports whether the target has announced that it leaves and gets no request of this kind.
func (s *targetState) leaves(q *Query, now time.Time) bool {
	return !s.announced.leavingSince.IsZero() && !(q.useLeaving && s.announced.mayUseLeaving(q.DrainBound, now))
}

// RecordLeaving records that a start of a target has announced that it leaves. It reports whether that
// is new. Nothing but another start of the target takes it back.
func (t *Table) RecordLeaving(id fleet.Instance, started int64, now time.Time) (first bool) {
	t.recordAnnounced(id, started, now, func(a *announced) {
		if a.leavingSince.IsZero() {
			a.leavingSince, first = now, true
		}
	})
	return first
}

// RecordPause records that a start of a target wants no requests for a time. A longer pause that it has
// asked for before stays in force. adjusted means that d is not what the target stated. RecordPause
// reports whether that is new: a pause has begun, or this start has stated no such value before.
func (t *Table) RecordPause(id fleet.Instance, started int64, d time.Duration, adjusted bool, now time.Time) (isNew bool) {
	t.recordAnnounced(id, started, now, func(a *announced) {
		isNew = d > 0 && a.pauseLeft(now) == 0 || adjusted && !a.adjusted
		a.adjusted = a.adjusted || adjusted
		if end := now.Add(d); d > 0 && end.After(a.pausedUntil) {
			a.pausedUntil = end
		}
	})
	return isNew
}

func (t *Table) recordAnnounced(id fleet.Instance, started int64, now time.Time, f func(*announced)) {
	t.announced.Update(id, func(a announced, ok bool) (announced, bool) {
		switch {
		case !ok || a.started < started:
			a = announced{started: started}
		case a.started > started:
			// A response of an earlier start arrives late.
			return a, true
		}
		f(&a)
		a.usedAt = now
		return a, true
	})
	t.adoptAnnounced(id)
}

// adoptAnnounced makes a registered target adopt what its start, or a later one, has announced. An entry
// may be older than the response.
func (t *Table) adoptAnnounced(id fleet.Instance) {
	if a, ok := t.announced.Get(id); ok {
		t.update(id, func(s *targetState) {
			if a.started >= s.Started {
				s.announced = a
			}
		})
	}
}

// MaySend returns false if the target that was chosen has announced since then that it wants no further
// requests, or if the time is over for which a leaving target is used. It is asked directly before the
// request is sent, which may be long after the choice.
func (t *Table) MaySend(c Choice, drainBound time.Duration, now time.Time) bool {
	a, ok := t.announced.Get(c.Instance)
	if !ok || a.started < c.Started {
		return true
	}
	if !a.leavingSince.IsZero() && !(c.Leaving && a.mayUseLeaving(drainBound, now)) {
		return false
	}
	return a.pauseLeft(now) == 0
}

// dropUnusedAnnounced drops what targets announced that have not been registered for long.
func (t *Table) dropUnusedAnnounced(now time.Time) {
	dropUnused(t.announced, t.isRegistered, func(a *announced) *time.Time { return &a.usedAt }, now)
}

func (t *Table) isRegistered(id fleet.Instance) bool {
	_, ok := t.targets.Get(id)
	return ok
}

// dropUnused drops the entries of m whose key has not been in use for unusedLife. usedAt returns the time
// at which an entry's key was last in use.
func dropUnused[K comparable, V any](m *shard.Map[K, V], inUse func(K) bool, usedAt func(*V) *time.Time, now time.Time) {
	var keys []K
	m.Range(func(k K, _ V) bool {
		keys = append(keys, k)
		return true
	})
	for _, k := range keys {
		used := inUse(k)
		m.Update(k, func(v V, ok bool) (V, bool) {
			at := usedAt(&v)
			if used || at.IsZero() {
				*at = now
			}
			return v, ok && now.Sub(*at) < unusedLife
		})
	}
}
