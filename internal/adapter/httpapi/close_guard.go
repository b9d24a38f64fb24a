package httpapi

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn is the server's ConnContext hook. It limits the send buffer of the connection
// and makes the connection known to newCloseGuard.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(socketBufferBytes)
		ctx = context.WithValue(ctx, connKey{}, t)
	}
	return ctx
}

// closeGuard makes an incomplete response end with a reset of its connection, also if the
// process is killed. A caller with HTTP/1.0 needs this: for it a closed connection is the
// end of the body. The chunked encoding of HTTP/1.1 marks the end itself, so the guard of
// such a caller is the zero value, which does nothing.
type closeGuard struct{ conn *net.TCPConn }

func newCloseGuard(hr *http.Request) closeGuard {
	if hr.ProtoAtLeast(1, 1) {
		return closeGuard{}
	}
	c, _ := hr.Context().Value(connKey{}).(*net.TCPConn)
	return closeGuard{c}
}

// active reports whether the guard needs begin and end.
func (g closeGuard) active() bool { return g.conn != nil }

// begin makes any close of the connection reset it.
func (g closeGuard) begin() error { return g.conn.SetLinger(0) }

// end makes a close of the connection regular. All data has to be in the socket's buffer.
func (g closeGuard) end() error { return g.conn.SetLinger(-1) }
