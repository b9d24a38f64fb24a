// Package closeguard makes incomplete responses of an HTTP server recognizable to callers with
// HTTP/1.0, for which a closed connection is the end of the body.
package closeguard

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// lingerer is a TCP connection. See net.TCPConn.SetLinger.
type lingerer interface{ SetLinger(sec int) error }

// ConnContext is the server's ConnContext hook. It makes the connection known to New.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(lingerer); ok {
		ctx = context.WithValue(ctx, connKey{}, t)
	}
	return ctx
}

// Guard makes an incomplete response end with a reset of its connection, also if the
// process is killed. A caller with HTTP/1.0 needs this: for it a closed connection is the
// end of the body. The chunked encoding of HTTP/1.1 marks the end itself, so the guard of
// such a caller is the zero value, which does nothing.
type Guard struct{ conn lingerer }

// New returns the guard of the response to hr.
func New(hr *http.Request) Guard {
	if hr.ProtoAtLeast(1, 1) {
		return Guard{}
	}
	c, _ := hr.Context().Value(connKey{}).(lingerer)
	return Guard{c}
}

// Active reports whether the guard needs Begin and End.
func (g Guard) Active() bool { return g.conn != nil }

// Begin makes any close of the connection reset it.
func (g Guard) Begin() error { return g.conn.SetLinger(0) }

// End makes a close of the connection regular. All data has to be in the socket's buffer.
func (g Guard) End() error { return g.conn.SetLinger(-1) }
