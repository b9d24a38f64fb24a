package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// RetryBudgets limit the requests that are sent a second time, per service, over a
// sliding window. All processes together may send ratio times the requests plus
// a slack; each uses an equal part of the slack, so that the sum holds although
// they do not know of each other.
type RetryBudgets struct {
	ratio, slack float64
	window       time.Duration
	base         time.Time
	services     *shard.Map[fleet.Service, *windowCounts]
}

// windowBuckets is the number of parts of the window. One more is kept, so that the
// count covers at least a whole window.
const windowBuckets = 10

type windowCounts struct {
	newestBucket int64 // number of the newest bucket
	requests     [windowBuckets + 1]int
	retries      [windowBuckets + 1]int
}

// budgetFraction is the part of the allowed repeats that is used. The rest covers
// requests that are counted in another window than here.
const budgetFraction = 0.5

// NewRetryBudgets returns budgets without requests. base is a time before any use.
func NewRetryBudgets(ratio, slack float64, window time.Duration, base time.Time) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, slack: slack, window: window, base: base, services: shard.New[fleet.Service, *windowCounts](4)}
}

// RecordRequest records a request that is sent for the first time.
func (b *RetryBudgets) RecordRequest(s fleet.Service, now time.Time) {
	b.updateCounts(s, now, func(u *windowCounts, i int) { u.requests[i]++ })
}

// AllowRetry takes one repeat and reports whether the budget allows it.
func (b *RetryBudgets) AllowRetry(s fleet.Service, processes float64, now time.Time) bool {
	allowed := false
	b.updateCounts(s, now, func(u *windowCounts, i int) {
		first, repeats := 0, 0
		for k := range u.requests {
			first += u.requests[k]
			repeats += u.retries[k]
		}
		limit := budgetFraction * (b.ratio*float64(first) + b.slack/max(processes, 1))
		if allowed = float64(repeats+1) <= limit; allowed {
			u.retries[i]++
		}
	})
	return allowed
}

func (b *RetryBudgets) updateCounts(s fleet.Service, now time.Time, f func(u *windowCounts, i int)) {
	n := int64(now.Sub(b.base) / max(1, b.window/windowBuckets))
	b.services.Update(s, func(u *windowCounts, ok bool) (*windowCounts, bool) {
		if !ok {
			u = &windowCounts{newestBucket: n}
		}
		for ; u.newestBucket < n && n-u.newestBucket <= windowBuckets; u.newestBucket++ {
			i := (u.newestBucket + 1) % (windowBuckets + 1)
			u.requests[i], u.retries[i] = 0, 0
		}
		if u.newestBucket < n {
			*u = windowCounts{newestBucket: n}
		}
		f(u, int(u.newestBucket%(windowBuckets+1)))
		return u, true
	})
}
