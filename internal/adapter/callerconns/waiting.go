package callerconns

import (
	"net"
	"sync"
	"time"
)

// Reason is why a connection without a request is ended.
type Reason string

// Reasons.
const (
	// Idle means that no request has arrived for the idle timeout.
	Idle Reason = "idle"
	// Evicted means that another caller needs the place.
	Evicted Reason = "evicted"
)

// Outcome is what came of a connection that is ended.
type Outcome string

// Outcomes.
const (
	// Closed means that the connection was closed.
	Closed Outcome = "closed"
	// Arrived means that a request began to arrive before. It is served.
	Arrived Outcome = "arrived"
)

// endInterval is the time after which the reads of a connection are ended again: net/http sets a deadline of its own
// when it begins to wait for a request, which may undo the first time.
const endInterval = 50 * time.Millisecond

// waiting is the time in which a connection waits for a request. Ending it ends the reads of the connection and does
// not close it: a request that has been read is then served, whereas one that has not been read gets a closed
// connection from net/http, which tells its caller that it has not run.
type waiting struct {
	conn  net.Conn
	began time.Time
	limit func() time.Duration

	mu sync.Mutex // guards the fields below
	// timer is nil while nothing is to happen.
	timer *time.Timer
	// reason is set once the reads have been ended.
	reason Reason
	// isOver is set once a request has arrived or the connection is closed.
	isOver bool
}

// newWaiting returns the wait of a connection that begins now. limit returns the current idle timeout, which may
// change meanwhile; zero means none.
func newWaiting(c net.Conn, limit func() time.Duration) *waiting {
	w := &waiting{conn: c, began: time.Now(), limit: limit}
	if d := limit(); d > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(d, w.checkLimit)
	}
	return w
}

// checkLimit ends the wait if it has lasted for the idle timeout, which may be another one than at its begin.
func (w *waiting) checkLimit() {
	d := w.limit()
	left := d - time.Since(w.began)
	if d > 0 && left <= 0 {
		w.end(Idle)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d > 0 && !w.isOver && w.reason == "" {
		w.timer.Reset(left)
	}
}

// end ends the reads of the connection until the wait is over.
func (w *waiting) end(reason Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isOver {
		return
	}
	if w.reason == "" {
		w.reason = reason
	}
	// A deadline does not end a read that has got data.
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(endInterval, func() { w.end(reason) })
}

// over states that a request has arrived, or that the connection is closed, and returns why the wait was ended, if
// it was. The reads of a connection that stays open go on.
func (w *waiting) over(open bool) Reason {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isOver = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.reason != "" && open {
		// net/http has no deadline here: the server has no ReadTimeout.
		_ = w.conn.SetReadDeadline(time.Time{})
	}
	return w.reason
}
