// Package boundedhttp bounds what HTTP clients accept in a response, so that a peer
// that sends without end fills neither the memory nor the time of a process.
package boundedhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// MaxHeaderBytes bounds the status line and header of a response, together with its
// interim (1xx) responses. net/http accepts 10 MiB by default; with a few responses
// at a time that is most of the 152 MB of a side machine.
const MaxHeaderBytes = 64 << 10

// NewTransport returns a transport that opens connections with dial and bounds
// response headers. All transports of the product are created here.
func NewTransport(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, MaxResponseHeaderBytes: MaxHeaderBytes}
}

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
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed
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
