// Package servicehttp implements port.Service against a plain service's HTTP
// interface.
package servicehttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/targethttp"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	healthTimeout = time.Second
	// pieceBytes is the size of one piece of an answer, the same as a frame of
	// the protocol between processes.
	pieceBytes = 16 << 10
	// notRunHeader is set by a service that refuses a call before any effect.
	notRunHeader = "X-Not-Run"
)

// Client calls one service.
type Client struct {
	base  string
	http  *http.Client
	fresh *http.Client
}

var _ port.Service = (*Client)(nil)

// New returns a client of the service at addr.
func New(addr fleet.Address) *Client {
	fresh := targethttp.NewTransport()
	fresh.DisableKeepAlives = true
	return &Client{
		base:  "http://" + string(addr),
		http:  &http.Client{Transport: targethttp.NewTransport()},
		fresh: &http.Client{Transport: fresh},
	}
}

// Healthy implements port.Service.
func (c *Client) Healthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/healthz", nil)
	if err != nil {
		return errors.Wrap(err, "building health request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "asking service for its health")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("service is not healthy: %s", resp.Status)
	}
	return nil
}

// client returns the connections for a call. A call with a key gets one of its
// own, because a kept connection that the service has just closed would leave
// open whether the call ran.
func (c *Client) client(r port.ServiceRequest) *http.Client {
	if r.IdempotencyKey != "" {
		return c.fresh
	}
	return c.http
}

// Call implements port.Service. The request has a body without GetBody, since
// net/http otherwise repeats a request with an Idempotency-Key by itself after
// a lost connection, which would run the call twice.
func (c *Client) Call(ctx context.Context, r port.ServiceRequest) (port.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	body := io.NopCloser(bytes.NewReader(r.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/call/"+url.PathEscape(r.Call), body)
	if err != nil {
		cancel()
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "building service request")
	}
	req.ContentLength = int64(len(r.Body))
	req.Header.Set("X-Request-Id", string(r.ID))
	req.Header.Set("X-Customer", string(r.Customer))
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := c.client(r).Do(req)
	if err != nil {
		defer cancel()
		return nil, sendError(ctx, err)
	}
	if resp.Header.Get(notRunHeader) != "" {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		return nil, verdict.New(verdict.NotRun, verdict.CodeTargetError, "service refused the call: %s", resp.Status)
	}
	return newAnswer(ctx, cancel, resp, r.ID), nil
}

func sendError(ctx context.Context, err error) *verdict.Error {
	return targethttp.SendError(ctx, err, "service", verdict.CodeTargetLost)
}

type answer struct {
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	head   port.AnswerHead
	buf    []byte
	done   error
}

func newAnswer(ctx context.Context, cancel context.CancelFunc, resp *http.Response, id fleet.RequestID) *answer {
	return &answer{
		ctx: ctx, cancel: cancel, body: resp.Body, buf: make([]byte, pieceBytes),
		head: port.AnswerHead{ID: id, ContentType: resp.Header.Get("Content-Type"), Status: resp.StatusCode},
	}
}

// Head implements port.Answer. The connection carries one call at a time, so
// the answer belongs to the call that was sent on it.
func (a *answer) Head() port.AnswerHead { return a.head }

// Next implements port.Answer.
func (a *answer) Next() ([]byte, error) {
	if a.done != nil {
		return nil, a.done
	}
	n, err := a.body.Read(a.buf)
	if err != nil && err != io.EOF {
		err = sendError(a.ctx, errors.Wrap(err, "reading service's answer"))
	}
	a.done = err
	if n > 0 {
		return a.buf[:n], nil
	}
	return nil, err
}

// Close implements port.Answer.
func (a *answer) Close() error {
	a.cancel()
	return a.body.Close()
}
