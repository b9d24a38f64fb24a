package rollout

import (
	"sync"
	"time"
)

const (
	// LeaseTime is the life of an order lease. It covers the slowest two calls
	// to the platform that take it.
	LeaseTime = 5 * time.Second
	// leaseMargin is kept between an order and the end of its lease, for the
	// time until the engine has received the order.
	leaseMargin = 500 * time.Millisecond
)

// Step says what has to happen before the next order.
type Step uint8

// The steps.
const (
	// Acquire means that the order lease has to be taken on the platform.
	Acquire Step = iota
	// Hold means that no order may be given before Decision.Wait has passed.
	Hold
	// Give means that an order may be given now under Decision.Fence.
	Give
)

// Decision is the result of Gate.Next.
type Decision struct {
	Step  Step
	Wait  time.Duration
	Fence int64
	// Until is the time up to which the order may be sent. It follows from the
	// time of the decision, so that a pause right after it counts.
	Until time.Time
	// Leased reports whether the order is given under the lease.
	Leased bool
}

// Gate decides whether an agent may give its engine an order. All times are
// readings of the monotonic clock, so an agent that was paused past its lease
// finds the lease lapsed. It is a plain value with one owner.
type Gate struct {
	// free is the latest time at which another agent of this VM may still hold
	// a lease that this one does not know of, or this one its own.
	free   time.Time
	until  time.Time
	fence  int64
	engine int64
	// given is the number of this agent's last order.
	given      int64
	unreached  bool
	lastFailed time.Time
}

// retryEvery is the pause between two attempts to take the lease.
const retryEvery = 500 * time.Millisecond

// seriesGap is the time between two failed calls after which the platform may
// have been back meanwhile. It covers the slowest attempt to take the lease.
const seriesGap = 2 * LeaseTime

// NewGate returns the gate of an agent that started at now.
func NewGate(now time.Time) Gate { return Gate{free: now.Add(LeaseTime)} }

// EngineFence records the highest number that the engine reports.
func (g *Gate) EngineFence(n int64) { g.engine = n }

// Acquired records a lease whose grant was asked for at sent.
func (g *Gate) Acquired(rev int64, sent time.Time) {
	g.fence, g.until, g.unreached = rev, sent.Add(LeaseTime), false
	g.free = g.until
}

// Extended records a keep-alive that was sent at sent and succeeded.
func (g *Gate) Extended(sent time.Time) {
	g.until = sent.Add(LeaseTime)
	g.free = g.until
}

// Refused records that another holder has the lease. If the platform is out of
// reach from then on, that lease has to lapse first.
func (g *Gate) Refused(now time.Time) {
	g.lastFailed, g.unreached = now, false
	g.free = now.Add(LeaseTime)
}

// Unreachable records that the platform could not be reached. Another agent of
// this VM may have taken the lease since this one heard of the platform last.
// That lease has lapsed LeaseTime after the outage began, so the time runs from
// the first of a series of failed calls.
func (g *Gate) Unreachable(now time.Time) {
	series := g.unreached && now.Sub(g.lastFailed) < seriesGap
	if until := now.Add(LeaseTime); !series && until.After(g.free) {
		g.free = until
	}
	g.lastFailed, g.unreached = now, true
}

// Held reports whether the lease is valid for an order now.
func (g *Gate) Held(now time.Time) bool { return g.until.Sub(now) > leaseMargin }

// Next returns what to do before an order at now. With the platform out of
// reach, an order may be given once any lease of this VM has lapsed; its number
// is then the engine's plus one. An agent that finds a number above its own at
// the engine has a successor and leaves the orders to it.
func (g *Gate) Next(now time.Time) Decision {
	wait := retryEvery - now.Sub(g.lastFailed)
	switch {
	case g.Held(now):
		g.given = g.number()
		return Decision{Step: Give, Fence: g.given, Until: g.until.Add(-leaseMargin), Leased: true}
	case g.lastFailed.IsZero() || wait <= 0:
		// A fresh attempt also precedes each order without a lease.
		return Decision{Step: Acquire}
	case g.unreached && !now.Before(g.free) && !g.succeeded():
		g.given = g.engine + 1
		return Decision{Step: Give, Fence: g.given, Until: now.Add(LeaseTime - leaseMargin)}
	default:
		return Decision{Step: Hold, Wait: max(wait, time.Millisecond)}
	}
}

// succeeded reports whether the engine has had an order of another agent since
// this one's last. Without the platform this agent then gives none.
func (g *Gate) succeeded() bool { return g.given > 0 && g.engine > g.given }

// number returns the fencing number under a valid lease. Orders given without
// the platform may have taken the engine's number past the lease's revision.
// The holder of the lease may go one further, as nobody else gives orders.
func (g *Gate) number() int64 {
	if g.fence < g.engine {
		g.fence = g.engine + 1
	}
	return g.fence
}

// Validity is the time up to which an order in progress may be sent to the
// engine. An agent that is paused in the middle of an order finds it lapsed. Its
// lock covers all fields.
type Validity struct {
	mu    sync.Mutex
	until time.Time
}

// Start makes the order of a decision valid.
func (v *Validity) Start(d Decision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.until = d.Until
}

// Extended records that the lease was extended by a call that was sent at sent.
func (v *Validity) Extended(sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.until = sent.Add(LeaseTime - leaseMargin)
}

// Alive extends an order without a lease, unless it has lapsed before now.
func (v *Validity) Alive(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.until) {
		v.until = now.Add(LeaseTime - leaseMargin)
	}
}

// Lapsed reports whether the order may not be sent any more.
func (v *Validity) Lapsed(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !now.Before(v.until)
}
