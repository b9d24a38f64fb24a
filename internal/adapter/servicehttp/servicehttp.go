// Package servicehttp implements port.Service over the HTTP interface of a plain
// service.
package servicehttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/boundedhttp"
	"github.com/masticwing/masticwing/internal/adapter/targethttp"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	healthTimeout = time.Second
	// readBytes is the maximum size of one piece of an answer.
	readBytes = 16 << 10
	// notRunHeader is sent by a service that refuses a call before it has any
	// effect.
	notRunHeader = "X-Not-Run"
)

// Client is a client of one service.
type Client struct {
	base string
	// health is for health checks.
	health *http.Client
	// calls opens a new connection for each call. Responses state no request, so that on
	// a kept connection a repeated response to an earlier call would be taken for that to
	// the next one, and if the service has just closed one, it would be unknown whether
	// the call ran. The service is on the same VM, where a connection costs little.
	calls *http.Client
}

var _ port.Service = (*Client)(nil)

// New returns a client of the service at addr.
func New(addr fleet.Address) *Client {
	return &Client{
		base:   "http://" + string(addr),
		health: &http.Client{Transport: targethttp.NewTransport()},
		calls:  &http.Client{Transport: targethttp.NewSingleUseTransport()},
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
	resp, err := c.health.Do(req)
	if err != nil {
		return errors.Wrap(err, "requesting service health")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("service is not healthy: %s", resp.Status)
	}
	return nil
}

// Call implements port.Service. The request has no GetBody, since net/http would
// otherwise retry a request with an Idempotency-Key after a lost connection, and the
// call could run twice.
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
	resp, err := c.calls.Do(req)
	if err != nil {
		defer cancel()
		return nil, sendError(ctx, err)
	}
	if !boundedhttp.StatusIsValid(resp.StatusCode) {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "service answered with the status %.40q", resp.Status)
	}
	if resp.Header.Get(notRunHeader) != "" {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		return nil, verdict.New(verdict.NotRun, verdict.CodeTargetError, "service refused the call: %s", resp.Status)
	}
	return newAnswerStream(ctx, cancel, resp, r.ID), nil
}

func sendError(ctx context.Context, err error) *verdict.Error {
	return targethttp.SendError(ctx, err, "service", verdict.CodeTargetLost)
}

type answerStream struct {
	ctx      context.Context
	cancel   context.CancelFunc
	body     io.ReadCloser
	head     port.AnswerHead
	buf      []byte
	finalErr error
}

func newAnswerStream(ctx context.Context, cancel context.CancelFunc, resp *http.Response, id fleet.RequestID) *answerStream {
	return &answerStream{
		ctx: ctx, cancel: cancel, body: resp.Body, buf: make([]byte, readBytes),
		head: port.AnswerHead{ID: id, ContentType: resp.Header.Get("Content-Type"), Status: resp.StatusCode},
	}
}

// Head implements port.Answer. Its ID is that of the request: a connection carries
// one call at a time, so the response belongs to the call that was sent on it.
func (a *answerStream) Head() port.AnswerHead { return a.head }

// Next implements port.Answer.
func (a *answerStream) Next() ([]byte, error) {
	if a.finalErr != nil {
		return nil, a.finalErr
	}
	n, err := a.body.Read(a.buf)
	if err != nil && err != io.EOF {
		err = sendError(a.ctx, errors.Wrap(err, "reading the service's answer"))
	}
	a.finalErr = err
	if n > 0 {
		return a.buf[:n], nil
	}
	return nil, err
}

// Close implements port.Answer.
func (a *answerStream) Close() error {
	a.cancel()
	return a.body.Close()
}
