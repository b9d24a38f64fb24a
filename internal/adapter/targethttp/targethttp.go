// Package targethttp holds what the HTTP clients of engines and services share:
// the connections, and the verdict of a request that got no answer.
package targethttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

const (
	dialTimeout = time.Second
	// idleConns is the number of idle connections kept; it covers the requests
	// of a usual target.
	idleConns = 64
)

// dialError marks a failure before anything was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// NewTransport returns a transport to one target. SendError recognises its
// failures to connect.
func NewTransport() *http.Transport {
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		MaxIdleConnsPerHost: idleConns,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, dialError{err}
			}
			return c, nil
		},
	}
}

// SendError returns the error of a request that the target, such as "engine",
// did not answer or not to the end. code is that of a lost connection. The
// request did not run only if there was no connection to send it on.
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
