package chunks

import (
	"io"
	"math"
	"sync"
	"time"
)

const (
	// slowTransferTime is the transfer time, first byte to last, from which the rate of the
	// link decides. A chunk takes 35 ms on an idle link, and 0.8 s while it shares the link with
	// all other chunks of a member.
	slowTransferTime = 250 * time.Millisecond
	// maxLinkDelay is the time for which the chunks in flight may fill the link. Requests to the
	// engine arrive behind them, and so do cancellations, which must arrive within 0.5 s.
	maxLinkDelay = 250 * time.Millisecond
)

// limiter bounds the fetches in flight. Only one goroutine calls acquire; any goroutine may
// call release.
type limiter struct {
	allowed func() int

	mu       sync.Mutex // guards the following
	inFlight int
}

// newLimiter returns a limiter of as many fetches as allowed returns.
func newLimiter(allowed func() int) *limiter { return &limiter{allowed: allowed} }

// available reports whether another fetch may start.
func (l *limiter) available() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight < l.allowed()
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

// linkLimit decides how many chunks are received at a time over a link, from the rate at which
// it delivers them: the declared rate says nothing about a link that is disturbed. It serves the
// case that a link is shared with small messages that must not wait.
type linkLimit struct {
	max int

	mu  sync.Mutex // guards the following
	now int        // the chunks allowed at a time
	// received is the number of bytes received in all transfers, complete or not.
	received int64
}

// newLinkLimit returns the limit of a link, at first one chunk at a time.
func newLinkLimit(maxAllowed int) *linkLimit { return &linkLimit{max: maxAllowed, now: 1} }

// restart allows only one chunk at a time until the link has delivered it: the rate may have
// changed since the last transfer.
func (l *linkLimit) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = 1
}

// allowed returns the number of chunks that may be received at a time, from 1 to the maximum.
func (l *linkLimit) allowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now
}

// transfer is a transfer over the link, from the first byte to the last. It is an io.Reader of
// its data.
type transfer struct {
	link  *linkLimit
	r     io.Reader
	start time.Time
	// receivedBefore is linkLimit.received at the start.
	receivedBefore int64
}

// startTransfer records that the data that r returns begins to arrive.
func (l *linkLimit) startTransfer(r io.Reader, now time.Time) *transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &transfer{link: l, r: r, start: now, receivedBefore: l.received}
}

// Read implements io.Reader.
func (t *transfer) Read(b []byte) (int, error) {
	n, err := t.r.Read(b)
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	t.link.received += int64(n)
	return n, err
}

// end records that the transfer of a chunk of some bytes is complete or was given up. A fast one
// allows one more at a time. After a slow one, as many are allowed as the link has delivered in
// maxLinkDelay on average since the start of the transfer.
func (t *transfer) end(isComplete bool, chunkBytes int64, now time.Time) {
	l, took := t.link, now.Sub(t.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	if took < slowTransferTime {
		if isComplete {
			l.now = min(l.max, l.now+1)
		}
		return
	}
	delivered := float64(l.received-t.receivedBefore) * maxLinkDelay.Seconds() / took.Seconds()
	l.now = int(min(max(1, math.Ceil(delivered/float64(max(chunkBytes, 1)))), float64(l.max)))
}
