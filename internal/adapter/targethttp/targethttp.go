// Package targethttp has the code that the HTTP clients of engines and services
// share: the transport, and the verdict of a request that failed without a response.
package targethttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/boundedhttp"
	"github.com/masticwing/masticwing/internal/adapter/tcpreset"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

const (
	dialTimeout = time.Second
	// maxIdleConns limits the idle connections that are kept. It covers the
	// concurrent requests of a typical target.
	maxIdleConns = 64
)

// dialError is a failure to connect: nothing of the request was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// NewTransport returns a transport for one target. SendError distinguishes its
// failures to connect from other failures.
func NewTransport() *http.Transport {
	return newTransport(func(net.Conn) {})
}

// newTransport returns a transport for one target. It calls onOpen for each new connection.
func newTransport(onOpen func(net.Conn)) *http.Transport {
	d := net.Dialer{Timeout: dialTimeout}
	t := boundedhttp.NewTransport(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, dialError{err}
		}
		onOpen(c)
		return c, nil
	})
	t.MaxIdleConnsPerHost = maxIdleConns
	return t
}

// NewSingleUseTransport returns a transport like NewTransport that opens a connection for
// each request. net/http closes an idle connection on which bytes arrive, but takes those
// that arrive once the next request was sent for its response.
//
// The close resets the connection. It follows a complete response, or the request is given up.
func NewSingleUseTransport() *http.Transport {
	t := newTransport(tcpreset.OnClose)
	t.DisableKeepAlives = true
	return t
}

// SendError returns the error of a request that failed with err before a complete
// response was received. target is a word for messages, such as "engine"; code is
// used for failures to connect and lost connections. The verdict is not-run only if
// the connection could not be opened.
func SendError(ctx context.Context, err error, target string, code verdict.Code) *verdict.Error {
	var d dialError
	switch {
	case errors.As(err, &d):
		return verdict.Wrap(err, verdict.NotRun, code, "cannot connect to the %s", target)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "deadline passed at the %s", target)
	case ctx.Err() != nil:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "request canceled")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, code, "connection to the %s lost", target)
	}
}
