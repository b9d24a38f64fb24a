package rollout

import (
	"sync"
	"time"
)

const (
	// LeaseDuration is the duration of an order lease. It exceeds the longest time
	// that the two platform calls which acquire the lease can take.
	LeaseDuration = 5 * time.Second
	// leaseMargin is the minimum time between an order and the end of its lease. It
	// covers the time until the engine has received the order.
	leaseMargin = 500 * time.Millisecond
)

// Step is what an agent has to do next before it may send an order.
type Step uint8

// Steps before an order.
const (
	// AcquireLease means that the order lease has to be acquired from the platform.
	AcquireLease Step = iota
	// DeferOrder means that no order may be sent before Decision.Wait has passed.
	DeferOrder
	// SendOrder means that an order may be sent now with Decision.Fence.
	SendOrder
)

// Decision is the result of OrderGate.NextStep.
type Decision struct {
	Step Step
	// Wait is set for DeferOrder.
	Wait time.Duration
	// Fence is the fencing number of the order. It is set for SendOrder, as are the
	// fields below.
	Fence int64
	// ValidUntil is the time until which the order may be sent. It is computed from
	// the time of the decision, so that it includes any pause after the decision.
	ValidUntil time.Time
	// Leased reports whether the order is sent under a lease.
	Leased bool
}

// OrderGate decides whether an agent may send an order to its engine. All times are
// readings of a clock that also advances while the machine is suspended, so an agent
// that was paused past the end of its lease detects that the lease has lapsed. An OrderGate is not safe for concurrent
// use.
type OrderGate struct {
	// lapsedAt is the time from which every lease of this VM has lapsed: this agent's
	// own, and any that another agent may have acquired without this one's knowledge.
	lapsedAt   time.Time
	leaseUntil time.Time
	// leaseFence is the fencing number of the lease.
	leaseFence int64
	// engineFence is the highest fencing number that the engine reported.
	engineFence int64
	// lastFence is the fencing number of this agent's last order.
	lastFence   int64
	unreachable bool
	lastFailure time.Time
}

// retryInterval is the time between two attempts to acquire the lease.
const retryInterval = 500 * time.Millisecond

// outageGap is the time between two failed calls after which they count as separate
// outages, since the platform may have been reachable in between. It exceeds the
// slowest attempt to acquire the lease.
const outageGap = 2 * LeaseDuration

// NewOrderGate returns the gate of an agent that starts at now.
func NewOrderGate(now time.Time) OrderGate { return OrderGate{lapsedAt: now.Add(LeaseDuration)} }

// SetEngineFence records the highest fencing number that the engine reports.
func (g *OrderGate) SetEngineFence(fence int64) { g.engineFence = fence }

// LeaseAcquired records that the lease was acquired at the given revision. sent is
// the time at which its grant was requested.
func (g *OrderGate) LeaseAcquired(revision int64, sent time.Time) {
	g.leaseFence, g.leaseUntil, g.unreachable = revision, sent.Add(LeaseDuration), false
	g.lapsedAt = g.leaseUntil
}

// LeaseExtended records a successful keep-alive that was sent at sent.
func (g *OrderGate) LeaseExtended(sent time.Time) {
	g.leaseUntil = sent.Add(LeaseDuration)
	g.lapsedAt = g.leaseUntil
}

// LeaseRefused records that another agent holds the lease. If the platform becomes
// unreachable, that lease has to lapse before this agent may send an order.
func (g *OrderGate) LeaseRefused(now time.Time) {
	g.lastFailure, g.unreachable = now, false
	g.lapsedAt = now.Add(LeaseDuration)
}

// PlatformUnreachable records that the platform could not be reached. Another agent
// of this VM may have acquired the lease since the last successful call. That lease
// lapses at the latest LeaseDuration after the start of the outage, so the time runs
// from the first of a series of failed calls.
func (g *OrderGate) PlatformUnreachable(now time.Time) {
	outageContinues := g.unreachable && now.Sub(g.lastFailure) < outageGap
	if until := now.Add(LeaseDuration); !outageContinues && until.After(g.lapsedAt) {
		g.lapsedAt = until
	}
	g.lastFailure, g.unreachable = now, true
}

// LeaseHeld reports whether an order may be sent under the lease now.
func (g *OrderGate) LeaseHeld(now time.Time) bool { return g.leaseUntil.Sub(now) > leaseMargin }

// NextStep returns the next step towards an order. While the platform is
// unreachable, an order may be sent once every lease of this VM has lapsed. Its
// fencing number is then the engine's plus one. If the engine reports a higher
// number than this agent's last one, another agent has taken over, and this agent
// sends no order without the lease.
func (g *OrderGate) NextStep(now time.Time) Decision {
	retryWait := retryInterval - now.Sub(g.lastFailure)
	switch {
	case g.LeaseHeld(now):
		g.lastFence = g.nextFence()
		return Decision{Step: SendOrder, Fence: g.lastFence, ValidUntil: g.leaseUntil.Add(-leaseMargin), Leased: true}
	case g.lastFailure.IsZero() || retryWait <= 0:
		// A new attempt is also made before each order without a lease.
		return Decision{Step: AcquireLease}
	case g.unreachable && !now.Before(g.lapsedAt) && !g.superseded():
		g.lastFence = g.engineFence + 1
		return Decision{Step: SendOrder, Fence: g.lastFence, ValidUntil: now.Add(LeaseDuration - leaseMargin)}
	default:
		return Decision{Step: DeferOrder, Wait: max(retryWait, time.Millisecond)}
	}
}

// superseded reports whether the engine received an order of another agent after
// this agent's last one. This agent then sends no order without a lease.
func (g *OrderGate) superseded() bool { return g.lastFence > 0 && g.engineFence > g.lastFence }

// nextFence returns the fencing number of an order under a valid lease: the lease's
// revision, unless orders without a lease have raised the engine's number above
// it. Then it is one more than the engine's, which is safe, since only the holder of
// the lease sends orders.
func (g *OrderGate) nextFence() int64 {
	if g.leaseFence < g.engineFence {
		g.leaseFence = g.engineFence + 1
	}
	return g.leaseFence
}

// OrderValidity is the time until which an order in progress may be sent to the
// engine. An agent that was paused in the middle of an order finds that the order
// has lapsed. mu guards all fields.
type OrderValidity struct {
	mu         sync.Mutex
	validUntil time.Time
}

// Start sets the validity to that of a new order.
func (v *OrderValidity) Start(d Decision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.validUntil = d.ValidUntil
}

// LeaseExtended extends the order's validity after a successful keep-alive of the
// lease that was sent at sent.
func (v *OrderValidity) LeaseExtended(sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.validUntil = sent.Add(LeaseDuration - leaseMargin)
}

// ExtendUnleased extends the validity of an order without a lease, unless the order
// has lapsed.
func (v *OrderValidity) ExtendUnleased(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.validUntil) {
		v.validUntil = now.Add(LeaseDuration - leaseMargin)
	}
}

// Lapsed reports whether the order must not be sent any more.
func (v *OrderValidity) Lapsed(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !now.Before(v.validUntil)
}
