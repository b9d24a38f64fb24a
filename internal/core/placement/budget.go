package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/window"
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

// windowCounts holds the counts of one service.
type windowCounts struct {
	requests, retries window.Counter
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
	b.updateCounts(s, now, func(w *windowCounts, bucket int64) { w.requests.Add(bucket, 1) })
}

// AllowRetry reports whether the budget allows one more retry, and counts the retry
// if so.
func (b *RetryBudgets) AllowRetry(s fleet.Service, processes float64, now time.Time) bool {
	allowed := false
	b.updateCounts(s, now, func(w *windowCounts, bucket int64) {
		requests, retries := w.requests.Sum(bucket), w.retries.Sum(bucket)
		limit := budgetFraction * (b.ratio*float64(requests) + b.slack/max(processes, 1))
		if allowed = float64(retries+1) <= limit; allowed {
			w.retries.Add(bucket, 1)
		}
	})
	return allowed
}

// updateCounts calls f with the counts of a service and the number of the bucket that holds
// now, under the lock of the service's shard.
func (b *RetryBudgets) updateCounts(s fleet.Service, now time.Time, f func(w *windowCounts, bucket int64)) {
	bucket := window.Bucket(b.base, now, b.window)
	b.services.Update(s, func(w *windowCounts, ok bool) (*windowCounts, bool) {
		if !ok {
			w = &windowCounts{}
		}
		f(w, bucket)
		return w, true
	})
}
