package callerconns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/eviction"
)

// TestIdleTimeout guards against idle connections that stay open forever, against
// connections that are closed while a request is in progress, and against a changed
// timeout that has no effect.
func TestIdleTimeout(t *testing.T) {
	var idleTimeout atomic.Int64
	idleTimeout.Store(int64(80 * time.Millisecond))
	l := New(func() time.Duration { return time.Duration(idleTimeout.Load()) })
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	srv.Config.ConnState = l.OnStateChange
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
			t.Fatalf("response %q, %v", b[:n], err)
		}
		start := time.Now()
		_ = c.SetReadDeadline(start.Add(2 * time.Second))
		_, _ = c.Read(b)
		return time.Since(start)
	}
	if d := closedAfter(); d < 60*time.Millisecond || d > 300*time.Millisecond {
		t.Errorf("closed after %v, the timeout is 80 ms", d)
	}
	idleTimeout.Store(int64(500 * time.Millisecond))
	if d := closedAfter(); d < 400*time.Millisecond || d > 900*time.Millisecond {
		t.Errorf("closed after %v, the timeout is 500 ms", d)
	}
}

// TestOpenConnectionsAreCounted guards against a count that drifts, and against closing a connection with
// a request in progress in place of an idle one.
func TestOpenConnectionsAreCounted(t *testing.T) {
	l := New(func() time.Duration { return time.Minute })
	busy := make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			<-busy
		}
		_, _ = io.WriteString(w, "ok")
	}))
	srv.Config.ConnState = l.OnStateChange
	srv.Start()
	defer srv.Close()
	defer close(busy)
	dial := func(path string) net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if path != "/busy" {
			_, _ = c.Read(make([]byte, 4096))
		}
		return c
	}
	await := func(n int) {
		t.Helper()
		for start := time.Now(); l.Open() != n; time.Sleep(time.Millisecond) {
			if time.Since(start) > 5*time.Second {
				t.Fatalf("%d connections are open, want %d", l.Open(), n)
			}
		}
	}
	dial("/busy")
	first := dial("/")
	time.Sleep(20 * time.Millisecond)
	second := dial("/")
	await(3)
	if !l.makeRoom(nil) {
		t.Fatal("no connection was closed")
	}
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("%v on the connection that was idle for the longest time", err)
	}
	await(2)
	_ = second.Close()
	await(1)
	if l.makeRoom(nil) {
		t.Error("a connection with a request in progress was closed")
	}
}

// TestUnfinishedRequestMakesRoom guards against callers whose header or body never ends and that keep their
// connections while others find none, and against a body that is given up without the cause for its caller.
func TestUnfinishedRequestMakesRoom(t *testing.T) {
	cs := New(func() time.Duration { return time.Minute })
	cause, interrupted := errors.New("cause"), make(chan error, 1)
	reading, refused := make(chan struct{}), make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		c.BodyBegins(func(err error) { interrupted <- err })
		close(reading)
		<-refused
		c.BodyEnds()
		if cs.makeRoom(cause) {
			t.Error("a connection whose request has arrived was given up")
		}
		c.Refused()
		close(interrupted)
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	srv.Config.ConnState, srv.Config.ConnContext = cs.OnStateChange, cs.ConnContext
	srv.Start()
	defer srv.Close()
	dial := func(request string) net.Conn {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(c, request)
		return c
	}
	makeRoom := func() {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !cs.makeRoom(cause); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no connection was given up")
			}
		}
	}
	body := dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabcd")
	<-reading
	makeRoom()
	if err := <-interrupted; !errors.Is(err, cause) {
		t.Errorf("the body is given up with %v", err)
	}
	close(refused)
	<-interrupted
	makeRoom()
	if _, err := body.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("a refused caller keeps its connection")
	}
	header := dial("POST / HTTP/1.1\r\nHost: h\r\n")
	makeRoom()
	if _, err := header.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("a caller whose header does not end keeps its connection")
	}
}

// TestAwaitFewer guards against a process that goes on to accept connections while those that it has given up
// are still open, and against one that waits for ever.
func TestAwaitFewer(t *testing.T) {
	cs := New(func() time.Duration { return 0 })
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	cs.OnStateChange(a, http.StateNew)
	cs.OnStateChange(b, http.StateNew)
	if cs.awaitFewer(2, 10*time.Millisecond) {
		t.Error("two open connections are fewer than two")
	}
	time.AfterFunc(20*time.Millisecond, func() { cs.OnStateChange(a, http.StateClosed) })
	if !cs.awaitFewer(2, 10*time.Second) {
		t.Error("the end of a connection is not noticed")
	}
}

// TestAccept guards against callers that find no place although a connection could be given up for them, and
// against a process that uses up its descriptors to refuse callers.
func TestAccept(t *testing.T) {
	const limit, refusals = 3, 2
	cause := errors.New("cause")
	for name, c := range map[string]struct {
		busy, idle int
		want       eviction.Admission
	}{
		"below the limit":                       {2, 0, eviction.Admitted},
		"an idle one makes room":                {2, 1, eviction.AdmittedForAnother},
		"none makes room":                       {3, 0, eviction.Refused},
		"no descriptor is left for the refusal": {5, 0, eviction.Closed},
		"the one given up is still open":        {5, 1, eviction.Closed},
	} {
		cs := New(func() time.Duration { return 0 })
		for i := range c.busy + c.idle {
			conn, peer := net.Pipe()
			t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
			cs.OnStateChange(conn, http.StateNew)
			cs.OnStateChange(conn, http.StateActive)
			if i >= c.busy {
				cs.OnStateChange(conn, http.StateIdle)
			}
		}
		if got := cs.Accept(limit, refusals, cause); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
