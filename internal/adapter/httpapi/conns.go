package httpapi

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// conns is the set of the callers' open connections. At a planned stop it ends
// those on which no request is in progress: each gets an answer that says that
// nothing more runs, and only the sending side is closed. A request that
// crosses this answer is still read, so the kernel does not reset the
// connection and its caller finds the answer.
type conns struct {
	set     *shard.Map[net.Conn, conn]
	closing atomic.Bool
	// left receives a value when a connection closes after closing was set.
	left chan struct{}
}

type conn struct {
	// idle is true while no request is in progress.
	idle bool
	// answered is true once the last answer is being written.
	answered bool
}

func newConns() *conns {
	return &conns{set: shard.New[net.Conn, conn](0), left: make(chan struct{}, 1)}
}

// follow is the server's ConnState hook.
func (s *conns) follow(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.set.Delete(c)
		if s.closing.Load() {
			select {
			case s.left <- struct{}{}:
			default:
			}
		}
		return
	}
	idle := state == http.StateNew || state == http.StateIdle
	s.set.Update(c, func(v conn, _ bool) (conn, bool) {
		v.idle = idle
		return v, true
	})
	// The state is set before closing is read, and closeIdle sets closing
	// before it reads the states, so that one of the two meets the connection.
	if idle && s.closing.Load() {
		s.closeWithAnswer(c, time.Now().Add(lingerTime))
	}
}

func (s *conns) idle() int {
	n := 0
	s.set.Range(func(_ net.Conn, v conn) bool {
		if v.idle {
			n++
		}
		return true
	})
	return n
}

// closeIdle ends the idle connections, and from now on each that becomes
// idle.
func (s *conns) closeIdle() {
	s.closing.Store(true)
	var idle []net.Conn
	s.set.Range(func(c net.Conn, v conn) bool {
		if v.idle {
			idle = append(idle, c)
		}
		return true
	})
	until := time.Now().Add(lingerTime)
	for _, c := range idle {
		s.closeWithAnswer(c, until)
	}
}

// closeWithAnswer sends the last answer of an idle connection. The write usually takes
// no time, since the caller has taken all answers before; until bounds it.
func (s *conns) closeWithAnswer(c net.Conn, until time.Time) {
	first := false
	s.set.Update(c, func(v conn, ok bool) (conn, bool) {
		first = ok && v.idle && !v.answered
		v.answered = v.answered || first
		return v, ok
	})
	if !first {
		return
	}
	_ = c.SetWriteDeadline(until)
	_, _ = c.Write(lastAnswer())
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// wait returns once no connection is open, or when ctx ends.
func (s *conns) wait(ctx context.Context) {
	for s.set.Len() > 0 {
		select {
		case <-s.left:
		case <-ctx.Done():
			return
		}
	}
}

// lastAnswer is the whole answer that ends an idle connection. HTTP has the
// status 408 for an answer without a request; clients take it for a connection
// that the server closes while it is idle.
func lastAnswer() []byte {
	e, id := shuttingDown(), fleet.RequestID(uuid.NewString())
	body := errorJSON(e, id)
	res := http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	errorHeaders(res.Header, e, id)
	var b bytes.Buffer
	_ = res.Write(&b)
	return b.Bytes()
}
