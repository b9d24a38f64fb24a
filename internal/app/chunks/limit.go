package chunks

import (
	"sync"
	"time"
)

const (
	// slowTransferTime is the transfer time, first byte to last, from which the
	// link may be slower than declared. A chunk takes 35 ms on an idle link, and
	// 0.8 s while it shares the link with all other chunks of a member.
	slowTransferTime = 250 * time.Millisecond
	// slowRateFraction is the fraction of the declared rate below which a link with
	// slow transfers counts as slow.
	slowRateFraction = 0.4
	// minParallel is the number of parallel transfers on a slow link. More would
	// delay the engine's requests and events.
	minParallel = 1
	// rateWindow is the minimum time over which the rate of a link is measured.
	rateWindow = 500 * time.Millisecond
)

// limiter bounds the fetches in flight. It halves its limit while the link is slow
// and then raises it by one per transfer. Only one goroutine calls acquire; any
// goroutine may call release.
type limiter struct {
	maxAllowed int

	mu       sync.Mutex // guards the following
	allowed  int
	inFlight int
	// windowStart is the start of the window in which windowBytes arrived.
	windowStart time.Time
	windowBytes int
}

func newLimiter(maxAllowed int) *limiter {
	return &limiter{maxAllowed: maxAllowed, allowed: maxAllowed}
}

// available reports whether another fetch may start.
func (l *limiter) available() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight < l.allowed
}

func (l *limiter) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// recordTransfer records a chunk of n bytes, received within took from the first
// byte to the last. rate is the declared rate of the link in bytes per second, or
// 0 if unknown.
func (l *limiter) recordTransfer(n int, took time.Duration, rate int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) > 2*rateWindow {
		l.windowStart, l.windowBytes = now, 0
		return
	}
	l.windowBytes += n
	elapsed := now.Sub(l.windowStart)
	if took < slowTransferTime || rate <= 0 {
		l.allowed = min(l.maxAllowed, l.allowed+1)
		return
	}
	if elapsed >= rateWindow {
		if float64(l.windowBytes) < slowRateFraction*float64(rate)*elapsed.Seconds() {
			l.allowed = max(minParallel, l.allowed/2)
		}
		l.windowStart, l.windowBytes = now, 0
	}
}
