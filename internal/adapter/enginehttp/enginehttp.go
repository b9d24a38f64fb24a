// Package enginehttp implements port.Engine over the HTTP interface of a model
// engine.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/boundedhttp"
	"github.com/masticwing/masticwing/internal/adapter/targethttp"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// statusTimeout limits a status request over loopback.
	statusTimeout = time.Second
	dialTimeout   = time.Second
	// continueTimeout is how long Load waits for the engine's 100 Continue before
	// it sends the weights. No weights are sent if the engine refuses the order.
	continueTimeout   = time.Second
	maxErrorTextBytes = 4 << 10
	// orderTimeout bounds the time from the last byte of an order to the end of the
	// response header. The engine responds once it has moved the weights to its
	// accelerators, which takes seconds to minutes.
	orderTimeout = 10 * time.Minute
	// errorTextTimeout bounds the wait for the text of an error, which only goes into
	// messages.
	errorTextTimeout = 500 * time.Millisecond
	// maxStatusBytes bounds a status, which lists the loaded versions.
	maxStatusBytes = 64 << 10
)

// ErrStaleFence means that the engine has seen a higher fencing number.
var ErrStaleFence = errors.New("engine refused an old fencing number")

// Client is a client of one engine.
type Client struct {
	base string
	http *http.Client
	// requests opens a new connection for each request. A refusal does not state to which
	// request it belongs, so that on a kept connection a repeated one would be taken for
	// that of the next request. The engine is on the same VM and starts a few requests a
	// second.
	requests     *http.Client
	orderTimeout time.Duration
}

var _ port.Engine = (*Client)(nil)

// New returns a client of the engine at addr.
func New(addr fleet.Address) *Client {
	return &Client{
		base: "http://" + string(addr), http: &http.Client{Transport: targethttp.NewTransport()},
		requests: &http.Client{Transport: targethttp.NewSingleUseTransport()}, orderTimeout: orderTimeout,
	}
}

type statusBody struct {
	BootID    string          `json:"boot_id"`
	Loaded    []fleet.Version `json:"loaded"`
	Fence     int64           `json:"fence"`
	LoadCount int64           `json:"load_count"`
}

// orderConn is a connection that calls check before each write and fails if check
// does. The engine executes an order only after it has received all of it, so a
// truncated order has no effect.
type orderConn struct {
	net.Conn
	check   port.OrderCheck
	expired *atomic.Pointer[error]
}

// Write implements net.Conn.
func (c orderConn) Write(b []byte) (int, error) {
	if err := c.check(); err != nil {
		c.expired.Store(&err)
		return 0, err
	}
	return c.Conn.Write(b)
}

// Status implements port.Engine.
func (c *Client) Status(ctx context.Context) (port.EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	resp, err := c.do(ctx, c.http, http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return port.EngineStatus{}, errors.Wrap(err, "asking engine for its status")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return port.EngineStatus{}, errors.Errorf("engine status: %s", statusText(resp))
	}
	body, err := boundedhttp.ReadAll(resp.Body, maxStatusBytes)
	if err != nil {
		return port.EngineStatus{}, errors.Wrap(err, "asking engine for its status")
	}
	var b statusBody
	if err := json.Unmarshal(body, &b); err != nil {
		return port.EngineStatus{}, errors.Wrap(err, "decoding engine status")
	}
	id := fleet.EngineIdentity{BootID: b.BootID, LoadCount: b.LoadCount}
	return port.EngineStatus{
		EngineIdentity: id,
		// The tag is compared, since some HTTP servers add their own entity tag
		// to every response.
		ChecksIdentity: resp.Header.Get(etagHeader) == entityTag(id),
		Loaded:         b.Loaded,
		Fence:          b.Fence,
	}, nil
}

func (c *Client) do(
	ctx context.Context, hc *http.Client, method, path string, q url.Values, body io.Reader,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+q.Encode(), body)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Expect", "100-continue")
	}
	return hc.Do(req)
}

// statusText returns the status line and the start of the body of a response.
func statusText(resp *http.Response) string {
	b := boundedhttp.ReadStart(resp.Body, maxErrorTextBytes, errorTextTimeout)
	return resp.Status + ": " + string(bytes.TrimSpace(b))
}

// Load implements port.Engine.
func (c *Client) Load(ctx context.Context, o port.LoadOrder) error {
	q := url.Values{
		"model":   {string(o.Model)},
		"version": {string(o.Version)},
		"fence":   {strconv.FormatInt(o.Fence, 10)},
		"bytes":   {strconv.FormatInt(o.Bytes, 10)},
	}
	return c.sendOrder(ctx, "/v1/load", q, io.NopCloser(o.Weights), o.Check)
}

// Unload implements port.Engine.
func (c *Client) Unload(ctx context.Context, o port.UnloadOrder) error {
	q := url.Values{"version": {string(o.Version)}, "fence": {strconv.FormatInt(o.Fence, 10)}}
	return c.sendOrder(ctx, "/v1/unload", q, nil, o.Check)
}

// sendOrder sends an order on a new connection, which checks before each write that
// the order is still allowed. If it no longer is, the error is that of the check.
func (c *Client) sendOrder(ctx context.Context, path string, q url.Values, body io.Reader, check port.OrderCheck) error {
	var expired atomic.Pointer[error]
	t := boundedhttp.NewTransport(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return orderConn{conn, check, &expired}, nil
	})
	t.DisableKeepAlives, t.ExpectContinueTimeout, t.ResponseHeaderTimeout = true, continueTimeout, c.orderTimeout
	defer t.CloseIdleConnections()
	resp, err := c.do(ctx, &http.Client{Transport: t}, http.MethodPost, path, q, body)
	if err != nil {
		// After a failed write, net/http may report that the connection is closed instead.
		if cause := expired.Load(); cause != nil {
			err = *cause
		}
		return errors.Wrap(err, "giving the engine an order")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Wrap(ErrStaleFence, statusText(resp))
	default:
		return errors.Errorf("engine refused the order: %s", statusText(resp))
	}
}

// Generate implements port.Engine.
func (c *Client) Generate(ctx context.Context, r port.EngineRequest) (port.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/generate", bytes.NewReader(r.Body))
	if err != nil {
		cancel()
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "building engine request")
	}
	req.Header.Set("X-Request-Id", string(r.ID))
	req.Header.Set("X-Model", string(r.Model))
	req.Header.Set("X-Model-Version", string(r.Version))
	req.Header.Set("X-Class", r.Class.String())
	req.Header.Set("X-Priority", strconv.Itoa(r.Priority))
	req.Header.Set("X-Resume-Frames", strconv.FormatUint(r.Resume, 10))
	conditional := r.Expect != fleet.EngineIdentity{}
	if conditional {
		req.Header.Set(ifMatchHeader, entityTag(r.Expect))
	}
	resp, err := c.requests.Do(req)
	if err != nil {
		defer cancel()
		return nil, sendError(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		if conditional && resp.StatusCode == http.StatusPreconditionFailed {
			return nil, engineChanged(resp)
		}
		return nil, statusError(resp)
	}
	a, err := newAnswerStream(ctx, cancel, resp, r)
	if err != nil {
		_ = a.Close()
		return nil, err
	}
	return a, nil
}

func sendError(ctx context.Context, err error) *verdict.Error {
	return targethttp.SendError(ctx, err, "engine", verdict.CodeTargetError)
}

// statusError returns the error for a response with a status other than 200. The
// engine sends 409 and 400 before it runs anything; with any other status the
// request may have run.
func statusError(resp *http.Response) *verdict.Error {
	switch resp.StatusCode {
	case http.StatusConflict:
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "engine: %s", statusText(resp))
	case http.StatusBadRequest:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "engine: %s", statusText(resp))
	default:
		return verdict.New(verdict.MayHaveRun, verdict.CodeTargetError, "engine: %s", statusText(resp))
	}
}
