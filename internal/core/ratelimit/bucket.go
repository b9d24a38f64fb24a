// Package ratelimit limits the use of a network link with token buckets. Live
// traffic is charged without a wait and may overdraw a bucket; transfers of
// weights wait until the bucket has recovered. The wait is computed in advance,
// so callers sleep only once.
package ratelimit

import (
	"sync"
	"time"
)

// burstDuration is the link time that an idle bucket can accumulate. It covers
// the timer resolution without letting a transfer start with a noticeable
// burst.
const burstDuration = 20 * time.Millisecond

// Bucket limits one direction of a link. The zero value does not limit.
type Bucket struct {
	mu     sync.Mutex
	rate   float64 // bytes per second; 0 means no limit
	burst  float64
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket for rate bytes per second. A rate of zero
// means no limit.
func NewBucket(rate int64, now time.Time) *Bucket {
	b := &Bucket{rate: float64(rate), last: now}
	b.burst = b.rate * burstDuration.Seconds()
	b.tokens = b.burst
	return b
}

// Reserve takes n bytes for a transfer of weights and returns how long the
// caller must wait before it uses them. Reservations are served in call order.
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

// Charge takes n bytes for live traffic without a wait, even if the bucket
// becomes negative. Later reservations wait until it has recovered.
func (b *Bucket) Charge(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.tokens -= float64(n)
}

// TryTake takes n bytes if the bucket holds at least one, and reports whether
// it did. It is for traffic that is dropped rather than delayed.
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

// refill adds the tokens of the time since the last call. It ignores a clock
// that goes backwards.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
}

// Link limits both directions of a machine's network link.
type Link struct {
	In, Out *Bucket
}

// NewLink returns a link with the given limits in bytes per second.
func NewLink(inRate, outRate int64, now time.Time) Link {
	return Link{In: NewBucket(inRate, now), Out: NewBucket(outRate, now)}
}
