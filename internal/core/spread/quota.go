package spread

import (
	"sync"
	"time"
)

// Bounds of the backoff after a failed fetch from the origin, which doubles with
// each failure.
const (
	minOriginBackoff = 250 * time.Millisecond
	maxOriginBackoff = 4 * time.Second
)

// minExtensionDelay is the time without any new chunk after which a gateway with an
// exhausted quota may fetch one more chunk from the origin. Corrupted or interrupted
// transfers and lost gateways can exhaust all quotas of a region, which without an
// extension would never complete the version.
const minExtensionDelay = 30 * time.Second

// OriginQuota tracks how many bytes of one version an agent may still fetch from the
// origin, and when. The lock guards all fields.
type OriginQuota struct {
	mu           sync.Mutex
	set          bool
	remaining    int64
	backoff      time.Duration
	retryAt      time.Time
	averageFetch time.Duration
	extendedAt   time.Time
}

// Set sets the quota in bytes. Only the first call has an effect.
func (q *OriginQuota) Set(bytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.set {
		q.set, q.remaining = true, bytes
	}
}

// IsSet reports whether Set was called.
func (q *OriginQuota) IsSet() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set
}

// CanFetch reports whether a chunk of n bytes may be fetched now.
func (q *OriginQuota) CanFetch(now time.Time, n int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remaining >= n && !now.Before(q.retryAt)
}

// Exhausted reports whether less than n bytes remain.
func (q *OriginQuota) Exhausted(n int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remaining < n
}

// Extend sets an exhausted quota to n bytes if no new chunk arrived for longer than
// delay. It does so at most once per delay: if the extra chunk arrives corrupted,
// the agent is still stalled and the next extension must wait again.
func (q *OriginQuota) Extend(n int64, now time.Time, stalledFor, delay time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.set && q.remaining < n && stalledFor > delay && now.Sub(q.extendedAt) > delay {
		q.remaining, q.extendedAt = n, now
	}
}

// Reserve subtracts n bytes before a fetch starts.
func (q *OriginQuota) Reserve(n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remaining -= n
}

// FetchDone records a successful fetch that took d and returns the unused bytes to
// the quota.
func (q *OriginQuota) FetchDone(unused int64, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remaining += unused
	q.backoff = 0
	if q.averageFetch == 0 {
		q.averageFetch = d
	}
	q.averageFetch = (3*q.averageFetch + d) / 4
}

// FetchFailed records a failed fetch, returns the unused bytes to the quota and
// delays the next fetch.
func (q *OriginQuota) FetchFailed(unused int64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remaining += unused
	q.backoff = min(maxOriginBackoff, max(minOriginBackoff, 2*q.backoff))
	q.retryAt = now.Add(q.backoff)
}

// AverageFetchTime returns the moving average of the time of a fetch, or zero before
// the first successful one.
func (q *OriginQuota) AverageFetchTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.averageFetch
}
