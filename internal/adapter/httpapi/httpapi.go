// Package httpapi serves callers over HTTP. It decodes and limits requests,
// hands them to a Backend, and copies answers with back pressure: it asks the
// backend for the next frame only after the caller has taken the last one.
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

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// Bounds are the limits that apply to an admitted request.
type Bounds struct {
	// CustomerBytes bounds the bytes held for the customer; zero is no bound.
	CustomerBytes int64
}

// Backend answers decoded requests.
type Backend interface {
	// Admit checks a request before its body is read.
	Admit(r port.ServeRequest) (Bounds, error)
	// Serve returns the answer of a request. An error carries a verdict. ctx
	// ends at the request's deadline and when its caller leaves. The backend
	// calls begin once, when the request has waited for its turn and before it
	// is sent on; an error of begin is the error of the request. The backend
	// keeps no reference to the body once the answer is closed or, without an
	// answer, once Serve has returned.
	Serve(ctx context.Context, r port.ServeRequest, begin func() error) (port.Answer, error)
}

// Config holds the limits of the interface.
type Config struct {
	// Memory bounds the bytes held for all callers.
	Memory int64
	// MaxBody bounds the body of one request.
	MaxBody int64
}

const (
	readHeaderTimeout = 5 * time.Second
	bodyTimeout       = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 8 << 10
	// writeGrace is the time that a caller has to take the end of an answer
	// after the deadline of its request.
	writeGrace = 2 * time.Second
	// socketBuffer bounds what the kernel holds for a caller that does not
	// read; the kernel doubles it. Callers are about 1 ms away, so it allows
	// some 30 MB/s for each.
	socketBuffer = 16 << 10
)

// API is the callers' interface.
type API struct {
	cfg     Config
	backend Backend
	metrics port.Metrics
	callers *callers
	gate    *gate
	conns   *conns
	server  *http.Server
	// closing is closed when Close begins, served when Serve has returned.
	closing, served chan struct{}
	closeOnce       sync.Once
}

// New returns an interface that serves nothing yet.
func New(cfg Config, b Backend, m port.Metrics) *API {
	a := &API{cfg: cfg, backend: b, metrics: m, callers: newCallers(cfg.Memory), gate: newGate(),
		conns: newConns(), closing: make(chan struct{}), served: make(chan struct{})}
	a.server = &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      MaxTimeout + bodyTimeout + writeGrace,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       smallBuffers,
		ConnState:         a.conns.follow,
	}
	return a
}

func smallBuffers(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(socketBuffer)
	}
	return ctx
}

// Serve accepts callers until Close. It is called once.
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

// refusalTime is the least time for which a draining entry answers new requests
// with a refusal, so that most callers have gone to another entry by the time
// in which the address closes.
const refusalTime = time.Second

// lingerTime is how long a stopping entry goes on reading from connections on
// which it has sent its last answer. Callers are about 1 ms away and close
// their side when they see it; the rest is for a caller on a busy machine.
const lingerTime = 500 * time.Millisecond

// Drain refuses new requests and waits for those in progress, or for ctx.
func (a *API) Drain(ctx context.Context) error {
	refused := time.NewTimer(refusalTime)
	defer refused.Stop()
	a.gate.close()
	err := a.gate.wait(ctx)
	select {
	case <-refused.C:
	case <-ctx.Done():
	}
	return errors.Wrap(err, "requests still in progress")
}

// Close closes the listener and all connections. Idle connections end with an
// answer that carries a verdict; one on which Drain has finished the last
// request may still carry the end of an answer and becomes idle after that.
// net/http would close both kinds at once or drop a request that it has read.
// What is still open after lingerTime is closed when its request ends, or when
// ctx does. Serve has been called before.
func (a *API) Close(ctx context.Context) {
	a.closeOnce.Do(func() { close(a.closing) })
	a.gate.close()
	select {
	case <-a.served:
	case <-ctx.Done():
	}
	a.conns.closeIdle()
	_ = a.gate.wait(ctx)
	linger, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	a.conns.wait(linger)
	_ = a.server.Shutdown(ctx)
	_ = a.server.Close()
}

// IdleConnections returns the number of connections without a request.
func (a *API) IdleConnections() int { return a.conns.idle() }

// BytesHeld returns the bytes that are held for callers.
func (a *API) BytesHeld() int64 { return a.callers.bytes.Total() }

// Handler returns the routes.
func (a *API) Handler() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.POST("/v1/groups/:group/generate", a.route(func(p httprouter.Params, q *port.ServeRequest) {
		q.Group = fleet.Group(p.ByName("group"))
	}))
	r.POST("/v1/services/:service/call/:name", a.route(func(p httprouter.Params, q *port.ServeRequest) {
		q.Service, q.Call = fleet.Service(p.ByName("service")), p.ByName("name")
	}))
	r.NotFound = refuse(http.StatusNotFound, "no such path")
	r.MethodNotAllowed = refuse(http.StatusMethodNotAllowed, "method not allowed")
	return r
}

func refuse(status int, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e := badRequest("%s", message)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(headerVerdict, e.Verdict.String())
		w.WriteHeader(status)
		_, _ = w.Write(errorJSON(e, ""))
	})
}

func (a *API) route(target func(httprouter.Params, *port.ServeRequest)) httprouter.Handle {
	return func(w http.ResponseWriter, hr *http.Request, p httprouter.Params) {
		r := port.ServeRequest{ID: fleet.RequestID(uuid.NewString())}
		target(p, &r)
		if len(hr.TransferEncoding) > 0 {
			// net/http drops a length beside chunks. What a proxy before this server
			// takes for the rest of the body must not be read as another request.
			w.Header().Set("Connection", "close")
		}
		if !a.gate.enter() {
			w.Header().Set("Connection", "close")
			e := shuttingDown()
			a.count(&r, e.Verdict, e.Code)
			writeError(w, e, r.ID)
			return
		}
		defer a.gate.leave()
		a.serve(w, hr, &r)
	}
}

// serve runs one request.
func (a *API) serve(w http.ResponseWriter, hr *http.Request, r *port.ServeRequest) {
	start := time.Now()
	x := &exchange{api: a, w: w, rc: http.NewResponseController(w), r: r, start: start}
	b, err := a.admit(hr.Header, r)
	if err != nil {
		x.fail(err)
		return
	}
	x.known = true
	x.caller = &caller{id: r.ID, customer: r.Customer, maxBytes: b.CustomerBytes, interrupt: x.interrupt}
	ctx, cancel := context.WithDeadline(hr.Context(), start.Add(r.Timeout))
	defer cancel()
	_ = x.rc.SetWriteDeadline(start.Add(r.Timeout + writeGrace))
	answer, err := x.open(ctx, hr)
	defer x.giveBody()
	defer a.callers.endAnswer(x.caller)
	if err != nil {
		x.fail(left(hr, err))
		return
	}
	defer func() { _ = answer.Close() }()
	x.copy(ctx, answer)
}

func (a *API) admit(h http.Header, r *port.ServeRequest) (Bounds, error) {
	if err := decodeHead(h, r); err != nil {
		return Bounds{}, err
	}
	return a.backend.Admit(*r)
}

// left replaces the error of a request whose caller has left.
func left(hr *http.Request, err error) error {
	if hr.Context().Err() == nil {
		return err
	}
	return verdict.Wrap(err, verdict.FromError(err).Verdict, verdict.CodeCanceled, "caller left")
}

// open reads the body and asks the backend for the answer. The body of a
// service call is held only until then; that of a group's request until its
// answer ends, since another target may have to continue it.
func (x *exchange) open(ctx context.Context, hr *http.Request) (port.Answer, error) {
	var err error
	if x.held, err = x.readBody(hr); err != nil {
		return nil, err
	}
	if x.r.Service != "" {
		defer x.giveBody()
	}
	if err := decodeBody(x.r); err != nil {
		return nil, err
	}
	return x.api.backend.Serve(ctx, *x.r, func() error { return x.api.callers.beginAnswer(ctx, x.caller) })
}

// giveBody ends the count of the body. Further calls have no effect.
func (x *exchange) giveBody() {
	x.api.callers.giveBody(x.caller, x.held)
	x.r.Body, x.held = nil, 0
}

// bodyStep is how much a body without a stated length grows at a time.
const bodyStep = 16 << 10

// readBody reads the body after counting its bytes. It returns the bytes
// counted, also with an error.
func (x *exchange) readBody(hr *http.Request) (held int64, err error) {
	limit := x.api.cfg.MaxBody
	if hr.ContentLength > limit {
		return 0, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body is larger than %d bytes", limit)
	}
	_ = x.rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = x.rc.SetReadDeadline(time.Time{}) }()
	step := hr.ContentLength
	if step < 0 {
		step = bodyStep
	}
	var buf []byte
	for {
		if err := x.api.callers.takeBody(x.caller, step); err != nil {
			return held, err
		}
		held += step
		grown := make([]byte, held)
		n := copy(grown, buf)
		m, err := io.ReadFull(hr.Body, grown[n:])
		buf = grown[:n+m]
		step = held
		switch {
		case int64(len(buf)) > limit:
			return held, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body is larger than %d bytes", limit)
		case hr.ContentLength >= 0 && err == nil, hr.ContentLength < 0 && atEnd(err):
			x.r.Body = buf
			return held, nil
		case err != nil:
			return held, badRequest("body cannot be read")
		}
	}
}

func atEnd(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

// count records the end of a request. Customers are named only once they are
// known, so that callers cannot create metrics.
func (a *API) count(r *port.ServeRequest, v verdict.Verdict, code verdict.Code) {
	a.metrics.Count("masticwing_entry_verdicts_total", 1,
		port.Attr{Key: "verdict", Value: v.String()},
		port.Attr{Key: "code", Value: string(code)},
		port.Attr{Key: "class", Value: r.Class.String()})
}
