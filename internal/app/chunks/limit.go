package chunks

import (
	"io"
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
	// minParallel is the number of parallel transfers on a slow link, and at first. More
	// would delay the engine's requests and events.
	minParallel = 1
	// reduceInterval is the minimum time between two reductions of the limit, so that the
	// transfers that were in flight together count once.
	reduceInterval = 500 * time.Millisecond
)

// limiter bounds the fetches in flight. It halves its limit while the link is slow
// and raises it by one with each fast transfer. Only one goroutine calls acquire; any
// goroutine may call the other methods.
type limiter struct {
	maxAllowed int

	mu       sync.Mutex // guards the following
	allowed  int
	inFlight int
	// received is the number of bytes received in all transfers.
	received int64
	// reducedAt is the time at which the limit was last reduced.
	reducedAt time.Time
}

// newLimiter returns a limiter that allows maxAllowed fetches.
func newLimiter(maxAllowed int) *limiter {
	return &limiter{maxAllowed: maxAllowed, allowed: maxAllowed}
}

// newTransferLimiter returns a limiter of transfers over a link whose rate is not known yet.
func newTransferLimiter(maxAllowed int) *limiter {
	return &limiter{maxAllowed: maxAllowed, allowed: min(minParallel, maxAllowed)}
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

// transfer is a transfer over the link, from the first byte to the last. It is an io.Reader of
// its data.
type transfer struct {
	l     *limiter
	r     io.Reader
	start time.Time
	// receivedBefore is limiter.received at the start.
	receivedBefore int64
}

// startTransfer records that the data that r returns begins to arrive.
func (l *limiter) startTransfer(r io.Reader, now time.Time) *transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &transfer{l: l, r: r, start: now, receivedBefore: l.received}
}

// Read implements io.Reader.
func (t *transfer) Read(b []byte) (int, error) {
	n, err := t.r.Read(b)
	t.l.mu.Lock()
	defer t.l.mu.Unlock()
	t.l.received += int64(n)
	return n, err
}

// end records that the transfer is complete or was given up. rate is the declared rate of the
// link in bytes per second, or 0 if unknown. The link is slow if all transfers together have
// received little meanwhile.
func (t *transfer) end(isComplete bool, rate int64, now time.Time) {
	l, took := t.l, now.Sub(t.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case took < slowTransferTime || rate <= 0:
		if isComplete {
			l.allowed = min(l.maxAllowed, l.allowed+1)
		}
	case float64(l.received-t.receivedBefore) < slowRateFraction*float64(rate)*took.Seconds() &&
		now.Sub(l.reducedAt) >= reduceInterval:
		l.allowed, l.reducedAt = max(minParallel, l.allowed/2), now
	}
}
