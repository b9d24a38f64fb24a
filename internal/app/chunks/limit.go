package chunks

import (
	"sync"
	"time"
)

const (
	// slowTransfer is the time of a transfer, from its first byte to its last, from
	// which the link may be narrower than it is declared. On an idle link a chunk
	// takes 35 ms, and with all others of a member at once 0.8 s.
	slowTransfer = 250 * time.Millisecond
	// slowShare is the part of the declared rate below which a link with slow
	// transfers counts as narrow.
	slowShare = 0.4
	// leastParallel is the number of transfers on a narrow link. More of them delay
	// the requests and events of the engine.
	leastParallel = 1
	// rateWindow is the time over which the rate of a link is measured.
	rateWindow = 500 * time.Millisecond
)

// limit bounds the fetches in progress. It falls when the link is narrow, and
// rises again one by one. One goroutine takes places; any may give them back.
type limit struct {
	most int

	mu      sync.Mutex // guards the following
	allowed int
	used    int
	// since is the start of the window in which bytes arrived.
	since time.Time
	bytes int
}

func newLimit(most int) *limit { return &limit{most: most, allowed: most} }

// free reports whether there is a place.
func (l *limit) free() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used < l.allowed
}

func (l *limit) take() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used++
}

func (l *limit) give() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
}

// arrived records a chunk that took a time from its first byte to its last. rate
// is the declared one in bytes per second; 0 means that it is not known.
func (l *limit) arrived(n int, took time.Duration, rate int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) > 2*rateWindow {
		l.since, l.bytes = now, 0
		return
	}
	l.bytes += n
	window := now.Sub(l.since)
	if took < slowTransfer || rate <= 0 {
		l.allowed = min(l.most, l.allowed+1)
		return
	}
	if window >= rateWindow {
		if float64(l.bytes) < slowShare*float64(rate)*window.Seconds() {
			l.allowed = max(leastParallel, l.allowed/2)
		}
		l.since, l.bytes = now, 0
	}
}
