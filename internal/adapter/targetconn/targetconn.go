// Package targetconn sends HTTP/1.1 requests to targets over pooled connections.
// Unlike net/http's client it never retries a request, does not request an encoding,
// and reports whether any part of a request was sent.
package targetconn

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/masticwing/masticwing/internal/adapter/boundedhttp"
	"github.com/masticwing/masticwing/internal/adapter/tcpreset"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/response"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// dialTimeout limits the time to open a connection. The round trip to targets
	// is at most a few milliseconds; the timeout allows for one retransmission of
	// the first packet.
	dialTimeout = 1200 * time.Millisecond
	// unackedTimeout is the time after which the kernel closes a connection if
	// sent data is not acknowledged.
	unackedTimeout = 1500 * time.Millisecond
	// idleFraction is the fraction of a target's announced keep-alive timeout for
	// which an idle connection is kept, so that the target does not close it first.
	idleFraction = 0.7
	// defaultIdleTime is for targets that announce no keep-alive timeout.
	defaultIdleTime = 4 * time.Second
	// maxKeepAliveSeconds bounds an announced timeout, which may be too large for a
	// duration. No connection is idle for that long while there are requests.
	maxKeepAliveSeconds = 600
	// maxResponsesRead limits the responses that are read to find that of the
	// request. Those to earlier requests are skipped.
	maxResponsesRead = 3
	// maxSkippedBytes limits the body of such a response, with the bytes of its
	// encoding. The gateway accepts plain responses of up to 1 MiB.
	maxSkippedBytes = 1 << 20
	bufferBytes     = 2 << 10
	// maxHeadBytes limits the head of a response. Those of targets have a few hundred
	// bytes; http.ReadResponse has no limit of its own.
	maxHeadBytes = 16 << 10
	// maxInterimResponses limits the interim responses (1xx) that are skipped before a
	// response. Servers send few of them; net/http's client had the same limit.
	maxInterimResponses = 5
	// maxErrorBytes limits the text of an error, since those of net/http quote what
	// the target sent.
	maxErrorBytes = 200
	// minStatus is the lowest status of a response. net/http reads lower ones, such as
	// "000", but its server panics when it is to send them.
	minStatus = 100
)

// ErrNotSent means that no part of the request was sent.
var ErrNotSent = errors.New("no part of the request was sent")

// ErrMalformedResponse means that the target sent bytes that are not a response to the
// request, or exceed the limits of this package. The request may have run.
var ErrMalformedResponse = errors.New("target sent no well-formed response")

// ErrTooManyConnections means that no further connection may be opened, and none is idle that could
// be closed for it. It matches ErrNotSent.
var ErrTooManyConnections error = notSentError{errors.New("too many connections")}

// ErrWithdrawn means that the sender has withdrawn the request before any part of it was sent. It matches
// ErrNotSent.
var ErrWithdrawn error = notSentError{errors.New("request was withdrawn")}

// errHeadTooLong ends a head that exceeds its limit.
var errHeadTooLong = malformed(errors.Errorf("head of a response is longer than %d bytes", maxHeadBytes))

// errSkippedTooLong ends a skipped response that exceeds its limit.
var errSkippedTooLong = malformed(errors.Errorf("response to another request is longer than %d bytes", maxSkippedBytes))

// errTwoHeads ends a head with the status line of another response in it.
var errTwoHeads = malformed(boundedhttp.ErrTwoHeads)

// errDrainTooLong ends a body that exceeds the limit of Drain.
var errDrainTooLong = malformed(errors.New("rest of a response is longer than its limit"))

// Pool sends requests and keeps idle connections by address.
type Pool struct {
	idle *shard.Map[fleet.Address, []*conn]
	// MatchesRequest reports whether a response belongs to a request. reused means that
	// the connection has carried another request before. If it is nil, every response
	// does.
	MatchesRequest func(req *http.Request, res *http.Response, reused bool) bool
	// OnOpen is called for each new connection. It may be nil.
	OnOpen func()
	// Limits bounds the open connections.
	Limits Limits
	// total is the number of open connections, and open counts them by address.
	total atomic.Int64
	open  *shard.Map[fleet.Address, int]
}

// Limits bounds the connections that are open, idle or not. Zero means no limit.
type Limits struct{ Total, PerTarget int }

// New returns a pool without connections.
func New() *Pool {
	return &Pool{idle: shard.New[fleet.Address, []*conn](0), open: shard.New[fleet.Address, int](0)}
}

// conn is a connection to a target. It limits the bytes that are read for a part of a
// response, beneath the buffer, so that no line or field is held before it is limited.
type conn struct {
	net.Conn
	r *bufio.Reader
	// quota is the number of bytes that Read may still return before it fails with
	// quotaErr. The buffer may hold bytes of the next part, so that a part can be
	// longer than its limit by up to bufferBytes.
	quota    int64
	quotaErr error
	// head scans what Read returns, up to the end of a head.
	head response.HeadScanner
	// readErr is the last error of Read. It distinguishes a lost connection from bytes
	// that are not a response.
	readErr error
	// reused is set once a response was read, so that the next request is not the first.
	reused               bool
	idleSince, expiresAt time.Time
	// release returns the connection's place in the limits.
	release func()
	// stopCancel unregisters the function that aborts the connection at the end of ctx.
	stopCancel func() bool
}

// Do sends a request once and returns its response. The end of ctx aborts the
// request, also while the body of the response is read. The caller must close the
// body. An error matches ErrNotSent if no part of the request was sent. maySend is asked once
// the connection is open; if it returns false, the request is not sent and the error is ErrWithdrawn. It
// may be nil.
func (p *Pool) Do(ctx context.Context, addr fleet.Address, req *http.Request, maySend func() bool) (*http.Response, error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return nil, err
	}
	return p.send(ctx, addr, c, req, maySend)
}

// DoOnNew is like Do, but opens a connection, on which every response belongs to the
// request. The connection must be open within a time, unless that is zero.
func (p *Pool) DoOnNew(ctx context.Context, addr fleet.Address, req *http.Request, connectWithin time.Duration, maySend func() bool) (*http.Response, error) {
	c, err := p.dial(ctx, addr, connectWithin)
	if err != nil {
		return nil, err
	}
	return p.send(ctx, addr, c, req, maySend)
}

// send sends a request on c, which it closes if there is no response.
func (p *Pool) send(ctx context.Context, addr fleet.Address, c *conn, req *http.Request, maySend func() bool) (*http.Response, error) {
	if maySend != nil && !maySend() {
		_ = c.Close()
		return nil, ErrWithdrawn
	}
	c.stopCancel = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	w := bufio.NewWriterSize(c, bufferBytes)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.discard()
		return nil, errors.Wrap(err, "sending request")
	}
	res, err := c.readResponse(req, p.MatchesRequest)
	if err != nil {
		c.discard()
		return nil, errors.Wrap(err, "reading response")
	}
	res.Body = &responseBody{ReadCloser: res.Body, p: p, c: c, addr: addr, res: res}
	return res, nil
}

// acquire returns a usable idle connection, or opens one.
func (p *Pool) acquire(ctx context.Context, addr fleet.Address) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.expiresAt) && c.isQuiet() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, addr, 0)
}

// dial opens a connection within a time, or within dialTimeout if that is zero.
func (p *Pool) dial(ctx context.Context, addr fleet.Address, within time.Duration) (*conn, error) {
	release, err := p.reserve(addr)
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: dialTimeout}
	if within > 0 {
		d.Timeout = min(d.Timeout, within)
	}
	nc, err := d.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		release()
		return nil, errors.Wrap(notSentError{err}, "connecting")
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	setUserTimeout(nc)
	c := &conn{Conn: nc, release: release}
	c.r = bufio.NewReaderSize(c, bufferBytes)
	return c, nil
}

// Read implements io.Reader within the quota. The bufio.Reader may report a line that
// ends with an error as a complete one, so an exceeded quota stays exceeded.
func (c *conn) Read(b []byte) (int, error) {
	if c.quota <= 0 {
		c.readErr = c.quotaErr
		return 0, c.readErr
	}
	if int64(len(b)) > c.quota {
		b = b[:c.quota]
	}
	n, err := c.Conn.Read(b)
	c.quota -= int64(n)
	if c.head.Push(b[:n]) {
		c.quota, c.quotaErr, c.readErr = 0, errTwoHeads, errTwoHeads
		return 0, errTwoHeads
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// readResponse reads the head of the response to req. It skips responses that do not
// match, unless matches is nil.
func (c *conn) readResponse(req *http.Request, matches func(*http.Request, *http.Response, bool) bool) (*http.Response, error) {
	for range maxResponsesRead {
		res, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if matches == nil || matches(req, res, c.reused) {
			return res, nil
		}
		if !endIsKnown(req, res) {
			return nil, malformed(errors.New("response to another request has no known end"))
		}
		c.quota, c.quotaErr = maxSkippedBytes, errSkippedTooLong
		if _, err = io.Copy(io.Discard, res.Body); err != nil {
			return nil, c.responseError(err)
		}
	}
	return nil, malformed(errors.Errorf("%d responses to other requests", maxResponsesRead))
}

// endIsKnown reports whether another response may follow a response to another request
// than req. Only the end of the connection ends one without a length. Whether one has a
// body depends on its own request if a response to req has none.
func endIsKnown(req *http.Request, res *http.Response) bool {
	return req.Method != http.MethodHead && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
}

// readHead reads the head of the next response. It skips interim responses, which have
// no body.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		c.quota, c.quotaErr = maxHeadBytes, errHeadTooLong
		if err := c.beginHead(); err != nil {
			return nil, err
		}
		res, err := http.ReadResponse(c.r, req)
		switch {
		case err != nil:
			return nil, c.responseError(err)
		case res.StatusCode < minStatus, res.StatusCode >= http.StatusOK && !boundedhttp.StatusIsValid(res.StatusCode), res.StatusCode == http.StatusSwitchingProtocols:
			// No request asks for another protocol.
			return nil, malformed(errors.Errorf("response has the status %d", res.StatusCode))
		case res.StatusCode >= http.StatusOK:
			c.quota = math.MaxInt64
			return res, nil
		}
	}
	return nil, malformed(errors.Errorf("more than %d interim responses", maxInterimResponses))
}

// beginHead starts the scan of a head, of which the buffer may hold a part.
func (c *conn) beginHead() error {
	c.head = response.HeadScanner{}
	buffered, err := c.r.Peek(c.r.Buffered())
	if err == nil && c.head.Push(buffered) {
		err = errTwoHeads
	}
	return err
}

// Drain reads the rest of a response of Pool.Do and closes its body, so that the
// connection can be used again. If the body does not end within maxBytes, with the bytes
// of its encoding, and within the timeout, the connection is closed instead.
func Drain(res *http.Response, maxBytes int64, timeout time.Duration) {
	b, ok := res.Body.(*responseBody)
	if !ok || b.closed || res.Close {
		_ = res.Body.Close()
		return
	}
	b.c.quota, b.c.quotaErr = maxBytes, errDrainTooLong
	// If ctx ends at the same time, this replaces its deadline; Close then finds that
	// ctx has ended and closes the connection.
	err := b.c.SetReadDeadline(time.Now().Add(timeout))
	if err == nil {
		_, err = io.Copy(io.Discard, b)
	}
	if err == nil {
		err = b.c.SetReadDeadline(time.Time{})
	}
	if err != nil {
		b.closed = true
		b.c.discard()
		return
	}
	_ = b.Close()
}

// responseError returns the cause of an error of net/http while it read a response:
// that of the connection if there is one, and otherwise the bytes received.
func (c *conn) responseError(err error) error {
	switch {
	case c.readErr == nil:
		return malformed(err)
	case c.readErr == io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return c.readErr
	}
}

// malformedError is an error that matches ErrMalformedResponse.
type malformedError struct{ error }

// Is implements the interface of errors.Is.
func (malformedError) Is(target error) bool { return target == ErrMalformedResponse }

// malformed returns an error that matches ErrMalformedResponse, with a bounded text.
func malformed(err error) error {
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes] + "..."
	}
	return malformedError{errors.New(text)}
}

// notSentError is an error that matches ErrNotSent.
type notSentError struct{ error }

// Is implements the interface of errors.Is.
func (notSentError) Is(target error) bool { return target == ErrNotSent }

func (u notSentError) Unwrap() error { return u.error }

// setUserTimeout makes the kernel close a connection whose peer has gone.
func setUserTimeout(nc net.Conn) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// An error is ignored: without the option, requests to a lost peer fail
		// at their deadlines.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// isQuiet reports whether an idle connection is open and has no unread data. Data
// that arrived while no request was in progress belongs to no request, so such a
// connection is not used again.
func (c *conn) isQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = e == unix.EAGAIN
		return true
	})
	return err == nil && isQuiet
}

// Close closes the connection and returns its place in the limits.
func (c *conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// discard resets the connection of a request that is given up.
func (c *conn) discard() {
	if c.stopCancel != nil {
		c.stopCancel()
	}
	c.release()
	tcpreset.Close(c.Conn)
}

// responseBody returns the connection to the pool after a complete response was
// read.
type responseBody struct {
	io.ReadCloser
	p        *Pool
	c        *conn
	addr     fleet.Address
	res      *http.Response
	complete bool
	// closed is set by Close, which returns the connection to the pool or closes it.
	closed bool
}

// Read implements io.Reader. It has no limit of bytes, but net/http's reader limits those
// between the chunks of a body. A malformed body matches ErrMalformedResponse.
func (b *responseBody) Read(x []byte) (int, error) {
	n, err := b.ReadCloser.Read(x)
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil:
		err = b.c.responseError(err)
	}
	return n, err
}

// Close implements io.Closer. If the response was not read completely, it closes
// the connection, so that the target cancels the request.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.complete && b.res.ContentLength == 0 {
		b.complete = true
	}
	if !b.complete || b.res.Close || !b.c.stopCancel() {
		b.c.discard()
		return nil
	}
	b.c.stopCancel, b.c.reused = nil, true
	b.c.idleSince = time.Now()
	b.c.expiresAt = b.c.idleSince.Add(keepAliveTime(b.res.Header))
	b.p.push(b.addr, b.c)
	return nil
}

// keepAliveTime returns the time for which an idle connection is kept, given the
// headers of the last response.
func keepAliveTime(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil && n > 0 {
			return time.Duration(idleFraction * float64(min(n, maxKeepAliveSeconds)) * float64(time.Second))
		}
	}
	return defaultIdleTime
}
