package membership

import (
	"sync"
	"time"
)

const (
	// The limits in seconds are multiplied by the rate. burstSeconds is the capacity
	// of the bucket after startupPeriod.
	burstSeconds = 64
	// startupBurstSeconds is the capacity of the bucket during startupPeriod. It
	// lets a process that starts receive the whole table at once: 2,790 records of
	// 170 bytes are 474 KB. A VM is replaced every few days, so this adds 2 B/s on
	// average.
	startupBurstSeconds = 720
	startupPeriod       = time.Minute
	// urgentReserveSeconds is the overdraft that is reserved for urgent records.
	urgentReserveSeconds = 16
	// maxDebtSeconds is the highest debt that records which are not urgent can
	// cause.
	maxDebtSeconds = 8
)

// Budget is a token bucket for the bytes of records and digests that a process
// sends and receives. A process cannot refuse what it receives, so the bucket may
// be overdrawn; the process then sends only urgent records and small replies.
type Budget struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
	startedAt  time.Time
}

// NewBudget returns a full bucket that is refilled at rate, in bytes per second.
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

// Available returns the number of bytes that may be sent now, and the number for
// urgent records, which includes the reserve.
func (b *Budget) Available(now time.Time) (room, urgent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	return max(0, int(b.tokens)), max(0, int(b.tokens+b.rate*urgentReserveSeconds))
}

// HalfFull reports whether the bucket holds at least half of its capacity after
// the startup period.
func (b *Budget) HalfFull(now time.Time) bool {
	room, _ := b.Available(now)
	return float64(room) >= b.rate*burstSeconds/2
}

// Charge deducts bytes that were sent or received. The resulting debt is limited,
// so that a burst of received records does not stop a process from sending for
// long and leaves bytes for urgent records.
func (b *Budget) Charge(bytes int, now time.Time) { b.charge(bytes, maxDebtSeconds, now) }

// ChargeUrgent deducts the bytes of urgent records that were sent.
func (b *Budget) ChargeUrgent(bytes int, now time.Time) { b.charge(bytes, urgentReserveSeconds, now) }

func (b *Budget) charge(bytes int, maxDebt float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(now)
	b.tokens = max(min(b.tokens, -b.rate*maxDebt), b.tokens-float64(bytes))
}
