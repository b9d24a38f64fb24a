package admission

import (
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Outcome says what a finished request tells about its target.
type Outcome uint8

// The outcomes.
const (
	// Failed is for an error of the target; it does not raise the limit.
	Failed Outcome = iota
	// Succeeded is for a whole answer.
	Succeeded
	// Unused is for a permit whose request did not reach the target.
	Unused
)

// Permit is the right of one request to be in a target. It is released
// exactly once; further releases have no effect.
type Permit struct {
	table    *Table
	target   string
	bytes    int64
	version  fleet.Version
	epoch    uint64
	expect   fleet.EngineIdentity
	released atomic.Bool
}

// Version returns the version pinned when the request was admitted.
func (p *Permit) Version() fleet.Version { return p.version }

// ExpectedIdentity returns the identity of the engine that the request was admitted for,
// for the engine to check. It is zero for an engine that does not check it.
func (p *Permit) ExpectedIdentity() fleet.EngineIdentity { return p.expect }

// RecordEngineChange records that the engine refused the request because it has become
// another one, and did not say which.
func (p *Permit) RecordEngineChange(now time.Time) bool {
	cold := false
	p.table.with(p.target, func(r *record) {
		if cold = r.epoch == p.epoch; cold {
			r.cool(now)
		}
	})
	return cold
}

// IsCurrent reports whether the target has not become cold since the request was
// admitted. A target that has become cold may bear less than is counted in it,
// so nothing of an older request may be sent to it again.
func (p *Permit) IsCurrent() bool {
	current := false
	p.table.with(p.target, func(r *record) { current = r.epoch == p.epoch })
	return current
}

// RecordFirstToken records the time to the first token. It reports whether the
// target became cold: a slow first token shows that its caches are gone.
func (p *Permit) RecordFirstToken(d time.Duration, now time.Time) bool {
	cold := false
	p.table.with(p.target, func(r *record) {
		bound := r.limits.ColdFirstToken
		cold = bound > 0 && d > bound && r.epoch == p.epoch && r.limit > r.floor()
		if cold {
			r.cool(now)
		}
	})
	return cold
}

// Release takes the request out of the target's count.
func (p *Permit) Release(o Outcome, now time.Time) {
	if p.released.Swap(true) {
		return
	}
	p.table.with(p.target, func(r *record) {
		r.inFlight--
		r.bytes -= p.bytes
		if r.pinned[p.version]--; r.pinned[p.version] <= 0 {
			delete(r.pinned, p.version)
		}
		if o == Succeeded && p.epoch == r.epoch {
			r.finished++
		}
		r.advance(now)
	})
}
