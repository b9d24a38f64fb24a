package membership

import (
	"sync"
	"time"
)

const (
	// burstSeconds times the rate is what may be saved up.
	burstSeconds = 64
	// startupBurstSeconds times the rate may be used in the first startFor, so that a
	// process that starts learns the table at once: 2,790 records of 170 bytes
	// are 474 KB. A VM is replaced each few days, so this adds 2 B/s.
	startupBurstSeconds = 720
	startupPeriod       = time.Minute
	// urgentReserveSeconds times the rate is kept for urgent records.
	urgentReserveSeconds = 16
	// maxDebtSeconds times the rate is the debt that other records can make.
	maxDebtSeconds = 8
)

// Budget is a token bucket for the bytes of records and digests that a process
// sends and receives. What it receives it cannot refuse, so the bucket may be
// overdrawn; nothing is sent then but urgent records and small answers.
type Budget struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
	// startedAt is when the process started.
	startedAt time.Time
}

// NewBudget returns a full bucket of a rate in bytes per second.
func NewBudget(rate int, now time.Time) *Budget {
	return &Budget{rate: float64(rate), tokens: float64(rate) * startupBurstSeconds, refilledAt: now, startedAt: now}
}

func (b *Budget) refillLocked(now time.Time) {
	limit := b.rate * startupBurstSeconds
	if now.Sub(b.startedAt) >= startupPeriod {
		limit = b.rate * burstSeconds
	}
	b.tokens = min(limit, b.tokens+max(0, now.Sub(b.refilledAt).Seconds())*b.rate)
	b.refilledAt = now
}

// Available returns the bytes that may be sent now, and those that urgent records
// may take.
func (b *Budget) Available(now time.Time) (room, urgent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	return max(0, int(b.tokens)), max(0, int(b.tokens+b.rate*urgentReserveSeconds))
}

// HalfFull reports whether at least half of the bucket is left.
func (b *Budget) HalfFull(now time.Time) bool {
	room, _ := b.Available(now)
	return float64(room) >= b.rate*burstSeconds/2
}

// Charge counts bytes that were sent or received. The debt is bounded, so that a
// flood of records does not silence a process for long and leaves room for
// urgent ones.
func (b *Budget) Charge(n int, now time.Time) { b.charge(n, maxDebtSeconds, now) }

// ChargeUrgent counts bytes of urgent records that were sent.
func (b *Budget) ChargeUrgent(n int, now time.Time) { b.charge(n, urgentReserveSeconds, now) }

func (b *Budget) charge(n int, maxDebt float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	b.tokens = max(min(b.tokens, -b.rate*maxDebt), b.tokens-float64(n))
}
