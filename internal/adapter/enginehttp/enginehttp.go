// Package enginehttp implements port.Engine against a model engine's HTTP
// interface.
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
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/targethttp"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// statusTimeout bounds a status call on loopback.
	statusTimeout = time.Second
	dialTimeout   = time.Second
	// continueTimeout is how long the weights wait for the engine to ask for
	// them. An engine that refuses an order is not sent any.
	continueTimeout = time.Second
	maxTextBytes    = 4 << 10
)

// ErrStaleFence means that the engine has seen a higher fencing number.
var ErrStaleFence = errors.New("engine refused an old fencing number")

// Client calls one engine.
type Client struct {
	base string
	http *http.Client
}

var _ port.Engine = (*Client)(nil)

// New returns a client of the engine at addr.
func New(addr fleet.Address) *Client {
	return &Client{base: "http://" + string(addr), http: &http.Client{Transport: targethttp.NewTransport()}}
}

type statusBody struct {
	BootID    string          `json:"boot_id"`
	Loaded    []fleet.Version `json:"loaded"`
	Fence     int64           `json:"fence"`
	LoadCount int64           `json:"load_count"`
}

// checkedConn writes nothing once check fails. The engine acts on an order only
// when it has all of it, so one that is cut off here has no effect.
type checkedConn struct {
	net.Conn
	check port.OrderCheck
}

// Write implements net.Conn.
func (c checkedConn) Write(b []byte) (int, error) {
	if err := c.check(); err != nil {
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
		return port.EngineStatus{}, errors.Errorf("engine status: %s", describe(resp))
	}
	var b statusBody
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return port.EngineStatus{}, errors.Wrap(err, "decoding engine status")
	}
	id := fleet.EngineIdentity{BootID: b.BootID, LoadCount: b.LoadCount}
	return port.EngineStatus{
		EngineIdentity: id,
		// Some HTTP servers add a tag of their own to every answer.
		ChecksIdentity: resp.Header.Get(tagHeader) == entityTag(id),
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

func describe(resp *http.Response) string {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxTextBytes))
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
	return c.order(ctx, "/v1/load", q, io.NopCloser(o.Weights), o.Check)
}

// Unload implements port.Engine.
func (c *Client) Unload(ctx context.Context, o port.UnloadOrder) error {
	q := url.Values{"version": {string(o.Version)}, "fence": {strconv.FormatInt(o.Fence, 10)}}
	return c.order(ctx, "/v1/unload", q, nil, o.Check)
}

// order sends an order on a connection of its own, which checks the right to
// give it before each write.
func (c *Client) order(ctx context.Context, path string, q url.Values, body io.Reader, check port.OrderCheck) error {
	t := &http.Transport{
		DisableKeepAlives:     true,
		ExpectContinueTimeout: continueTimeout,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return checkedConn{conn, check}, nil
		},
	}
	defer t.CloseIdleConnections()
	resp, err := c.do(ctx, &http.Client{Transport: t}, http.MethodPost, path, q, body)
	if err != nil {
		return errors.Wrap(err, "giving the engine an order")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Wrap(ErrStaleFence, describe(resp))
	default:
		return errors.Errorf("engine refused the order: %s", describe(resp))
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
	expects := r.Expect != fleet.EngineIdentity{}
	if expects {
		req.Header.Set(preconditionHeader, entityTag(r.Expect))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		defer cancel()
		return nil, sendError(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		if expects && resp.StatusCode == http.StatusPreconditionFailed {
			return nil, changed(resp)
		}
		return nil, refusal(resp)
	}
	a, err := newAnswer(ctx, cancel, resp, r)
	if err != nil {
		_ = a.Close()
		return nil, err
	}
	return a, nil
}

func sendError(ctx context.Context, err error) *verdict.Error {
	return targethttp.SendError(ctx, err, "engine", verdict.CodeTargetError)
}

// refusal maps a status other than 200. The engine states 409 and 400 before it
// does any work; nothing is known of the others.
func refusal(resp *http.Response) *verdict.Error {
	switch resp.StatusCode {
	case http.StatusConflict:
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "engine: %s", describe(resp))
	case http.StatusBadRequest:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "engine: %s", describe(resp))
	default:
		return verdict.New(verdict.MayHaveRun, verdict.CodeTargetError, "engine: %s", describe(resp))
	}
}
