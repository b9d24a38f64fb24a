package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// LoadedWeights is what the loader of a target states about the weights that the target has loaded.
type LoadedWeights struct {
	// Orders is the number of orders that the target has begun since its start.
	Orders int64
	// Intact is the newest version of which the loader knows that the target loaded it intact, or
	// zero if it knows of none.
	Intact int64
}

// loaderStatement is what is known of the weights of the target at an address. It belongs to the address
// and not to the registered target: an engine that stands still loses its entry and registers again
// with weights that it took meanwhile, and a report may arrive before the registry states the start.
type loaderStatement struct {
	// started is the start of the target that the statement is about.
	started int64
	LoadedWeights
	// registered is set if no loader was heard, and Intact is the version with which the instance
	// was listed first. A loader that is lost need not have ordered those weights.
	registered bool
	instance   fleet.Instance
	// at is the time of the last report, and usedAt the last time at which a target was registered
	// at the address.
	at, usedAt time.Time
}

// replaces reports whether the statement is newer than the last one. A loader that has restarted knows
// nothing until it has checked the weights, so that the last statement holds as long as no further
// order has begun.
func (s loaderStatement) replaces(last loaderStatement) bool {
	if s.started != last.started || last.registered {
		return true
	}
	return s.Orders > last.Orders || s.Orders == last.Orders && s.Intact >= last.Intact
}

// unusedLife is how long a statement is kept while no target is registered at its address, and what a
// target announced while it is not registered. A target that stands still for longer counts as another one.
const unusedLife = 10 * time.Minute

// weights returns the version of the weights that the target holds. Its loader may state it sooner
// than the registry.
func (s *targetState) weights() int64 {
	if s.WeightsVersion == 0 {
		return 0
	}
	return max(s.WeightsVersion, s.loaded.Intact)
}

// mayBeDamaged reports whether the target has loaded weights of which its loader does not know yet
// that they are intact. That stays so while the loader is silent: it may be lost, or its machine may
// stand still. If no loader was ever heard, only the weights with which the target was listed first
// are used.
func (s *targetState) mayBeDamaged() bool { return s.WeightsVersion > s.loaded.Intact }

// RecordLoadedWeights records what the loader of the target at an address states about the weights
// that the target has loaded since a start, whether or not the target is registered.
func (t *Table) RecordLoadedWeights(addr fleet.Address, started int64, l LoadedWeights, now time.Time) {
	next := loaderStatement{started: started, LoadedWeights: l, at: now, usedAt: now}
	t.statements.Update(addr, func(last loaderStatement, ok bool) (loaderStatement, bool) {
		if ok && !next.replaces(last) {
			last.at, last.usedAt = now, now
			next = last
		}
		return next, true
	})
	if id, ok := t.InstanceAt(addr); ok {
		t.update(id, func(s *targetState) { s.adopt(next) })
	}
}

// adopt replaces the statement of a registered target, unless it is about another start or older than
// the last one.
func (s *targetState) adopt(next loaderStatement) {
	if next.registered {
		next.Intact = min(next.Intact, s.loaded.Intact)
	}
	if next.started == s.Started && (next.at.After(s.loaded.at) || next.at.Equal(s.loaded.at) && next.replaces(*s.loaded)) {
		s.loaded = &next
	}
}

// adoptStatement makes a registered target adopt the statement about its address. A report may have
// arrived since statementAt.
func (t *Table) adoptStatement(x Target) {
	if last, ok := t.statements.Get(x.Address); ok {
		t.update(x.Instance, func(s *targetState) { s.adopt(last) })
	}
}

// statementAt returns what is known of the weights of a target that the registry states. If nothing is
// known of it and no loader was heard at its address, the weights with which it is listed count as intact.
func (t *Table) statementAt(x Target) (out loaderStatement) {
	t.statements.Update(x.Address, func(last loaderStatement, ok bool) (loaderStatement, bool) {
		switch {
		case !ok, last.registered && (last.instance != x.Instance || last.started != x.Started):
			last = loaderStatement{instance: x.Instance, started: x.Started, LoadedWeights: LoadedWeights{Intact: x.WeightsVersion}, registered: true}
		case last.started != x.Started:
			// Nothing is confirmed about this start. What is known may be about a later one, so it is kept.
			out = loaderStatement{started: x.Started, at: last.at}
			return last, true
		case last.registered:
			// What the target has released meanwhile may be loaded again, from other chunks.
			last.Intact = min(last.Intact, x.WeightsVersion)
		}
		out = last
		return last, true
	})
	return out
}

// DropUnused drops what is known of targets that have not been registered for long.
func (t *Table) DropUnused(now time.Time) {
	inUse := func(addr fleet.Address) bool {
		_, ok := t.InstanceAt(addr)
		return ok
	}
	dropUnused(t.statements, inUse, func(s *loaderStatement) *time.Time { return &s.usedAt }, now)
	t.dropUnusedAnnounced(now)
}
