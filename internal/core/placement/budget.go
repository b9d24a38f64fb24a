package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// RetryBudgets limits the retries of each service over a sliding window. All
// processes together may send ratio times the number of requests plus slack
// retries. Each process uses an equal part of the slack, so that the total is kept
// without coordination.
type RetryBudgets struct {
	ratio, slack float64
	window       time.Duration
	base         time.Time
	services     *shard.Map[fleet.Service, *windowCounts]
}

// windowBuckets is the number of buckets in a window. One more is kept, so that
// the counts cover at least a whole window.
const windowBuckets = 10

// windowCounts holds the counts of one service in a ring of buckets.
type windowCounts struct {
	newestBucket int64 // bucket number since base
	requests     [windowBuckets + 1]int
	retries      [windowBuckets + 1]int
}

// budgetFraction is the fraction of the allowed retries that is used. The rest is
// headroom for requests that are counted in a different window elsewhere.
const budgetFraction = 0.5

// NewRetryBudgets returns empty budgets. Buckets are numbered from base, which
// must be before any use.
func NewRetryBudgets(ratio, slack float64, window time.Duration, base time.Time) *RetryBudgets {
	return &RetryBudgets{ratio: ratio, slack: slack, window: window, base: base, services: shard.New[fleet.Service, *windowCounts](4)}
}

// RecordRequest counts the first attempt of a request.
func (b *RetryBudgets) RecordRequest(s fleet.Service, now time.Time) {
	b.updateCounts(s, now, func(w *windowCounts, i int) { w.requests[i]++ })
}

// AllowRetry reports whether the budget allows one more retry, and counts the retry
// if so.
func (b *RetryBudgets) AllowRetry(s fleet.Service, processes float64, now time.Time) bool {
	allowed := false
	b.updateCounts(s, now, func(w *windowCounts, i int) {
		requests, retries := 0, 0
		for k := range w.requests {
			requests += w.requests[k]
			retries += w.retries[k]
		}
		limit := budgetFraction * (b.ratio*float64(requests) + b.slack/max(processes, 1))
		if allowed = float64(retries+1) <= limit; allowed {
			w.retries[i]++
		}
	})
	return allowed
}

// updateCounts advances the window of a service to now and calls f with the index
// of the newest bucket.
func (b *RetryBudgets) updateCounts(s fleet.Service, now time.Time, f func(w *windowCounts, i int)) {
	n := int64(now.Sub(b.base) / max(1, b.window/windowBuckets))
	b.services.Update(s, func(w *windowCounts, ok bool) (*windowCounts, bool) {
		if !ok {
			w = &windowCounts{newestBucket: n}
		}
		for ; w.newestBucket < n && n-w.newestBucket <= windowBuckets; w.newestBucket++ {
			i := (w.newestBucket + 1) % (windowBuckets + 1)
			w.requests[i], w.retries[i] = 0, 0
		}
		if w.newestBucket < n {
			*w = windowCounts{newestBucket: n}
		}
		f(w, int(w.newestBucket%(windowBuckets+1)))
		return w, true
	})
}
