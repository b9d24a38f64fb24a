package membership

import (
	"sync"
	"time"
)

const (
	// burstSeconds times the rate is what may be saved up.
	burstSeconds = 64
	// startSeconds times the rate may be used in the first startFor, so that a
	// process that starts learns the table at once: 2,790 records of 170 bytes
	// are 474 KB. A VM is replaced each few days, so this adds 2 B/s.
	startSeconds = 720
	startFor     = time.Minute
	// reserveSeconds times the rate is kept for urgent records.
	reserveSeconds = 16
	// debtSeconds times the rate is the debt that other records can make.
	debtSeconds = 8
)

// Budget is a token bucket for the bytes of records and digests that a process
// sends and receives. What it receives it cannot refuse, so the bucket may be
// overdrawn; nothing is sent then but urgent records and small answers.
type Budget struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
	// began is when the process started.
	began time.Time
}

// NewBudget returns a full bucket of a rate in bytes per second.
func NewBudget(rate int, now time.Time) *Budget {
	return &Budget{rate: float64(rate), tokens: float64(rate) * startSeconds, last: now, began: now}
}

func (b *Budget) refillLocked(now time.Time) {
	most := b.rate * startSeconds
	if now.Sub(b.began) >= startFor {
		most = b.rate * burstSeconds
	}
	b.tokens = min(most, b.tokens+max(0, now.Sub(b.last).Seconds())*b.rate)
	b.last = now
}

// Room returns the bytes that may be sent now, and those that urgent records
// may take.
func (b *Budget) Room(now time.Time) (room, urgent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	return max(0, int(b.tokens)), max(0, int(b.tokens+b.rate*reserveSeconds))
}

// Full reports whether at least half of the bucket is left.
func (b *Budget) Full(now time.Time) bool {
	room, _ := b.Room(now)
	return float64(room) >= b.rate*burstSeconds/2
}

// Take counts bytes that were sent or received. The debt is bounded, so that a
// flood of records does not silence a process for long and leaves room for
// urgent ones.
func (b *Budget) Take(n int, now time.Time) { b.take(n, debtSeconds, now) }

// TakeUrgent counts bytes of urgent records that were sent.
func (b *Budget) TakeUrgent(n int, now time.Time) { b.take(n, reserveSeconds, now) }

func (b *Budget) take(n int, debt float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	b.tokens = max(min(b.tokens, -b.rate*debt), b.tokens-float64(n))
}
