package httpapi

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

// dialRaw sends a part of a request on a new connection.
func dialRaw(t *testing.T, addr, part string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, part); err != nil {
		t.Fatal(err)
	}
	return c
}

// unfinishedCall returns a call of a service whose body does not end.
func unfinishedCall(framing, start string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: resort\r\n%s\r\n\r\n%s", servicePath, headerCustomer, framing, start)
}

// TestUnfinishedRequestMakesRoom guards against callers that never end their requests and keep all connections, and
// against the loss of such a request without a verdict.
func TestUnfinishedRequestMakesRoom(t *testing.T) {
	const limit = 20
	cfg := defaultConfig
	cfg.MaxConnections = limit
	var ran atomic.Int32
	api, addr := listen(t, cfg, backend(&ran, io.EOF, "a\n"))
	first := dialRaw(t, addr, unfinishedCall("Content-Length: 100", "abc"))
	waitUntil(t, "the body is read", func() bool { return api.BytesHeld() == 100 })
	for range limit - 1 {
		dialRaw(t, addr, "POST / HTTP/1.1\r\n")
	}
	waitUntil(t, "all connections are open", func() bool { return api.Connections() == limit })
	waitUntil(t, "a request is served", func() bool {
		res, _, err := post(t, addr, servicePath, "{}")
		return err == nil && res.StatusCode == http.StatusCreated
	})
	b, err := io.ReadAll(first)
	if s := string(b); err != nil || !strings.HasPrefix(s, "HTTP/1.1 503") || !strings.Contains(s, headerVerdict+": "+verdict.NotRun.String()) {
		t.Errorf("the request that was given up got %q, %v; want a refusal as not run", s, err)
	}
}

// TestRequestsInProgressKeepConnections guards against a request that has arrived and loses its connection to a new
// one, and against more open connections than the limit and those that are refused.
func TestRequestsInProgressKeepConnections(t *testing.T) {
	const limit, refused = 20, 20 / refusalShare
	cfg := defaultConfig
	cfg.MaxConnections = limit
	var closed atomic.Int32
	api, addr := listen(t, cfg, endless(&closed))
	for range limit {
		sendWithoutReading(t, addr)
	}
	waitUntil(t, "all requests are in progress", func() bool { return api.BytesHeld() >= limit*openAnswerBytes })
	for range 3 * refused {
		c := dialRaw(t, addr, "POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		b, err := io.ReadAll(c)
		if s := string(b); err == nil && len(s) > 0 && (!strings.HasPrefix(s, "HTTP/1.1 503") || !strings.Contains(s, headerVerdict+": "+verdict.NotRun.String())) {
			t.Errorf("response %q; want a refusal as not run", s)
		}
		if n := api.Connections(); n > limit+refused {
			t.Errorf("%d connections are open; the limit is %d, and %d to refuse", n, limit, refused)
		}
	}
	if closed.Load() != 0 {
		t.Errorf("%d requests in progress have ended", closed.Load())
	}
}
