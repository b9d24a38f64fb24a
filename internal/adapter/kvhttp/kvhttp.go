// Package kvhttp implements port.KV and port.VMList against the platform's
// HTTP interface.
package kvhttp

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

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// callTimeout bounds a call; the service answers in milliseconds.
	callTimeout = 2 * time.Second
	// watchMargin is added to the wait of a watch.
	watchMargin = 2 * time.Second
	// maxValueBytes is the service's limit of a value.
	maxValueBytes = 1 << 20
	revHeader     = "X-Rev"
)

// Client calls the platform.
type Client struct {
	base string
	http *http.Client
	// in and out count the bytes of all connections.
	in, out *atomic.Int64
}

var (
	_ port.KV     = (*Client)(nil)
	_ port.VMList = (*Client)(nil)
)

// New returns a client of the service at addr.
func New(addr fleet.Address) *Client {
	c := &Client{base: "http://" + string(addr), in: &atomic.Int64{}, out: &atomic.Int64{}}
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: c.dial}}
	return c
}

// Traffic returns the bytes sent and received so far.
func (c *Client) Traffic() port.Traffic {
	return port.Traffic{Kind: "platform", In: c.in.Load(), Out: c.out.Load()}
}

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c}, nil
}

type countedConn struct {
	net.Conn
	c *Client
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(int64(n))
	return n, err
}

type reply struct {
	status int
	rev    int64
	body   []byte
}

// call sends one request. An error means that the outcome is unknown. A call
// that gets no answer in time may have used a connection that went silent for
// good. The idle ones are dropped then, since they may be silent as well and
// each would cost a further call its timeout.
func (c *Client) call(
	ctx context.Context, timeout time.Duration, method, path string, q url.Values, body []byte,
) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.send(ctx, method, path, q, body)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
	return r, err
}

func (c *Client) send(ctx context.Context, method, path string, q url.Values, body []byte) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return reply{}, errors.Wrap(err, "building platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, errors.Wrap(err, "calling platform")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return reply{}, errors.Wrap(err, "reading platform answer")
	}
	rev, _ := strconv.ParseInt(resp.Header.Get(revHeader), 10, 64)
	return reply{resp.StatusCode, rev, b}, nil
}

// read maps the result of a call without effect.
func read(r reply, err error) (reply, error) {
	switch {
	case err != nil:
		return r, errors.Wrap(port.ErrUnavailable, err.Error())
	case r.status == http.StatusOK:
		return r, nil
	case r.status == http.StatusNotFound || r.status == http.StatusNoContent:
		return r, port.ErrNotFound
	default:
		return r, errors.Wrapf(port.ErrUnavailable, "status %d", r.status)
	}
}

// write maps the result of a call with an effect. Only an explicit refusal, or
// a connection that was never made, says that there was none.
func write(r reply, err error) (reply, error) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return r, errors.Wrap(port.ErrUnavailable, err.Error())
	case err != nil:
		return r, errors.Wrap(port.ErrUnknownOutcome, err.Error())
	case r.status == http.StatusOK:
		return r, nil
	case r.status == http.StatusConflict:
		return r, port.ErrConflict
	case r.status == http.StatusNotFound:
		return r, port.ErrNotFound
	case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
		return r, errors.Wrapf(port.ErrUnavailable, "status %d", r.status)
	default:
		return r, errors.Wrapf(port.ErrUnknownOutcome, "status %d", r.status)
	}
}

func keyPath(key string) string { return "/v1/kv/" + (&url.URL{Path: key}).EscapedPath() }

// Get implements port.KV.
func (c *Client) Get(ctx context.Context, key string) (port.KVEntry, error) {
	r, err := read(c.call(ctx, callTimeout, http.MethodGet, keyPath(key), nil, nil))
	if err != nil {
		return port.KVEntry{}, err
	}
	return port.KVEntry{Key: key, Value: r.body, Rev: r.rev}, nil
}

// Watch implements port.KV.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (port.KVEntry, error) {
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {wait.String()}}
	r, err := read(c.call(ctx, wait+watchMargin, http.MethodGet, keyPath(key), q, nil))
	if err != nil {
		return port.KVEntry{}, err
	}
	return port.KVEntry{Key: key, Value: r.body, Rev: r.rev}, nil
}

// CompareAndSwap implements port.KV.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, rev int64, value []byte, lease port.LeaseID,
) (int64, error) {
	q := url.Values{"rev": {strconv.FormatInt(rev, 10)}}
	if lease != port.NoLease {
		q.Set("lease", string(lease))
	}
	r, err := write(c.call(ctx, callTimeout, http.MethodPut, keyPath(key), q, value))
	return r.rev, err
}

// Delete implements port.KV.
func (c *Client) Delete(ctx context.Context, key string, rev int64) error {
	q := url.Values{"rev": {strconv.FormatInt(rev, 10)}}
	_, err := write(c.call(ctx, callTimeout, http.MethodDelete, keyPath(key), q, nil))
	return err
}

// Grant implements port.KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	r, err := write(c.call(ctx, callTimeout, http.MethodPost, "/v1/leases", url.Values{"ttl": {ttl.String()}}, nil))
	return port.LeaseID(r.body), err
}

// KeepAlive implements port.KV.
func (c *Client) KeepAlive(ctx context.Context, id port.LeaseID) error {
	_, err := write(c.call(ctx, callTimeout, http.MethodPut, "/v1/leases/"+string(id), nil, nil))
	return err
}

// Revoke implements port.KV.
func (c *Client) Revoke(ctx context.Context, id port.LeaseID) error {
	_, err := write(c.call(ctx, callTimeout, http.MethodDelete, "/v1/leases/"+string(id), nil, nil))
	return err
}

type vmLine struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// VMs implements port.VMList.
func (c *Client) VMs(ctx context.Context) ([]port.VMRecord, error) {
	r, err := read(c.call(ctx, callTimeout, http.MethodGet, "/v1/vms", nil, nil))
	if err != nil {
		return nil, err
	}
	var lines []vmLine
	if err := json.Unmarshal(r.body, &lines); err != nil {
		return nil, errors.Wrap(err, "decoding list of VMs")
	}
	out := make([]port.VMRecord, 0, len(lines))
	for _, l := range lines {
		out = append(out, port.VMRecord{VM: fleet.VM(l.Name), Domain: fleet.Domain(l.Domain), State: port.VMState(l.State)})
	}
	return out, nil
}
