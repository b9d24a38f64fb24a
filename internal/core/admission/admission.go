// Package admission keeps an exact count of the requests and request bytes in each
// target and decides whether another request may start there.
//
// The count covers every permit that has not been released, even if the limit
// changes in the meantime. A limit below the count stops new requests but does not
// affect those in progress.
package admission

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// retryAfter is the delay suggested to an entry whose request is refused for a
// temporary reason. It is about the duration of one short request.
const retryAfter = 100 * time.Millisecond

// Load is a snapshot of a target's load: requests in progress, their limit, and
// request bytes.
type Load struct {
	InFlight int
	Limit    int
	Bytes    int64
}

// targetState is the state of one target. It is guarded by the lock of its shard.
type targetState struct {
	limits declare.Limits
	// limit is the number of concurrent requests that the ramp currently allows.
	limit    int
	inFlight int
	bytes    int64
	// pinned counts the requests in progress by the version that serves them.
	pinned map[fleet.Version]int

	// epoch is incremented each time the target is reset to its cold limit. The
	// outcome of a request admitted in an earlier epoch does not affect the ramp.
	epoch uint64
	// succeededAtLimit is the number of requests that succeeded since the limit
	// was last set, at limitSetAt.
	succeededAtLimit int
	limitSetAt       time.Time

	// identity is the newest identity that the engine reported, valid if
	// identityKnown is set. It replaced another one at identityChangedAt.
	identity          fleet.EngineIdentity
	identityKnown     bool
	identityChangedAt time.Time
	// confirmedAt is the start of the latest query that the engine answered with
	// the current identity.
	confirmedAt time.Time
	// checksIdentity means that the engine refuses requests for another identity.
	checksIdentity bool

	ready    bool
	version  fleet.Version
	cordoned bool
	leaving  bool
}

// Table holds the admission state of targets by name.
type Table struct {
	targets *shard.Map[string, *targetState]
}

// New returns an empty table.
func New() *Table { return &Table{targets: shard.New[string, *targetState](0)} }

// update calls f with the state of a target, which it creates if needed, under the
// lock of its shard.
func (t *Table) update(target string, f func(s *targetState)) {
	t.targets.Update(target, func(s *targetState, ok bool) (*targetState, bool) {
		if !ok {
			s = &targetState{pinned: map[fleet.Version]int{}}
		}
		f(s)
		return s, true
	})
}

// Configure sets the declared limits. A new target starts at its cold limit; a
// known one keeps its current limit within the new bounds.
func (t *Table) Configure(target string, l declare.Limits, now time.Time) {
	t.update(target, func(s *targetState) {
		isNew := s.limits == (declare.Limits{})
		s.limits = l
		if isNew {
			s.resetToCold(now)
		}
		s.limit = max(s.coldLimit(), min(s.limit, l.MaxRequests))
	})
}

// SetCordoned cordons the target, or ends the cordon. A cordoned target refuses new
// requests.
func (t *Table) SetCordoned(target string, on bool) {
	t.update(target, func(s *targetState) { s.cordoned = on })
}

// SetLeaving makes the target refuse all further requests, permanently.
func (t *Table) SetLeaving(target string) {
	t.update(target, func(s *targetState) { s.leaving = true })
}

// SetServing sets whether the target can serve requests, and with which version.
// The version is empty for a plain service. A target that becomes ready is reset to
// its cold limit.
func (t *Table) SetServing(target string, ready bool, v fleet.Version, now time.Time) {
	t.update(target, func(s *targetState) {
		if ready && !s.ready {
			s.resetToCold(now)
		}
		s.ready, s.version = ready, v
	})
}

// Observation is an identity that an engine reported.
type Observation struct {
	fleet.EngineIdentity
	// ChecksIdentity means that the engine refuses requests for another identity.
	ChecksIdentity bool
	// AskedAt is the time just before the engine was queried.
	AskedAt time.Time
}

// ObserveEngine records the identity that an engine reported. If it differs from
// the known one, by a new boot identity or a higher load count, the target is reset
// to its cold limit and ObserveEngine returns true. Observations may arrive out of
// order; one that is older than the known identity, or may be, has no effect.
func (t *Table) ObserveEngine(target string, o Observation, now time.Time) bool {
	reset := false
	t.update(target, func(s *targetState) {
		if s.isOutdated(o) {
			return
		}
		reset = s.identityKnown && s.identity != o.EngineIdentity
		s.identity, s.identityKnown, s.checksIdentity = o.EngineIdentity, true, o.ChecksIdentity
		if s.confirmedAt.Before(o.AskedAt) {
			s.confirmedAt = o.AskedAt
		}
		if reset {
			s.identityChangedAt = now
			s.resetToCold(now)
		}
	})
	return reset
}

// isOutdated reports whether o counts as older than the known identity. Boot
// identities have no order, so an observation with another boot identity counts as
// older if its query began before the known identity was recorded.
func (s *targetState) isOutdated(o Observation) bool {
	switch {
	case !s.identityKnown || o.EngineIdentity == s.identity:
		return false
	case o.BootID == s.identity.BootID:
		return o.LoadCount < s.identity.LoadCount
	default:
		return o.AskedAt.Before(s.identityChangedAt)
	}
}

// needsConfirmation reports whether the engine must report its identity in a query
// begun after since before another request may start. This is not needed if the
// engine checks the identity itself, or if the request stays within the cold limit.
func (s *targetState) needsConfirmation(since time.Time) bool {
	return s.identityKnown && !s.checksIdentity && s.inFlight >= s.coldLimit() && s.confirmedAt.Before(since)
}

// ResetToCold returns the target to its cold limit. It is for signs of a restart
// other than an engine's report.
func (t *Table) ResetToCold(target string, now time.Time) {
	t.update(target, func(s *targetState) { s.resetToCold(now) })
}

// coldLimit returns the number of concurrent requests allowed in a cold target.
func (s *targetState) coldLimit() int {
	return min(max(1, s.limits.ColdRequests), s.limits.MaxRequests)
}

// resetToCold returns the target to its cold limit and starts a new epoch.
func (s *targetState) resetToCold(now time.Time) {
	s.limit = s.coldLimit()
	s.epoch++
	s.succeededAtLimit = 0
	s.limitSetAt = now
}

// advanceRamp doubles the limit, up to the declared maximum, once a full ramp step
// has passed and as many requests as the current limit have succeeded.
func (s *targetState) advanceRamp(now time.Time) {
	if s.limit >= s.limits.MaxRequests || s.succeededAtLimit < s.limit || now.Sub(s.limitSetAt) < s.limits.RampStep {
		return
	}
	s.limit = min(2*s.limit, s.limits.MaxRequests)
	s.succeededAtLimit = 0
	s.limitSetAt = now
}

// refusalReason returns the reason why another request of n bytes may not start, or
// nil.
func (s *targetState) refusalReason(n int64) *verdict.Error {
	switch {
	case s.leaving:
		return verdict.New(verdict.NotRun, verdict.CodeTargetLeaving, "target is leaving")
	case s.cordoned:
		return verdict.New(verdict.NotRun, verdict.CodeTargetCordoned, "target is cordoned")
	case !s.ready:
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "target serves no complete version").WithRetryAfter(retryAfter)
	case s.limits.MaxBytes > 0 && n > s.limits.MaxBytes:
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "request has %d bytes, target takes %d", n, s.limits.MaxBytes)
	case s.inFlight >= s.limit && s.limit < s.limits.MaxRequests:
		return verdict.New(verdict.NotRun, verdict.CodeTargetWarming, "target is warming up at %d requests", s.limit).WithRetryAfter(retryAfter)
	case s.inFlight >= s.limit:
		return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "target holds %d requests", s.inFlight).WithRetryAfter(retryAfter)
	case s.limits.MaxBytes > 0 && s.bytes+n > s.limits.MaxBytes:
		return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "target holds %d bytes", s.bytes).WithRetryAfter(retryAfter)
	default:
		return nil
	}
}

// Admit adds a request of n bytes to the count of a target and pins the version
// that serves it. If the request may not start, it returns the reason, with verdict
// not-run.
func (t *Table) Admit(target string, n int64, now time.Time) (*Permit, *verdict.Error) {
	return t.AdmitSince(target, n, time.Time{}, now)
}

// AdmitSince is like Admit for a request that arrived at the time since. It returns
// neither a permit nor a refusal if the target's engine must first report its
// identity in a query begun after that time.
func (t *Table) AdmitSince(target string, n int64, since, now time.Time) (*Permit, *verdict.Error) {
	var p *Permit
	var refusal *verdict.Error
	t.update(target, func(s *targetState) {
		s.advanceRamp(now)
		if refusal = s.refusalReason(n); refusal != nil || s.needsConfirmation(since) {
			return
		}
		s.inFlight++
		s.bytes += n
		s.pinned[s.version]++
		p = &Permit{table: t, target: target, bytes: n, version: s.version, epoch: s.epoch}
		if s.checksIdentity {
			p.expectedIdentity = s.identity
		}
	})
	return p, refusal
}

// Load returns the load of a target.
func (t *Table) Load(target string, now time.Time) Load {
	var l Load
	t.update(target, func(s *targetState) {
		s.advanceRamp(now)
		l = Load{InFlight: s.inFlight, Limit: s.limit, Bytes: s.bytes}
	})
	return l
}

// PinnedRequests returns the number of requests in progress that version v serves.
func (t *Table) PinnedRequests(target string, v fleet.Version) int {
	n := 0
	t.update(target, func(s *targetState) { n = s.pinned[v] })
	return n
}
