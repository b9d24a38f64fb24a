package schedule

import (
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// ByteLimiter limits the bytes of memory held for callers, in the process and per
// customer.
type ByteLimiter struct {
	max       int64
	total     atomic.Int64
	customers *shard.Map[fleet.Customer, int64]
}

// NewByteLimiter returns a limiter with a limit for the whole process.
func NewByteLimiter(limit int64) *ByteLimiter {
	return &ByteLimiter{max: limit, customers: shard.New[fleet.Customer, int64](0)}
}

// Reserve reserves n bytes. If this would exceed the limit of the process or of the
// customer, it returns an error and reserves nothing. A customerLimit of zero means
// no limit for the customer.
func (b *ByteLimiter) Reserve(c fleet.Customer, n, customerLimit int64) error {
	if b.total.Add(n) > b.max {
		b.total.Add(-n)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"entry holds its limit of %d bytes", b.max).WithRetryAfter(retryAfter)
	}
	exceeded := false
	b.customers.Update(c, func(v int64, _ bool) (int64, bool) {
		if exceeded = customerLimit > 0 && v+n > customerLimit; exceeded {
			return v, v > 0
		}
		return v + n, true
	})
	if exceeded {
		b.total.Add(-n)
		return verdict.New(verdict.NotRun, verdict.CodeCustomerLimit,
			"customer holds its limit of %d bytes at this entry", customerLimit).WithRetryAfter(retryAfter)
	}
	return nil
}

// Release returns bytes that were reserved.
func (b *ByteLimiter) Release(c fleet.Customer, n int64) {
	b.total.Add(-n)
	b.customers.Update(c, func(v int64, _ bool) (int64, bool) { return v - n, v > n })
}

// Total returns the number of reserved bytes in the process.
func (b *ByteLimiter) Total() int64 { return b.total.Load() }
