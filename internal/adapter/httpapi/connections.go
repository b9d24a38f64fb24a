package httpapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/masticwing/masticwing/internal/adapter/callerconns"
	"github.com/masticwing/masticwing/internal/adapter/closeguard"
	"github.com/masticwing/masticwing/internal/adapter/headerlimit"
	"github.com/masticwing/masticwing/internal/core/eviction"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// refusalShare is the part of the limit of connections that may be open beyond it, so that their callers get
// a response and switch to another entry.
const refusalShare = 10

// newConns returns connections whose idle timeout is that of the server.
func newConns() *callerconns.Conns { return callerconns.New(func() time.Duration { return 0 }) }

// connRefusalKey is the key of the error for all requests on a connection.
type connRefusalKey struct{}

// refuseConnections refuses all requests on connections that are open only to be refused.
func (a *API) refuseConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		if e, ok := hr.Context().Value(connRefusalKey{}).(*verdict.Error); ok {
			a.refuseAndClose(w, hr, &port.ServeRequest{ID: fleet.RequestID(uuid.NewString())}, e)
			return
		}
		next.ServeHTTP(w, hr)
	})
}

// connContext is the server's ConnContext hook. It limits the send buffer of the connection, and decides whether
// its requests are accepted.
func (a *API) connContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = t.SetWriteBuffer(socketBufferBytes)
	}
	ctx = closeguard.ConnContext(a.conns.ConnContext(ctx, c), c)
	limit := a.cfg.MaxConnections
	if limit <= 0 || a.conns.Open() < limit {
		return ctx
	}
	e := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many connections are open").WithRetryAfter(time.Second)
	admission := a.conns.Accept(limit, limit/refusalShare, e)
	a.metrics.Count("masticwing_entry_connections_refused_total", 1, port.Attr{Key: "outcome", Value: admission.String()})
	switch admission {
	case eviction.Closed:
		_ = c.Close()
	case eviction.Refused:
		return context.WithValue(ctx, connRefusalKey{}, e)
	}
	return ctx
}

// onConnState is the server's ConnState hook.
func (a *API) onConnState(c net.Conn, state http.ConnState) {
	headerlimit.OnStateChange(c, state)
	a.conns.OnStateChange(c, state)
	a.connTracker.onStateChange(c, state)
}

func (a *API) countEndedConnection(r callerconns.Reason, o callerconns.Outcome) {
	a.metrics.Count("masticwing_entry_idle_connections_ended_total", 1, port.Attr{Key: "reason", Value: string(r)}, port.Attr{Key: "outcome", Value: string(o)})
}

func (a *API) countLongHeader() { a.metrics.Count("masticwing_entry_long_headers_total", 1) }
