package straytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Exchange is a call of a client and the whole response to it.
type Exchange struct {
	// Head is the status line and the header lines of the response, each with its end.
	Head, Body string
	// Call makes the call, on a new connection, and returns what the client makes of the
	// response.
	Call func(fleet.Address) (string, error)
	// HeadIsEnough means that the status decides the call.
	HeadIsEnough bool
	// EndsItself means that the body shows whether it is whole.
	EndsItself bool
	// TakesAnyEnd means that the client takes a body without a length as complete
	// wherever the connection ends.
	TakesAnyEnd bool
}

const (
	// secondHead is what a server sends that fails within a response.
	secondHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	interim    = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
)

// cut is a response that breaks off.
type cut struct {
	sent   string
	resets bool
}

// CheckCuts calls a server that breaks off the response, with a length, chunked, without a
// length, and without a length after an interim response, at each byte, by a regular close
// and by a reset. It also sends the head of a second response where it breaks off within the
// head. The client may return a result for a whole response only.
func CheckCuts(t *testing.T, x Exchange) {
	t.Helper()
	var next atomic.Pointer[cut]
	addr := startOnce(t, &next)
	next.Store(&cut{sent: x.Head + lengthLine(x) + x.Body})
	want, err := x.Call(addr)
	if err != nil {
		t.Fatalf("whole response: %v", err)
	}
	for framing, r := range map[string]struct{ head, body string }{
		"length": {x.Head + lengthLine(x), x.Body}, "chunked": {x.Head + "Transfer-Encoding: chunked\r\n\r\n", chunks(x.Body)},
		"no length": {x.Head + "\r\n", x.Body}, "interim": {interim + x.Head + "\r\n", x.Body},
	} {
		delimited := framing == "length" || framing == "chunked"
		raw := r.head + r.body
		check := func(at int, c cut, isWhole bool) {
			next.Store(&c)
			got, err := x.Call(addr)
			if err == nil && (got != want && !(x.TakesAnyEnd && !delimited) || !isWhole) {
				t.Errorf("%s, %d of %d bytes (head %d), sent %q, reset %v: %q is taken as complete", framing, at, len(raw), len(r.head), c.sent, c.resets, got)
			}
		}
		for at := range len(raw) {
			mayEnd := at >= len(r.head) && (x.HeadIsEnough || x.EndsItself || !delimited)
			check(at, cut{sent: raw[:at]}, mayEnd)
			check(at, cut{sent: raw[:at], resets: true}, mayEnd && (x.HeadIsEnough || x.EndsItself))
			if at > 0 && at < len(r.head) && raw[:at] != interim {
				check(at, cut{sent: raw[:at] + secondHead}, false)
			}
		}
	}
}

// chunks returns a body in two chunks.
func chunks(body string) string {
	half := len(body) / 2
	out := ""
	for _, c := range []string{body[:half], body[half:]} {
		if c != "" {
			out += fmt.Sprintf("%x\r\n%s\r\n", len(c), c)
		}
	}
	return out + "0\r\n\r\n"
}

func lengthLine(x Exchange) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", len(x.Body)) }

// startOnce starts a server that answers each connection once.
func startOnce(t *testing.T, next *atomic.Pointer[cut]) fleet.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		x := next.Load()
		_, _ = io.WriteString(c, x.sent)
		if t, ok := c.(*net.TCPConn); ok && x.resets {
			_ = t.SetLinger(0)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serve(c)
		}
	}()
	return fleet.Address(l.Addr().String())
}
