// Package callerconns keeps the connections of an HTTP server's callers: it closes idle ones after a timeout
// that may change while the server runs, counts the open ones, and gives one up when another caller needs its
// place.
package callerconns

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/eviction"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// Conns are the open connections of one server, which has no ReadTimeout.
type Conns struct {
	idleTimeout func() time.Duration
	states      *shard.Map[net.Conn, connState]
	// evictable holds how to give up each connection whose request has not arrived completely, or that has
	// none. cause is the error for the request.
	evictable *eviction.Queues[func(cause error)]
	open      atomic.Int64
	// Ended is called when a connection without a request was ended. It may be nil, and must not block.
	Ended func(Reason, Outcome)
	// closed receives after a connection has ended, if it is empty.
	closed chan struct{}
}

// connState is what has to end when a connection changes its use. Both may be nil.
type connState struct {
	// waiting is set while no request has arrived.
	waiting   *waiting
	evictable *eviction.Entry[func(cause error)]
}

// New returns the connections of a server. idleTimeout returns the current timeout; zero means none.
func New(idleTimeout func() time.Duration) *Conns {
	return &Conns{
		idleTimeout: idleTimeout, states: shard.New[net.Conn, connState](0), evictable: eviction.New[func(cause error)](),
		closed: make(chan struct{}, 1),
	}
}

// OnStateChange is the server's ConnState hook.
func (cs *Conns) OnStateChange(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		cs.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		cs.open.Add(-1)
		select {
		case cs.closed <- struct{}{}:
		default:
		}
	}
	// StateActive follows once the header of a request has been read.
	switch state {
	case http.StateNew, http.StateIdle:
		kind := eviction.Idle
		if state == http.StateNew {
			kind = eviction.Unfinished
		}
		w := newWaiting(c, cs.idleTimeout)
		cs.setState(c, connState{w, cs.addEvictable(kind, func(error) { w.end(Evicted) })}, true)
	default:
		cs.setState(c, connState{}, state == http.StateActive)
	}
}

func (cs *Conns) addEvictable(k eviction.Kind, evict func(cause error)) *eviction.Entry[func(cause error)] {
	return cs.evictable.Add(k, evict, time.Now())
}

// setState replaces the state of a connection, which is forgotten unless it stays open.
func (cs *Conns) setState(c net.Conn, next connState, open bool) {
	var previous connState
	cs.states.Update(c, func(s connState, _ bool) (connState, bool) {
		previous = s
		return next, open
	})
	cs.evictable.Remove(previous.evictable)
	if previous.waiting == nil {
		return
	}
	if reason := previous.waiting.over(open); reason != "" && cs.Ended != nil {
		outcome := Closed
		if open {
			outcome = Arrived
		}
		cs.Ended(reason, outcome)
	}
}

// Open returns the number of open connections.
func (cs *Conns) Open() int { return int(cs.open.Load()) }

// acceptWait is the longest time for which no connection is accepted while those that were given up end. The
// kernel keeps new ones meanwhile, so that callers who come back at once wait instead of being cut off.
const acceptWait = 250 * time.Millisecond

// Accept decides about a new connection, which is not counted yet. If limit connections are open, the one that
// is needed least is given up for it, and its request, if it has one, is refused with cause. Connections up to
// refusals beyond the limit may be open to be refused. Accept is called for one connection at a time.
func (cs *Conns) Accept(limit, refusals int, cause error) eviction.Admission {
	if cs.Open() < limit {
		return eviction.Admitted
	}
	madeRoom := cs.makeRoom(cause)
	switch {
	case !cs.awaitFewer(limit+refusals, acceptWait):
		return eviction.Closed
	case madeRoom:
		return eviction.AdmittedForAnother
	default:
		return eviction.Refused
	}
}

// awaitFewer waits until fewer than n connections are open, and returns false after a time.
func (cs *Conns) awaitFewer(n int, limit time.Duration) bool {
	if cs.Open() < n {
		return true
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for cs.Open() >= n {
		select {
		case <-cs.closed:
		case <-timer.C:
			return false
		}
	}
	return true
}

// makeRoom gives up the connection that is needed least. It returns false if all of them carry requests that
// have arrived, or have only just been opened. The connection may be open for some more milliseconds.
func (cs *Conns) makeRoom(cause error) bool {
	evict, ok := cs.evictable.Next(time.Now())
	if ok {
		evict(cause)
	}
	return ok
}

// contextKey is the key of the *Conn in the context of a connection's requests.
type contextKey struct{}

// ConnContext is the server's ConnContext hook. It makes the connection known to FromContext.
func (cs *Conns) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, &Conn{cs, c})
}

// Conn is the connection of a request. The nil Conn does nothing.
type Conn struct {
	conns *Conns
	conn  net.Conn
}

// FromContext returns the connection of a request, or nil if it is not known.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// BodyBegins states that the body of the request is being read. interrupt ends that for the benefit of another
// caller; it may be called once, until some time after BodyEnds, and must not block.
func (c *Conn) BodyBegins(interrupt func(cause error)) {
	if c != nil {
		c.conns.setState(c.conn, connState{evictable: c.conns.addEvictable(eviction.Unfinished, interrupt)}, true)
	}
}

// BodyEnds states that the body has been read.
func (c *Conn) BodyEnds() {
	if c != nil {
		c.conns.setState(c.conn, connState{}, true)
	}
}

// Refused states that the request was refused before it had arrived completely.
func (c *Conn) Refused() {
	if c != nil {
		evict := func(error) { _ = c.conn.Close() }
		c.conns.setState(c.conn, connState{evictable: c.conns.addEvictable(eviction.Answered, evict)}, true)
	}
}
