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

// connTracker tracks the open connections of callers. At a graceful shutdown it
// closes the idle ones: it sends a final response with the verdict not-run and
// closes only the sending side. A request that arrives at the same time is still
// read, so the kernel does not reset the connection and the caller receives the
// response.
type connTracker struct {
	states  *shard.Map[net.Conn, connState]
	closing atomic.Bool
	// closed receives a value when a connection closes. It holds one value, so that a reader
	// has to look at states after each.
	closed chan struct{}
}

type connState struct {
	// idle is true while no request is in progress.
	idle bool
	// finalResponseSent is true from the start of the write of the final response.
	finalResponseSent bool
}

func newConnTracker() *connTracker {
	return &connTracker{states: shard.New[net.Conn, connState](0), closed: make(chan struct{}, 1)}
}

// onStateChange is the server's ConnState hook.
func (ct *connTracker) onStateChange(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		ct.states.Delete(c)
		select {
		case ct.closed <- struct{}{}:
		default:
		}
		return
	}
	idle := state == http.StateNew || state == http.StateIdle
	ct.states.Update(c, func(v connState, _ bool) (connState, bool) {
		v.idle = idle
		return v, true
	})
	// The state is set before closing is read, and closeIdle sets closing before
	// it reads the states, so at least one of the two finds the connection idle.
	if idle && ct.closing.Load() {
		ct.sendFinalResponse(c, time.Now().Add(lingerTime))
	}
}

// closeIdle sends the final response on idle connections, and from now on on each
// connection that becomes idle.
func (ct *connTracker) closeIdle() {
	ct.closing.Store(true)
	var idle []net.Conn
	ct.states.Range(func(c net.Conn, v connState) bool {
		if v.idle {
			idle = append(idle, c)
		}
		return true
	})
	writeDeadline := time.Now().Add(lingerTime)
	for _, c := range idle {
		ct.sendFinalResponse(c, writeDeadline)
	}
}

// sendFinalResponse sends the final response on an idle connection and closes its
// sending side. The write rarely blocks, since the caller has received all earlier
// responses.
func (ct *connTracker) sendFinalResponse(c net.Conn, writeDeadline time.Time) {
	first := false
	ct.states.Update(c, func(v connState, ok bool) (connState, bool) {
		first = ok && v.idle && !v.finalResponseSent
		v.finalResponseSent = v.finalResponseSent || first
		return v, ok
	})
	if !first {
		return
	}
	_ = c.SetWriteDeadline(writeDeadline)
	_, _ = c.Write(finalResponse())
	if t, ok := c.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
}

// awaitClosed returns once no connection is open, or when ctx ends.
func (ct *connTracker) awaitClosed(ctx context.Context) {
	for ct.states.Len() > 0 {
		select {
		case <-ct.closed:
		case <-ctx.Done():
			return
		}
	}
}

// finalResponse returns the encoded response that is sent on an idle connection
// before it is closed. Its status is 408, which a server may send without a
// request; clients treat it as the close of an idle connection.
func finalResponse() []byte {
	e, id := shuttingDownError(), fleet.RequestID(uuid.NewString())
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
