package admission

import (
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Outcome is the result of a request as far as it affects the target's ramp.
type Outcome uint8

// Outcomes of requests. Only Succeeded counts towards raising the limit.
const (
	// Failed means that the target returned an error.
	Failed Outcome = iota
	// Succeeded means that the response was complete.
	Succeeded
	// Unused means that the request did not reach the target.
	Unused
)

// Permit allows one request to run in a target. The first Release returns it;
// further calls have no effect.
type Permit struct {
	table            *Table
	target           string
	bytes            int64
	version          fleet.Version
	epoch            uint64
	expectedIdentity fleet.EngineIdentity
	released         atomic.Bool
}

// Version returns the version pinned when the request was admitted.
func (p *Permit) Version() fleet.Version { return p.version }

// ExpectedIdentity returns the identity of the engine for which the request was
// admitted. The engine refuses the request if it has another one. It is zero for an
// engine that does not check it.
func (p *Permit) ExpectedIdentity() fleet.EngineIdentity { return p.expectedIdentity }

// RecordEngineChange records that the engine refused the request because its
// identity has changed, without reporting the new one. It reports whether the target
// was reset to its cold limit, which happens only once per change.
func (p *Permit) RecordEngineChange(now time.Time) bool {
	reset := false
	p.table.update(p.target, func(s *targetState) {
		if reset = s.epoch == p.epoch; reset {
			s.resetToCold(now)
		}
	})
	return reset
}

// IsCurrent reports whether the target has not been reset to its cold limit since
// the request was admitted. After a reset the target may be able to take fewer
// requests than are counted in it, so an older request must not be resent to it.
func (p *Permit) IsCurrent() bool {
	current := false
	p.table.update(p.target, func(s *targetState) { current = s.epoch == p.epoch })
	return current
}

// RecordFirstToken records the time to the first token. If it exceeds the declared
// bound, the target has lost its caches and is reset to its cold limit.
// RecordFirstToken reports whether that happened.
func (p *Permit) RecordFirstToken(d time.Duration, now time.Time) bool {
	reset := false
	p.table.update(p.target, func(s *targetState) {
		bound := s.limits.ColdFirstToken
		reset = bound > 0 && d > bound && s.epoch == p.epoch && s.limit > s.coldLimit()
		if reset {
			s.resetToCold(now)
		}
	})
	return reset
}

// Release removes the request from the count of the target and records its outcome.
func (p *Permit) Release(o Outcome, now time.Time) {
	if p.released.Swap(true) {
		return
	}
	p.table.update(p.target, func(s *targetState) {
		s.inFlight--
		s.bytes -= p.bytes
		if s.pinned[p.version]--; s.pinned[p.version] <= 0 {
			delete(s.pinned, p.version)
		}
		if o == Succeeded && p.epoch == s.epoch {
			s.succeededAtLimit++
		}
		s.advanceRamp(now)
	})
}
