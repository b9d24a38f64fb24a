// Package headerlimit limits the headers of the requests to an HTTP server while they are read. Unlike
// http.Server.MaxHeaderBytes, the limit may change while the server runs.
package headerlimit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrTooLong is the error of a read from a connection whose header is over the limit.
var ErrTooLong = errors.New("header is longer than the limit")

// lingerTime is how long the rest of a header that is over the limit is read and dropped, so that its caller gets
// the response: the kernel resets a connection that is closed with unread bytes.
const lingerTime = 500 * time.Millisecond

// refusal is the response to a header that is over the limit.
var refusal = func() string {
	const status, body = http.StatusRequestHeaderFieldsTooLarge, "too_large: header is longer than the limit\n"
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
}()

// Listener accepts the connections of a server. The server's ConnState hook has to call OnStateChange.
type Listener struct {
	net.Listener
	// Limit returns the most bytes that a request line may have, and that the fields after it may have together,
	// or zero if there is no limit.
	Limit func() int
	// OnRefusal is called after a header was found to be over the limit.
	OnRefusal func()
}

// Accept returns the next connection, which is a *Conn if it is one over TCP.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: t, listener: l}, err
	}
	return c, err
}

// Conn is the connection of a caller.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// mu guards header.
	mu     sync.Mutex
	header header
}

// OnStateChange is the server's ConnState hook. A header begins on a new connection and on an idle one.
func OnStateChange(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*Conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.header = header{reading: state == http.StateNew || state == http.StateIdle}
	}
}

// Read implements net.Conn. If the header is over the limit, it refuses the request and returns ErrTooLong.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.withinLimit(b[:n]) {
		return n, err
	}
	c.listener.OnRefusal()
	c.refuse()
	// net/http sends a response of its own after errors of other types.
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: ErrTooLong}
}

func (c *Conn) withinLimit(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.header.reading {
		return true
	}
	c.header.add(b)
	limit := c.listener.Limit()
	return limit <= 0 || max(c.header.lineBytes, c.header.fieldBytes) <= limit
}

// refuse sends the response and reads on until the caller ends the connection, for lingerTime at most.
func (c *Conn) refuse() {
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.TCPConn, refusal); err != nil {
		return
	}
	_ = c.CloseWrite()
	b := make([]byte, 4<<10)
	for {
		if _, err := c.TCPConn.Read(b); err != nil {
			return
		}
	}
}

// header counts the bytes of a header.
type header struct {
	// reading is set until the empty line after the fields.
	reading bool
	// lineBytes and fieldBytes are the lengths of the request line and of the fields, with the ends of their lines.
	lineBytes, fieldBytes int
	// inFields is set after the request line.
	inFields bool
	// content is set if the current line is not empty, and cr if it began with a carriage return.
	content, cr bool
}

// add counts the next bytes. Those after the header are not counted.
func (h *header) add(b []byte) {
	for _, x := range b {
		switch {
		case !h.reading:
			return
		case !h.content && x == '\n':
			// net/http takes an empty request line for an error.
			h.reading = !h.inFields
			h.cr = false
		case !h.content && !h.cr && x == '\r':
			h.cr = true
		default:
			h.count(x)
		}
	}
}

// count counts a byte of a line that is not empty.
func (h *header) count(x byte) {
	if h.inFields {
		h.fieldBytes++
	} else {
		h.lineBytes++
	}
	h.content = x != '\n'
	if !h.content {
		h.inFields, h.cr = true, false
	}
}
