// Package pace limits the use of a link with token buckets. Live traffic is
// charged without waiting and may leave a debt; transfers of weights wait
// until the debt is paid. Waits are computed, so callers sleep once.
package ratelimit

import (
	"sync"
	"time"
)

// burstTime is the link time that an idle bucket saves up. It covers the
// resolution of timers without letting a transfer start with a visible burst.
const burstTime = 20 * time.Millisecond

// Bucket limits one direction of a link. The zero value has no limit.
type Bucket struct {
	mu     sync.Mutex
	rate   float64 // bytes per second; 0 means no limit
	burst  float64
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket of rate bytes per second. A rate of zero
// means no limit.
func NewBucket(rate int64, now time.Time) *Bucket {
	b := &Bucket{rate: float64(rate), last: now}
	b.burst = b.rate * burstTime.Seconds()
	b.tokens = b.burst
	return b
}

// Reserve takes n bytes for weights and returns how long the caller has to
// wait before it uses them. Reservations are served in the order of the calls.
func (b *Bucket) Reserve(now time.Time, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	b.tokens -= float64(n)
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// Charge takes n bytes of live traffic. It never waits; later reservations
// wait until the debt is paid.
func (b *Bucket) Charge(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.tokens -= float64(n)
}

// TryTake takes n bytes if the bucket holds at least one, and reports whether it
// did. It is for traffic that is dropped rather than delayed.
func (b *Bucket) TryTake(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return true
	}
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// refill ignores a clock that steps back.
func (b *Bucket) refill(now time.Time) {
	d := now.Sub(b.last)
	if d <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
}

// Link is both directions of a machine's link.
type Link struct {
	In, Out *Bucket
}

// NewLink returns a link with the given rates in bytes per second.
func NewLink(inRate, outRate int64, now time.Time) Link {
	return Link{In: NewBucket(inRate, now), Out: NewBucket(outRate, now)}
}
