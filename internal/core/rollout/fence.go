package rollout

import "time"

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
}

// Gate decides whether an agent may give its engine an order. All times are
// readings of the monotonic clock, so an agent that was paused past its lease
// finds the lease lapsed. It is a plain value with one owner.
type Gate struct {
	// free is the latest time at which another agent of this VM may still have
	// held a lease that this one does not know of, or this one's own lease.
	free       time.Time
	until      time.Time
	fence      int64
	engine     int64
	unreached  bool
	lastFailed time.Time
}

// retryEvery is the pause between two attempts to take the lease.
const retryEvery = 500 * time.Millisecond

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

// Unreachable records that the platform could not be reached.
func (g *Gate) Unreachable(now time.Time) { g.lastFailed, g.unreached = now, true }

// Held reports whether the lease is valid for an order now.
func (g *Gate) Held(now time.Time) bool { return g.until.Sub(now) > leaseMargin }

// Next returns what to do before an order at now. With the platform out of
// reach, an order may be given once any lease of this VM has lapsed; its number
// is then the engine's plus one.
func (g *Gate) Next(now time.Time) Decision {
	wait := retryEvery - now.Sub(g.lastFailed)
	switch {
	case g.Held(now):
		return Decision{Step: Give, Fence: g.number()}
	case g.lastFailed.IsZero() || wait <= 0:
		// A fresh attempt also precedes each order without a lease.
		return Decision{Step: Acquire}
	case g.unreached && !now.Before(g.free):
		return Decision{Step: Give, Fence: g.engine + 1}
	default:
		return Decision{Step: Hold, Wait: max(wait, time.Millisecond)}
	}
}

// number returns the fencing number under a valid lease. Orders given without
// the platform may have taken the engine's number past the lease's revision.
// The holder of the lease may go one further, as nobody else gives orders.
func (g *Gate) number() int64 {
	if g.fence < g.engine {
		g.fence = g.engine + 1
	}
	return g.fence
}
