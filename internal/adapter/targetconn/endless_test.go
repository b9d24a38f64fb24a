package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// floodBytes is the most that a target of these tests sends. It ends the tests
	// also if the client has no bound.
	floodBytes = 64 << 20
	// socketBytes is an allowance for what the kernel's socket buffers hold.
	socketBytes = 8 << 20
	// floodWait is the deadline of a request to such a target.
	floodWait = 1500 * time.Millisecond
)

// flood sends begin, then piece again and again, until the client closes the
// connection or floodBytes are sent. It returns the number of bytes sent. A client that
// keeps the connection without reading it ends the flood by its deadline.
func flood(c net.Conn, begin, piece string) int64 {
	_ = c.SetWriteDeadline(time.Now().Add(floodWait + 200*time.Millisecond))
	n, err := io.WriteString(c, begin)
	sent := int64(n)
	block := strings.Repeat(piece, 64<<10/len(piece)+1)
	for err == nil && sent < floodBytes {
		n, err = io.WriteString(c, block)
		sent += int64(n)
	}
	return sent
}

// startFlood starts a target that answers each request with a flood. It returns the
// number of bytes of each.
func startFlood(t *testing.T, begin, piece string) (fleet.Address, <-chan int64) {
	t.Helper()
	sent := make(chan int64, 10)
	addr := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			sent <- flood(c, begin, piece)
		}
	})
	return addr, sent
}

// checkFlood sends a request to a target that floods. The request must end with
// ErrMalformedResponse, and the connection must be closed after about limit bytes.
func checkFlood(t *testing.T, begin, piece string, limit int64) {
	t.Helper()
	addr, sent := startFlood(t, begin, piece)
	ctx, cancel := context.WithTimeout(context.Background(), floodWait)
	defer cancel()
	p := newPool()
	_, err := get(ctx, p, addr, "1")
	if !errors.Is(err, ErrMalformedResponse) || errors.Is(err, ErrNotSent) {
		t.Errorf("error %.120v", err)
	}
	if n := <-sent; n > limit+socketBytes {
		t.Errorf("the target sent %d bytes, want at most %d and %d in socket buffers", n, limit, socketBytes)
	}
	if p.pop(addr) != nil {
		t.Error("the connection was pooled")
	}
}

// TestHeadIsBounded guards against a head without end that fills the memory or is
// read until the deadline.
func TestHeadIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ begin, piece string }{
		"status line":    {"", "x"},
		"status text":    {"HTTP/1.1 200 ", "x"},
		"field name":     {"HTTP/1.1 200 OK\r\n", "x"},
		"field value":    {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"spaces":         {"HTTP/1.1 200 OK\r\nA: b\r\n", " "},
		"continued line": {"HTTP/1.1 200 OK\r\nA: b\r\n", " x\r\n"},
		"fields":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) { checkFlood(t, c.begin, c.piece, maxHeadBytes) })
	}
}

// TestHeadWithinBoundIsAccepted guards against a bound that also counts the body, or
// cuts off a head that is just as long as allowed.
func TestHeadWithinBoundIsAccepted(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 131072\r\nA: "
	head += strings.Repeat("x", maxHeadBytes-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
	body := strings.Repeat("y", 128<<10)
	addr := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, head+body)
		}
	})
	p := newPool()
	for range 2 {
		if got, err := get(context.Background(), p, addr, "1"); err != nil || got != body {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	}
}

// TestSlowHeadEndsWithContext guards against a head that arrives line by line and
// holds the request after its context has ended.
func TestSlowHeadEndsWithContext(t *testing.T) {
	closed := make(chan struct{})
	addr := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer close(closed)
		_, _ = http.ReadRequest(r)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(c, "A: b\r\n")
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := get(ctx, newPool(), addr, "1")
	if d := time.Since(start); err == nil || errors.Is(err, ErrMalformedResponse) || d > time.Second {
		t.Errorf("error %v after %v", err, d)
	}
	<-closed
}

// TestMalformedHead guards against bytes that are not a response being reported as a
// lost connection, against a lost connection being reported as such bytes, and
// against an error text that quotes all of them.
func TestMalformedHead(t *testing.T) {
	for sent, malformed := range map[string]bool{
		"hello\r\n\r\n": true,
		strings.Repeat("x", maxHeadBytes/2) + "\r\n\r\n":                            true,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("\x01", maxHeadBytes/2) + "\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n":                              true,
		// The gateway cannot pass on a status below 100: net/http's server panics.
		"HTTP/1.1 +12 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n": true,
		"":                         false,
		"HTTP/1.1 20":              false,
		"HTTP/1.1 200 OK\r\nReque": false,
	} {
		addr := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, sent)
		})
		_, err := get(context.Background(), newPool(), addr, "1")
		if err == nil || errors.Is(err, ErrMalformedResponse) != malformed || len(err.Error()) > 300 {
			t.Errorf("%.60q: malformed %v, want %v: %.300v", sent, errors.Is(err, ErrMalformedResponse), malformed, err)
		}
	}
}

// TestInterimResponsesAreSkipped guards against an interim response that is returned
// as the response to the request.
func TestInterimResponsesAreSkipped(t *testing.T) {
	for _, interim := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nRequest-Id: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nRequest-Id: 1\r\nLink: </a>\r\n\r\n",
		"HTTP/1.1 199 Other\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 102 Processing\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		addr := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, interim+interim+encodedResponse("1", "ok"))
			}
		})
		p := newPool()
		for range 2 {
			if body, err := get(context.Background(), p, addr, "1"); err != nil || body != "ok" {
				t.Errorf("%q: %q, %v", interim, body, err)
			}
		}
	}
}

// TestSwitchedProtocol guards against a switch to another protocol, which no request
// asks for, being returned as a response.
func TestSwitchedProtocol(t *testing.T) {
	checkFlood(t, "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: 1\r\nUpgrade: x\r\n\r\n", "x", maxHeadBytes)
}

// TestInterimResponsesAreBounded guards against interim responses without end, and
// against one whose head has no end.
func TestInterimResponsesAreBounded(t *testing.T) {
	one := "HTTP/1.1 102 Processing\r\nRequest-Id: 1\r\n"
	for name, c := range map[string]struct{ begin, piece string }{
		"many": {"", one + "\r\n"}, "long": {one + "\r\n" + one, "A: b\r\n"},
		"chunked": {"", one + "Transfer-Encoding: chunked\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) { checkFlood(t, c.begin, c.piece, (maxInterimResponses+1)*maxHeadBytes) })
	}
}

// TestSkippedResponsesAreBounded guards against a response to another request that
// has no end, which was read until the deadline.
func TestSkippedResponsesAreBounded(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n"
	for name, c := range map[string]struct{ begin, piece string }{
		"length":     {other + "Content-Length: 99999999999\r\n\r\n", "x"},
		"chunks":     {other + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
		"connection": {other + "\r\n", "x"},
		"many":       {"", other + "Content-Length: 2\r\n\r\nok"},
		"trailer":    {other + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) { checkFlood(t, c.begin, c.piece, maxSkippedBytes+maxResponsesRead*maxHeadBytes) })
	}
}

// TestLongResponseAfterSkippedOne guards against a bound on skipped responses that cuts
// off the response of the request itself.
func TestLongResponseAfterSkippedOne(t *testing.T) {
	body := strings.Repeat("y", 2*maxSkippedBytes)
	addr := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nConnection: close\r\n\r\n"+body)
	})
	if got, err := get(context.Background(), newPool(), addr, "1"); err != nil || got != body {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// TestChunkFramingIsBounded guards against bytes between the chunks of a body that
// have no end: the reader of a body cannot bound what it never gets.
func TestChunkFramingIsBounded(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ begin, piece string }{
		"size":           {head, "0"},
		"extension":      {head + "5;", "x"},
		"extensions":     {head, "1;" + strings.Repeat("x", 200) + "\r\nx\r\n"},
		"no line end":    {head + "5\r\nhello", "x"},
		"trailer line":   {head + "0\r\nA: ", "x"},
		"trailer lines":  {head + "0\r\n", "A: b\r\n"},
		"trailer spaces": {head + "0\r\nA: b\r\n", " "},
		"continued":      {head + "0\r\nA: b\r\n", " x\r\n"},
	} {
		t.Run(name, func(t *testing.T) { checkFlood(t, c.begin, c.piece, maxHeadBytes) })
	}
}

// endlessConn is a connection without end.
type endlessConn struct{ net.Conn }

func (endlessConn) Read(b []byte) (int, error) { return len(b), nil }

// TestReadDoesNotAllocate guards against an allocation in each read of a stream.
func TestReadDoesNotAllocate(t *testing.T) {
	c, b := &conn{Conn: endlessConn{}, quota: 1 << 40}, make([]byte, 1<<10)
	if n := testing.AllocsPerRun(100, func() { _, _ = c.Read(b) }); n != 0 {
		t.Errorf("%v allocations in each read", n)
	}
}
