package ledger

import (
	"sync"
	"time"
)

// WriteLimiter limits the rate of a process's writes. After a pause it allows a
// burst of one second's worth of writes.
type WriteLimiter struct {
	mu       sync.Mutex // guards all fields
	interval time.Duration
	burst    time.Duration
	next     time.Time // due time of the next write; it may lie in the past
}

// NewWriteLimiter returns a limiter for the given number of writes per second.
func NewWriteLimiter(perSecond float64) *WriteLimiter {
	l := &WriteLimiter{}
	l.SetRate(perSecond)
	return l
}

// SetRate changes the number of writes per second.
func (l *WriteLimiter) SetRate(perSecond float64) {
	spacing := time.Duration(float64(time.Second) / perSecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interval, l.burst = spacing, max(time.Second-spacing, 0)
}

// Reserve reserves the next write and returns how long to wait before it.
func (l *WriteLimiter) Reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if earliest := now.Add(-l.burst); l.next.Before(earliest) {
		l.next = earliest
	}
	due := l.next
	l.next = l.next.Add(l.interval)
	return max(due.Sub(now), 0)
}

// SpareWrites returns how many writes could start now without a wait while half
// of the burst stays reserved for calls.
func (l *WriteLimiter) SpareWrites(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.next
	if earliest := now.Add(-l.burst); next.Before(earliest) {
		next = earliest
	}
	slack := now.Sub(next) - l.burst/2
	if slack < 0 {
		return 0
	}
	return int(slack/l.interval) + 1
}
