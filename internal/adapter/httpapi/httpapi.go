// Package httpapi serves callers over HTTP. It decodes and limits requests, passes
// them to a port.EntryHandler, and copies answers with back pressure: it reads the next frame
// of an answer only after the previous one was written to the caller.
package httpapi

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/closeguard"
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
}

const (
	readHeaderTimeout = 5 * time.Second
	bodyTimeout       = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 8 << 10
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
	server       *http.Server
	// settleTime is how long Close refuses requests on open connections before it closes them.
	settleTime time.Duration
	// closing is closed when Close begins, served when Serve has returned.
	closing, served chan struct{}
	closeOnce       sync.Once
}

// withConn is the server's ConnContext hook. It limits the send buffer of the connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(socketBufferBytes)
	}
	return closeguard.ConnContext(ctx, c)
}

// New returns an API. Serve starts it.
func New(cfg Config, b port.EntryHandler, m port.Metrics) *API {
	a := &API{cfg: cfg, backend: b, metrics: m, callerMemory: newCallerMemory(cfg.Memory), gate: newGate(),
		connTracker: newConnTracker(), settleTime: defaultSettleTime, closing: make(chan struct{}), served: make(chan struct{})}
	a.server = &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      MaxTimeout + bodyTimeout + writeGrace,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         a.connTracker.onStateChange,
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
	err := a.server.Serve(lis)
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

// IdleConnections returns the number of connections without a request in progress.
func (a *API) IdleConnections() int { return a.connTracker.idle() }

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
	return r
}

func refusalHandler(status int, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
			w.Header().Set("Connection", "close")
			e := shuttingDownError()
			a.countVerdict(&r, e.Verdict, e.Code)
			writeError(w, e, r.ID)
			return
		}
		defer a.gate.done()
		a.serve(w, hr, &r)
	}
}

// serve handles one request that the gate has admitted. It closes the connection unless
// the response is complete.
func (a *API) serve(w http.ResponseWriter, hr *http.Request, r *port.ServeRequest) {
	x := &exchange{
		api: a, w: w, rc: http.NewResponseController(w), r: r, start: time.Now(), closeGuard: closeguard.New(hr),
	}
	x.respond(hr)
	if !x.progress.Complete() {
		panic(http.ErrAbortHandler)
	}
}

// respond sends the response to the request.
func (x *exchange) respond(hr *http.Request) {
	a, r, start := x.api, x.r, x.start
	b, err := a.admit(hr.Header, r)
	if err != nil {
		x.failBeforeHead(err)
		return
	}
	x.admitted = true
	x.caller = &caller{id: r.ID, customer: r.Customer, maxBytes: b.CustomerBytes, interrupt: x.interrupt}
	ctx, release := a.gate.WithEnd(hr.Context())
	defer release()
	ctx, cancel := context.WithDeadline(ctx, start.Add(r.Timeout))
	defer cancel()
	_ = x.rc.SetWriteDeadline(start.Add(r.Timeout + writeGrace))
	answer, err := x.openAnswer(ctx, hr)
	defer x.releaseBody()
	defer a.callerMemory.releaseAnswer(x.caller)
	if err != nil {
		x.failBeforeHead(a.endError(ctx, hr, err))
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
func (a *API) endError(ctx context.Context, hr *http.Request, err error) error {
	e := a.gate.Error(ctx, verdict.FromError(err))
	// An interrupted read of a body also ends the context of hr.
	if hr.Context().Err() == nil || e.Code == verdict.CodeShuttingDown {
		return e
	}
	return verdict.Wrap(e, e.Verdict, verdict.CodeCanceled, "caller left")
}

// openAnswer reads the body and gets the answer from the backend. The memory of the
// body of a service call is released when the answer starts. That of a group's
// request is held until the answer ends, since another target may have to continue
// the request.
func (x *exchange) openAnswer(ctx context.Context, hr *http.Request) (port.Answer, error) {
	var err error
	if x.bodyBytes, err = x.readAdmittedBody(hr); err != nil {
		return nil, err
	}
	if x.r.Service != "" {
		defer x.releaseBody()
	}
	if err := decodeBody(x.r); err != nil {
		return nil, err
	}
	return x.api.backend.Serve(ctx, *x.r, func() error { return x.api.callerMemory.reserveAnswer(ctx, x.caller) })
}

// releaseBody releases the memory of the body. Further calls have no effect.
func (x *exchange) releaseBody() {
	x.api.callerMemory.releaseBody(x.caller, x.bodyBytes)
	x.r.Body, x.bodyBytes = nil, 0
}

// bodyGrowBytes is the initial buffer size of a body without a Content-Length. The
// buffer doubles when it is full.
const bodyGrowBytes = 16 << 10

// readAdmittedBody is readBody with a limit of time. It fails as soon as new requests are refused.
func (x *exchange) readAdmittedBody(hr *http.Request) (reserved int64, err error) {
	_ = x.rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	unregister := context.AfterFunc(x.api.gate.Admission(), func() { _ = x.rc.SetReadDeadline(time.Now()) })
	reserved, err = x.readBody(hr)
	if !unregister() {
		x.w.Header().Set("Connection", "close")
		return reserved, shuttingDownError()
	}
	_ = x.rc.SetReadDeadline(time.Time{})
	return reserved, err
}

// readBody reserves memory for the body and reads it. It returns the bytes reserved,
// also with an error.
func (x *exchange) readBody(hr *http.Request) (reserved int64, err error) {
	limit := x.api.cfg.MaxBody
	if hr.ContentLength > limit {
		return 0, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body is larger than %d bytes", limit)
	}
	step := hr.ContentLength
	if step < 0 {
		step = bodyGrowBytes
	}
	var buf []byte
	for {
		if err := x.api.callerMemory.reserveBody(x.caller, step); err != nil {
			return reserved, err
		}
		reserved += step
		grown := make([]byte, reserved)
		n := copy(grown, buf)
		m, err := readFull(hr.Body, grown[n:])
		buf = grown[:n+m]
		step = reserved
		switch {
		case int64(len(buf)) > limit:
			return reserved, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body is larger than %d bytes", limit)
		case err == io.EOF, hr.ContentLength >= 0 && err == nil:
			x.r.Body = buf
			return reserved, nil
		case err != nil:
			return reserved, badRequest("body cannot be read")
		}
	}
}

// readFull reads into b until it is full, or r fails or ends. Unlike io.ReadFull it keeps the error of r: io.EOF
// is the end of a body, and io.ErrUnexpectedEOF that of its connection.
func readFull(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = r.Read(b[n:])
		n += m
	}
	return n, err
}

// countVerdict counts the end of a request in the metrics. The customer is not an
// attribute, so that callers cannot create metrics with invented names.
func (a *API) countVerdict(r *port.ServeRequest, v verdict.Verdict, code verdict.Code) {
	a.metrics.Count("masticwing_entry_verdicts_total", 1,
		port.Attr{Key: "verdict", Value: v.String()},
		port.Attr{Key: "code", Value: string(code)},
		port.Attr{Key: "class", Value: r.Class.String()})
}
