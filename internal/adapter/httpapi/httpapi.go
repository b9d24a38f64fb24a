// Package httpapi serves callers over HTTP. It decodes and limits requests, passes
// them to a port.EntryHandler, and copies answers with back pressure: it reads the next frame
// of an answer only after the previous one was written to the caller.
package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/callerconns"
	"github.com/masticwing/masticwing/internal/adapter/closeguard"
	"github.com/masticwing/masticwing/internal/adapter/headerlimit"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// Config holds the limits of the interface.
type Config struct {
	// Memory limits the bytes held for all callers.
	Memory int64
	// MaxBody limits the body of one request, in bytes.
	MaxBody int64
	// MaxConnections limits the open connections of callers. Zero means no limit.
	MaxConnections int
}

const (
	readHeaderTimeout = 5 * time.Second
	bodyTimeout       = 30 * time.Second
	idleTimeout       = time.Minute
	// maxHeaderBytes limits the request line, and the fields of a header together. headerlimit enforces it: net/http
	// keeps a connection for 0.5 s after it has refused a header, and nothing can end that wait.
	maxHeaderBytes = 8 << 10
	// writeGrace is the time that a caller has to receive the end of an answer
	// after the deadline of its request.
	writeGrace = 2 * time.Second
	// socketBufferBytes limits the data that the kernel buffers for a caller that
	// does not read; the kernel doubles the value. With a round trip of about 1 ms
	// to callers, it allows about 30 MB/s per caller.
	socketBufferBytes = 16 << 10
)

// API is the HTTP server for callers.
type API struct {
	cfg          Config
	backend      port.EntryHandler
	metrics      port.Metrics
	callerMemory *callerMemory
	gate         *gate
	connTracker  *connTracker
	conns        *callerconns.Conns
	server       *http.Server
	// settleTime is how long Close refuses requests on open connections before it closes them.
	settleTime time.Duration
	// closing is closed when Close begins, served when Serve has returned.
	closing, served chan struct{}
	closeOnce       sync.Once
}

// New returns an API. Serve starts it.
func New(cfg Config, b port.EntryHandler, m port.Metrics) *API {
	a := &API{cfg: cfg, backend: b, metrics: m, callerMemory: newCallerMemory(cfg.Memory, cfg.MaxBody), gate: newGate(),
		connTracker: newConnTracker(), conns: newConns(), settleTime: defaultSettleTime, closing: make(chan struct{}), served: make(chan struct{})}
	a.conns.Ended = a.countEndedConnection
	a.server = &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      MaxTimeout + bodyTimeout + writeGrace,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    2 * maxHeaderBytes,
		ConnContext:       a.connContext,
		ConnState:         a.onConnState,
	}
	return a
}

// Serve accepts connections until Close. It must be called once.
func (a *API) Serve(lis net.Listener) error {
	defer close(a.served)
	var wg conc.WaitGroup
	defer wg.Wait()
	ended := make(chan struct{})
	defer close(ended)
	wg.Go(func() {
		select {
		case <-a.closing:
			_ = lis.Close()
		case <-ended:
		}
	})
	err := a.server.Serve(&headerlimit.Listener{Listener: lis, Limit: func() int { return maxHeaderBytes }, OnRefusal: a.countLongHeader})
	select {
	case <-a.closing:
		return nil
	default:
		return errors.Wrap(err, "serving callers")
	}
}

// minRefusalTime is the minimum time for which a draining entry refuses new
// requests, so that most callers have switched to another entry before the listener
// closes.
const minRefusalTime = time.Second

// lingerTime is how long an entry that shuts down continues to read from
// connections on which it has sent the final response. The round trip to callers is
// about 1 ms, and they close the connection when they receive the response; the
// rest allows for callers on busy machines.
const lingerTime = 500 * time.Millisecond

// defaultSettleTime is how long an entry that shuts down continues to refuse requests on open
// connections after its listener has closed. A caller that has just connected, or sends
// requests continuously, uses its idle connections within this time and then has none left.
const defaultSettleTime = 500 * time.Millisecond

// Drain refuses new requests and waits until those in progress have ended, or ctx
// ends.
func (a *API) Drain(ctx context.Context) error {
	refused := time.NewTimer(minRefusalTime)
	defer refused.Stop()
	a.gate.close()
	err := a.gate.awaitIdle(ctx)
	select {
	case <-refused.C:
	case <-ctx.Done():
	}
	return errors.Wrap(err, "requests still in progress")
}

// Close closes the listener, ends the requests that are still in progress, with an error as the
// answer, and closes all connections. It must be called after Serve. Requests that arrive on open
// connections within the next settleTime are refused: a client of net/http drops the final
// response if it sends a request on the idle connection at that moment. The connections that are
// idle then get that response, with a verdict. A connection whose request Drain has waited for may
// still be sending the end of the answer and becomes idle afterwards. net/http alone would close
// both kinds immediately or drop a request that it has read. Connections that are still open
// after lingerTime are closed when their request ends, or when ctx ends.
func (a *API) Close(ctx context.Context) {
	a.closeOnce.Do(func() { close(a.closing) })
	a.gate.close()
	a.gate.End()
	select {
	case <-a.served:
	case <-ctx.Done():
	}
	a.awaitConnectionsClosed(ctx, a.settleTime)
	a.connTracker.closeIdle()
	_ = a.gate.awaitIdle(ctx)
	a.awaitConnectionsClosed(ctx, lingerTime)
	_ = a.server.Shutdown(ctx)
	_ = a.server.Close()
}

// awaitConnectionsClosed returns once no connection is open, after limit, or when ctx ends.
func (a *API) awaitConnectionsClosed(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.connTracker.awaitClosed(ctx)
}

// Connections returns the number of open connections.
func (a *API) Connections() int { return a.conns.Open() }

// BytesHeld returns the bytes reserved for bodies and answers of callers.
func (a *API) BytesHeld() int64 { return a.callerMemory.bytes.Total() }

// Handler returns the handler of all paths.
func (a *API) Handler() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.POST("/v1/groups/:group/generate", a.handle(func(p httprouter.Params, q *port.ServeRequest) {
		q.Group = fleet.Group(p.ByName("group"))
	}))
	r.POST("/v1/services/:service/call/:name", a.handle(func(p httprouter.Params, q *port.ServeRequest) {
		q.Service, q.Call = fleet.Service(p.ByName("service")), p.ByName("name")
	}))
	r.NotFound = refusalHandler(http.StatusNotFound, "no such path")
	r.MethodNotAllowed = refusalHandler(http.StatusMethodNotAllowed, "method not allowed")
	return a.refuseConnections(r)
}

// unreadBodyGrace is the time for the rest of a body after its request was refused. A caller that is still
// sending gets the refusal before the connection ends, and one that has sent everything keeps the connection.
const unreadBodyGrace = 500 * time.Millisecond

// limitUnreadBody limits the time for the rest of the body of a request that is about to be refused. net/http
// reads it, partly before it sends the response, and waits for it until the read deadline.
func limitUnreadBody(w http.ResponseWriter, hr *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyGrace))
	callerconns.FromContext(hr.Context()).Refused()
}

func refusalHandler(status int, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		limitUnreadBody(w, hr)
		e := badRequest("%s", message)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(headerVerdict, e.Verdict.String())
		w.WriteHeader(status)
		_, _ = w.Write(errorJSON(e, ""))
	})
}

func (a *API) handle(target func(httprouter.Params, *port.ServeRequest)) httprouter.Handle {
	return func(w http.ResponseWriter, hr *http.Request, p httprouter.Params) {
		r := port.ServeRequest{ID: fleet.RequestID(uuid.NewString())}
		target(p, &r)
		if len(hr.TransferEncoding) > 0 {
			// net/http ignores Content-Length if the body is chunked. A proxy may go by
			// the length, so the bytes after the chunks must not be read as a request.
			w.Header().Set("Connection", "close")
		}
		if !a.gate.tryStart() {
			a.refuseAndClose(w, hr, &r, shuttingDownError())
			return
		}
		defer a.gate.done()
		a.serve(w, hr, &r)
	}
}

// refuseAndClose refuses a request whose body has not been read and closes the connection after the response.
func (a *API) refuseAndClose(w http.ResponseWriter, hr *http.Request, r *port.ServeRequest, e *verdict.Error) {
	w.Header().Set("Connection", "close")
	a.countVerdict(r, e.Verdict, e.Code)
	limitUnreadBody(w, hr)
	writeError(w, e, r.ID)
}

// serve handles one request that the gate has admitted. It closes the connection unless
// the response is complete.
func (a *API) serve(w http.ResponseWriter, hr *http.Request, r *port.ServeRequest) {
	x := &exchange{
		api: a, w: w, hr: hr, rc: http.NewResponseController(w), r: r, start: time.Now(), closeGuard: closeguard.New(hr),
	}
	x.respond()
	if !x.progress.Complete() {
		panic(http.ErrAbortHandler)
	}
}

// respond sends the response to the request.
func (x *exchange) respond() {
	a, r, start := x.api, x.r, x.start
	b, err := a.admit(x.hr.Header, r)
	if err != nil {
		x.failBeforeHead(err)
		return
	}
	x.admitted = true
	x.caller = &caller{id: r.ID, customer: r.Customer, maxBytes: b.CustomerBytes, interrupt: x.interrupt}
	ctx, release := a.gate.WithEnd(x.hr.Context())
	defer release()
	ctx, cancel := context.WithDeadline(ctx, start.Add(r.Timeout))
	defer cancel()
	_ = x.rc.SetWriteDeadline(start.Add(r.Timeout + writeGrace))
	defer a.callerMemory.release(x.caller)
	answer, err := x.openAnswer(ctx)
	if err != nil {
		x.failBeforeHead(x.endError(ctx, err))
		return
	}
	defer func() { _ = answer.Close() }()
	x.copyAnswer(ctx, answer)
}

func (a *API) admit(h http.Header, r *port.ServeRequest) (port.RequestLimits, error) {
	if err := decodeHeaders(h, r); err != nil {
		return port.RequestLimits{}, err
	}
	return a.backend.Admit(*r)
}

// endError returns the error of a request without an answer. That is another one than err if
// the shutdown has ended the request or its caller has disconnected.
func (x *exchange) endError(ctx context.Context, err error) error {
	e := x.api.gate.Error(ctx, verdict.FromError(err))
	// An interrupted read of a body also ends the context of the HTTP request.
	if x.hr.Context().Err() == nil || x.bodyInterrupted || e.Code == verdict.CodeShuttingDown {
		return e
	}
	return verdict.Wrap(e, e.Verdict, verdict.CodeCanceled, "caller left")
}

// openAnswer reads the body and gets the answer from the backend. The memory of the
// body of a service call is released when the answer starts. That of a group's
// request is held until the answer ends, since another target may have to continue
// the request.
func (x *exchange) openAnswer(ctx context.Context) (port.Answer, error) {
	if err := x.readAdmittedBody(); err != nil {
		return nil, err
	}
	if x.r.Service != "" {
		defer func() {
			x.r.Body = nil
			x.api.callerMemory.releaseBody(x.caller)
		}()
	}
	if err := decodeBody(x.r); err != nil {
		return nil, err
	}
	return x.api.backend.Serve(ctx, *x.r, func() error { return x.api.callerMemory.reserveAnswer(ctx, x.caller) })
}

// countVerdict counts the end of a request in the metrics. The customer is not an
// attribute, so that callers cannot create metrics with invented names.
func (a *API) countVerdict(r *port.ServeRequest, v verdict.Verdict, code verdict.Code) {
	a.metrics.Count("masticwing_entry_verdicts_total", 1,
		port.Attr{Key: "verdict", Value: v.String()},
		port.Attr{Key: "code", Value: string(code)},
		port.Attr{Key: "class", Value: r.Class.String()})
}
