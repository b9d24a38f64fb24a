package origin

import (
	"context"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/standin/fault"
)

// link limits the total send rate in bytes per second. Callers are served in the
// order of their calls.
type link struct {
	rate int64

	mu   sync.Mutex
	next time.Time // end of the transmission of all reserved bytes
}

// wait waits until n bytes may be sent at the link's rate, or at the rate
// override if that is positive. It returns false if ctx is canceled first.
func (l *link) wait(ctx context.Context, n int, override int64) bool {
	rate := l.rate
	if override > 0 {
		rate = override
	}
	if rate <= 0 {
		return true
	}
	return fault.Sleep(ctx, l.reserve(n, rate))
}

func (l *link) reserve(n int, rate int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
	return l.next.Sub(now)
}
