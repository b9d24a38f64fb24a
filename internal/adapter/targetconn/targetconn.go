// Package targetconn sends HTTP/1.1 requests to targets over connections that it
// keeps. Unlike net/http's client it never sends a request twice, asks for no
// encoding, and tells whether anything of a request left the process.
package targetconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// dialTimeout bounds the time to open a connection. Targets are at most a
	// few milliseconds away; the first packet may have to be sent again once.
	dialTimeout = 1200 * time.Millisecond
	// unackedTimeout ends a connection on which sent bytes stay unacknowledged.
	unackedTimeout = 1500 * time.Millisecond
	// idleMargin is the part of the announced idle time of a target for which a
	// connection is kept, so that the target does not close it first.
	idleMargin = 0.7
	// idleDefault is the idle time of targets that announce none.
	idleDefault = 4 * time.Second
	// maxStale bounds the answers to earlier requests that are skipped.
	maxStale  = 3
	readBytes = 2 << 10
)

// ErrUnsent means that nothing of the request was sent.
var ErrUnsent = errors.New("nothing of the request was sent")

// Pool keeps idle connections by address.
type Pool struct {
	idle *shard.Map[fleet.Address, []*conn]
	// Owner reports whether an answer belongs to a request. It may be nil.
	Owner func(req *http.Request, res *http.Response) bool
	// Opened is called for each new connection. It may be nil.
	Opened func()
}

// New returns a pool without connections.
func New() *Pool { return &Pool{idle: shard.New[fleet.Address, []*conn](0)} }

type conn struct {
	net.Conn
	r     *bufio.Reader
	until time.Time
	stop  func() bool
}

// Do sends a request once and returns its answer. The end of ctx closes the
// connection, also while the body of the answer is read. The body must be
// closed. An error has ErrUnsent in its chain if the target saw nothing.
func (p *Pool) Do(ctx context.Context, addr fleet.Address, req *http.Request) (*http.Response, error) {
	c, err := p.take(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	w := bufio.NewWriterSize(c, readBytes)
	if err = req.Write(w); err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.drop()
		return nil, errors.Wrap(err, "sending request")
	}
	for range maxStale {
		res, err := http.ReadResponse(c.r, req)
		if err != nil {
			c.drop()
			return nil, errors.Wrap(err, "reading answer")
		}
		if p.Owner == nil || p.Owner(req, res) {
			res.Body = &body{ReadCloser: res.Body, p: p, c: c, addr: addr, res: res}
			return res, nil
		}
		if _, err = io.Copy(io.Discard, res.Body); err != nil {
			break
		}
	}
	c.drop()
	return nil, errors.New("answers belong to other requests")
}

// take returns an idle connection that is still quiet, or opens one.
func (p *Pool) take(ctx context.Context, addr fleet.Address) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, errors.Wrap(unsent{err}, "connecting")
	}
	if p.Opened != nil {
		p.Opened()
	}
	limitSilence(nc)
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBytes)}, nil
}

// unsent marks an error before anything was sent.
type unsent struct{ error }

// Is implements the interface of errors.Is.
func (unsent) Is(target error) bool { return target == ErrUnsent }

func (u unsent) Unwrap() error { return u.error }

// limitSilence makes the kernel end a connection whose other end is gone.
func limitSilence(nc net.Conn) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// Without the option a lost peer is found by the deadlines of requests.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

func (p *Pool) pop(addr fleet.Address) (c *conn) {
	p.idle.Update(addr, func(cs []*conn, _ bool) ([]*conn, bool) {
		if len(cs) == 0 {
			return nil, false
		}
		c = cs[len(cs)-1]
		cs = cs[:len(cs)-1]
		return cs, len(cs) > 0
	})
	return c
}

func (p *Pool) push(addr fleet.Address, c *conn) {
	now := time.Now()
	var old []*conn
	p.idle.Update(addr, func(cs []*conn, _ bool) ([]*conn, bool) {
		for len(cs) > 0 && !now.Before(cs[0].until) {
			old, cs = append(old, cs[0]), cs[1:]
		}
		return append(cs, c), true
	})
	for _, o := range old {
		_ = o.Close()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	var all []*conn
	p.idle.Range(func(_ fleet.Address, cs []*conn) bool {
		all = append(all, cs...)
		return true
	})
	for _, c := range all {
		_ = c.Close()
	}
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it. Bytes that arrive without a request belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (c *conn) drop() {
	if c.stop != nil {
		c.stop()
	}
	_ = c.Close()
}

// body gives the connection back once the answer was read to its end.
type body struct {
	io.ReadCloser
	p    *Pool
	c    *conn
	addr fleet.Address
	res  *http.Response
	done bool
	// closed is set when the connection is given back or closed.
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(x []byte) (int, error) {
	n, err := b.ReadCloser.Read(x)
	b.done = b.done || err == io.EOF
	return n, err
}

// Close implements io.Closer. An answer that was not read to its end closes the
// connection, so that the target stops its work.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.done && b.res.ContentLength == 0 {
		b.done = true
	}
	if !b.done || b.res.Close || !b.c.stop() {
		b.c.drop()
		return nil
	}
	b.c.stop = nil
	b.c.until = time.Now().Add(idleTime(b.res.Header))
	b.p.push(b.addr, b.c)
	return nil
}

// idleTime returns the time for which a connection may be used again.
func idleTime(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil && n > 0 {
			return time.Duration(idleMargin * float64(n) * float64(time.Second))
		}
	}
	return idleDefault
}
