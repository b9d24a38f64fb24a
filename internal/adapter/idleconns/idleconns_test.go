package idleconns

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestIdleLimit guards against connections that stay open for ever, against ones
// that are closed while a request is in progress, and against a limit that does
// not follow the operators' change.
func TestIdleLimit(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(80 * time.Millisecond))
	l := New(func() time.Duration { return time.Duration(limit.Load()) })
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	srv.Config.ConnState = l.Follow
	srv.Start()
	defer srv.Close()
	closedAfter := func() time.Duration {
		c, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		b := make([]byte, 4096)
		if n, err := c.Read(b); err != nil || !strings.Contains(string(b[:n]), "ok") {
			t.Fatalf("answer %q, %v", b[:n], err)
		}
		start := time.Now()
		_ = c.SetReadDeadline(start.Add(2 * time.Second))
		_, _ = c.Read(b)
		return time.Since(start)
	}
	if d := closedAfter(); d < 60*time.Millisecond || d > 300*time.Millisecond {
		t.Errorf("closed after %v, the limit is 80 ms", d)
	}
	limit.Store(int64(500 * time.Millisecond))
	if d := closedAfter(); d < 400*time.Millisecond || d > 900*time.Millisecond {
		t.Errorf("closed after %v, the limit is 500 ms", d)
	}
}
