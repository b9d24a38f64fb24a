// Package boundedhttp bounds what HTTP clients accept in a response, so that a peer
// that sends without end fills neither the memory nor the time of a process.
package boundedhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/response"
)

// MaxHeaderBytes bounds the status line and header of a response, together with its
// interim (1xx) responses. net/http accepts 10 MiB by default; with a few responses
// at a time that is most of the 152 MB of a side machine.
const MaxHeaderBytes = 64 << 10

// NewTransport returns a transport that opens connections with dial, bounds response
// headers, and fails with ErrTwoHeads instead of joining two heads. All transports of the product are created here. It requests no
// compression: net/http takes a compressed body that ends before its first byte for an
// empty one, also if only the end of the connection ends the response.
func NewTransport(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	dialChecked := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: c}, nil
	}
	return &http.Transport{DialContext: dialChecked, MaxResponseHeaderBytes: MaxHeaderBytes, DisableCompression: true}
}

// ErrTwoHeads means that the head of a response contains the start of another one.
var ErrTwoHeads = errors.New("head of a response contains the status line of another one")

// headConn is a connection that fails if the head of a response contains the start of another
// one, which net/http accepts.
type headConn struct {
	net.Conn
	// wrote is set after each write: a response follows a request.
	wrote   atomic.Bool
	scanner response.HeadScanner
	failed  bool
}

// Write implements net.Conn.
func (c *headConn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *headConn) Read(b []byte) (int, error) {
	if c.failed {
		return 0, ErrTwoHeads
	}
	n, err := c.Conn.Read(b)
	if c.wrote.Swap(false) {
		c.scanner = response.HeadScanner{}
	}
	if c.scanner.Push(b[:n]) {
		c.failed = true
		return 0, ErrTwoHeads
	}
	return n, err
}

// StatusIsValid reports whether a final response may have a status. net/http reads others, such as "000" and
// "999", and its server panics when it is to send one below 100.
func StatusIsValid(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// maxStatus is the highest status of a response.
const maxStatus = 599

// ErrTooLong means that a response body is longer than its bound.
var ErrTooLong = errors.New("response body is too long")

// ReadAll returns all bytes of a response body. If there are more than limit, it
// returns ErrTooLong. It never returns a part of the body.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading response body")
	}
	if int64(len(b)) > limit {
		return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
	}
	return b, nil
}

// EndsWithConnection reports whether only the end of its connection ends the body of
// a response. Such a body may be cut without an error.
func EndsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// ReadStart returns at most limit bytes from the start of a response body, and less
// if they do not arrive within timeout, after which the body is closed. The result
// may be a part of the body.
func ReadStart(body io.ReadCloser, limit int64, timeout time.Duration) []byte {
	timer := time.AfterFunc(timeout, func() { _ = body.Close() })
	defer timer.Stop()
	b, _ := io.ReadAll(io.LimitReader(body, limit))
	return b
}
