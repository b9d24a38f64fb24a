// Package admission holds the exact count of requests and request bytes in a
// target and decides whether one more may start there.
//
// The count covers every permit that is not released, whatever happens to the
// limit in between. A limit that falls below the count stops new work and
// leaves the requests in progress alone.
package admission

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// retryAfter is what a refused entry is told when a target is full; it is in
// the order of the time of one short request.
const retryAfter = 100 * time.Millisecond

// Load is the load of a target at one moment.
type Load struct {
	InFlight int
	Limit    int
	Bytes    int64
}

// record is the state of one target. The lock of its shard guards it.
type record struct {
	limits   declare.Limits
	limit    int
	inFlight int
	bytes    int64
	pinned   map[fleet.Version]int

	// epoch rises each time the target becomes cold. A request that started in
	// an earlier epoch says nothing about the target of the present one.
	epoch    uint64
	finished int
	raisedAt time.Time

	// identity is the newest one that the engine stated, if seen. changedAt is
	// the time at which it replaced another one.
	identity  fleet.EngineIdentity
	seen      bool
	changedAt time.Time
	// confirmed is the time after which the engine stated identity last.
	confirmed time.Time
	// checks means that the engine refuses requests for another identity.
	checks bool

	ready    bool
	version  fleet.Version
	cordoned bool
	leaving  bool
}

// Table holds the records of targets by name.
type Table struct {
	m *shard.Map[string, *record]
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{m: shard.New[string, *record](0)} }

func (t *Table) with(target string, f func(r *record)) {
	t.m.Update(target, func(r *record, ok bool) (*record, bool) {
		if !ok {
			r = &record{pinned: map[fleet.Version]int{}}
		}
		f(r)
		return r, true
	})
}

// Configure sets the declared limits. A target that is not known yet starts
// cold; a known one keeps its ramp.
func (t *Table) Configure(target string, l declare.Limits, now time.Time) {
	t.with(target, func(r *record) {
		first := r.limits == (declare.Limits{})
		r.limits = l
		if first {
			r.cool(now)
		}
		r.limit = max(r.floor(), min(r.limit, l.MaxRequests))
	})
}

// SetCordoned refuses new work while on is true.
func (t *Table) SetCordoned(target string, on bool) {
	t.with(target, func(r *record) { r.cordoned = on })
}

// SetLeaving refuses new work for good.
func (t *Table) SetLeaving(target string) {
	t.with(target, func(r *record) { r.leaving = true })
}

// SetServing states whether the target can answer, and with which version.
// The version is empty for a plain service. A target that could not answer
// before counts as just started.
func (t *Table) SetServing(target string, ready bool, v fleet.Version, now time.Time) {
	t.with(target, func(r *record) {
		if ready && !r.ready {
			r.cool(now)
		}
		r.ready, r.version = ready, v
	})
}

// Observation is what an engine stated of itself.
type Observation struct {
	fleet.EngineIdentity
	// ChecksIdentity means that the engine refuses requests for another identity.
	ChecksIdentity bool
	// AskedAt is the time before the engine was asked.
	AskedAt time.Time
}

// ObserveEngine records the identity that an engine states. It reports
// whether the target became cold: a new boot identity or a higher load count.
// Observations may come in another order than the engine made them; one that
// is known to be older than the identity held has no effect.
func (t *Table) ObserveEngine(target string, o Observation, now time.Time) bool {
	cold := false
	t.with(target, func(r *record) {
		if r.outdated(o) {
			return
		}
		cold = r.seen && r.identity != o.EngineIdentity
		r.identity, r.seen, r.checks = o.EngineIdentity, true, o.ChecksIdentity
		if r.confirmed.Before(o.AskedAt) {
			r.confirmed = o.AskedAt
		}
		if cold {
			r.changedAt = now
			r.cool(now)
		}
	})
	return cold
}

// outdated reports whether o shows an identity that the engine had before the
// one held. Boot identities have no order, so an observation with another one
// counts as older if it may have been made before the one held was known.
func (r *record) outdated(o Observation) bool {
	switch {
	case !r.seen || o.EngineIdentity == r.identity:
		return false
	case o.BootID == r.identity.BootID:
		return o.LoadCount < r.identity.LoadCount
	default:
		return o.AskedAt.Before(r.changedAt)
	}
}

// unconfirmed reports whether the engine has to state its identity again
// before one more request may start. It need not if it checks the identity
// itself, or if a cold engine bears the request as well.
func (r *record) unconfirmed(since time.Time) bool {
	return r.seen && !r.checks && r.inFlight >= r.floor() && r.confirmed.Before(since)
}

// ResetToCold returns the target to its cold limit, for a sign of a restart that no
// engine reports.
func (t *Table) ResetToCold(target string, now time.Time) {
	t.with(target, func(r *record) { r.cool(now) })
}

// floor is the limit of a cold target.
func (r *record) floor() int {
	return min(max(1, r.limits.ColdRequests), r.limits.MaxRequests)
}

// cool returns the target to its cold limit.
func (r *record) cool(now time.Time) {
	r.limit = r.floor()
	r.epoch++
	r.finished = 0
	r.raisedAt = now
}

// advance raises the limit if the target has proved the present one.
func (r *record) advance(now time.Time) {
	if r.limit >= r.limits.MaxRequests || r.finished < r.limit || now.Sub(r.raisedAt) < r.limits.RampStep {
		return
	}
	r.limit = min(2*r.limit, r.limits.MaxRequests)
	r.finished = 0
	r.raisedAt = now
}

// refuse returns the reason why one more request of n bytes may not start.
func (r *record) refuse(n int64) *verdict.Error {
	switch {
	case r.leaving:
		return verdict.New(verdict.NotRun, verdict.CodeTargetLeaving, "target is leaving")
	case r.cordoned:
		return verdict.New(verdict.NotRun, verdict.CodeTargetCordoned, "target is cordoned")
	case !r.ready:
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "target serves no complete version").WithRetryAfter(retryAfter)
	case r.limits.MaxBytes > 0 && n > r.limits.MaxBytes:
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "request has %d bytes, target takes %d", n, r.limits.MaxBytes)
	case r.inFlight >= r.limit && r.limit < r.limits.MaxRequests:
		return verdict.New(verdict.NotRun, verdict.CodeTargetWarming, "target is warming up at %d requests", r.limit).WithRetryAfter(retryAfter)
	case r.inFlight >= r.limit:
		return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "target holds %d requests", r.inFlight).WithRetryAfter(retryAfter)
	case r.limits.MaxBytes > 0 && r.bytes+n > r.limits.MaxBytes:
		return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "target holds %d bytes", r.bytes).WithRetryAfter(retryAfter)
	default:
		return nil
	}
}

// Admit counts a request of n bytes into the target and pins the version that
// answers it, or returns why it may not start, with verdict not-run.
func (t *Table) Admit(target string, n int64, now time.Time) (*Permit, *verdict.Error) {
	return t.AdmitSince(target, n, time.Time{}, now)
}

// AdmitSince is Admit for a request that arrived at the time since. It returns
// neither a permit nor a refusal if the target's engine has to state its
// identity first, with a question asked after that time.
func (t *Table) AdmitSince(target string, n int64, since, now time.Time) (*Permit, *verdict.Error) {
	var p *Permit
	var refusal *verdict.Error
	t.with(target, func(r *record) {
		r.advance(now)
		if refusal = r.refuse(n); refusal != nil || r.unconfirmed(since) {
			return
		}
		r.inFlight++
		r.bytes += n
		r.pinned[r.version]++
		p = &Permit{table: t, target: target, bytes: n, version: r.version, epoch: r.epoch}
		if r.checks {
			p.expect = r.identity
		}
	})
	return p, refusal
}

// Load returns the load of a target.
func (t *Table) Load(target string, now time.Time) Load {
	var l Load
	t.with(target, func(r *record) {
		r.advance(now)
		l = Load{InFlight: r.inFlight, Limit: r.limit, Bytes: r.bytes}
	})
	return l
}

// PinnedRequests returns the number of requests in progress that are pinned to v.
func (t *Table) PinnedRequests(target string, v fleet.Version) int {
	n := 0
	t.with(target, func(r *record) { n = r.pinned[v] })
	return n
}
