package schedule

import (
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// ByteLimiter counts the memory held for callers, per process and per customer.
type ByteLimiter struct {
	max       int64
	total     atomic.Int64
	customers *shard.Map[fleet.Customer, int64]
}

// NewByteLimiter returns a counter with a bound for the process.
func NewByteLimiter(limit int64) *ByteLimiter {
	return &ByteLimiter{max: limit, customers: shard.New[fleet.Customer, int64](0)}
}

// Reserve counts n bytes. It returns an error and counts nothing if the bound of
// the process or of the customer would be passed; zero means no bound of the
// customer.
func (b *ByteLimiter) Reserve(c fleet.Customer, n, customerMax int64) error {
	if b.total.Add(n) > b.max {
		b.total.Add(-n)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"entry holds its limit of %d bytes", b.max).WithRetryAfter(retryAfter)
	}
	over := false
	b.customers.Update(c, func(v int64, _ bool) (int64, bool) {
		if over = customerMax > 0 && v+n > customerMax; over {
			return v, v > 0
		}
		return v + n, true
	})
	if over {
		b.total.Add(-n)
		return verdict.New(verdict.NotRun, verdict.CodeCustomerLimit,
			"customer holds its limit of %d bytes at this entry", customerMax).WithRetryAfter(retryAfter)
	}
	return nil
}

// Release returns bytes that Take counted.
func (b *ByteLimiter) Release(c fleet.Customer, n int64) {
	b.total.Add(-n)
	b.customers.Update(c, func(v int64, _ bool) (int64, bool) { return v - n, v > n })
}

// Total returns the bytes held by the process.
func (b *ByteLimiter) Total() int64 { return b.total.Load() }
