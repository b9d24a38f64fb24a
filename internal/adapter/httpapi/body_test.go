package httpapi

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

// TestCutBodyIsRefused guards against a request that runs with a part of its body because its caller ended the
// connection in the middle of a chunk, or before the last one.
func TestCutBodyIsRefused(t *testing.T) {
	for name, body := range map[string]string{
		"in a chunk":             "5\r\nabcde\r\n5\r\nab",
		"before the last chunk":  "5\r\nabcde\r\n",
		"in the first chunk":     "5\r\nab",
		"after the size of one":  "5\r\nabcde\r\n5\r\n",
		"in the size of a chunk": "5\r\nabcde\r\n1",
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			_, addr := listen(t, defaultConfig, backend(&ran, io.EOF, "a\n"))
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%s: resort\r\nTransfer-Encoding: chunked\r\n\r\n%s", servicePath, headerCustomer, body)
			_ = c.(*net.TCPConn).CloseWrite()
			_ = c.SetReadDeadline(time.Now().Add(closeTime))
			b, err := io.ReadAll(c)
			if s := string(b); err != nil || !strings.HasPrefix(s, "HTTP/1.1 4") || !strings.Contains(s, headerVerdict+": "+verdict.NotRun.String()) {
				t.Errorf("response %q, %v; want a refusal as not run", s, err)
			}
			if ran.Load() != 0 {
				t.Error("the request ran")
			}
		})
	}
}

// TestRefusedCallerIsClosed guards against callers that were refused, whose bodies never end and that keep their
// connections.
func TestRefusedCallerIsClosed(t *testing.T) {
	head := "Host: x\r\n" + headerCustomer + ": resort\r\n"
	for name, request := range map[string]string{
		"no such path":      "POST /nowhere HTTP/1.1\r\n" + head + "Content-Length: 100\r\n\r\nabc",
		"other method":      "PUT " + servicePath + " HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no customer":       "POST " + servicePath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc",
		"chunks over limit": "POST " + servicePath + " HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n" + strings.Repeat("x", 40<<10),
		"length over limit": "POST " + servicePath + " HTTP/1.1\r\n" + head + "Content-Length: 2000\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ran atomic.Int32
			_, addr := listen(t, defaultConfig, backend(&ran, io.EOF, "a\n"))
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, request)
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			b, err := io.ReadAll(c)
			if err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 4") {
				t.Errorf("response %q, %v; want a refusal and the end of the connection", b, err)
			}
		})
	}
}
