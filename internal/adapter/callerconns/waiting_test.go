package callerconns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

// countingServer answers requests after 2 ms and counts those that its handler began and did not see canceled.
type countingServer struct {
	addr            string
	began, canceled atomic.Int64
}

func startServer(t *testing.T, conns *Conns) *countingServer {
	t.Helper()
	s := &countingServer{}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addr = lis.Addr().String()
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.began.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			select {
			case <-r.Context().Done():
				s.canceled.Add(1)
			case <-time.After(2 * time.Millisecond):
				_, _ = io.WriteString(w, "ok")
			}
		}),
		ConnState: conns.OnStateChange, ReadHeaderTimeout: 10 * time.Second,
	}
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(lis) })
	t.Cleanup(wg.Wait)
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return caller{c, bufio.NewReader(c)}
}

// ask sends a request, and reports whether it gets its response.
func (c caller) ask(request string) bool {
	if _, err := io.WriteString(c, request); err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(resp.Body)
	return err == nil && string(b) == "ok"
}

const (
	getRequest  = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	postRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
)

// requestsAtEnd sends requests on connections that end at about the same time, and checks that each one that a
// handler began gets its response. wait is called before the second request on a connection.
func requestsAtEnd(t *testing.T, s *countingServer, perCaller int, wait func(n int)) {
	t.Helper()
	const callers = 64
	var answered atomic.Int64
	p := pool.New()
	for i := range callers {
		p.Go(func() {
			for j := range perCaller {
				n := i*perCaller + j
				request := []string{getRequest, postRequest}[n%2]
				c := dial(t, s.addr)
				if !c.ask(request) {
					t.Error("a request on a new connection got no response")
					return
				}
				wait(n)
				if c.ask(request) {
					answered.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	p.Wait()
	if lost := s.began.Load() - callers*int64(perCaller) - answered.Load(); lost > 0 || s.canceled.Load() > 0 {
		t.Errorf("%d requests began and got no response, %d were canceled, %d were answered", lost, s.canceled.Load(), answered.Load())
	}
	if answered.Load() == 0 {
		t.Error("no request arrived before the end of its connection")
	}
}

// TestRequestAtIdleTimeout guards against a request that a handler has begun and whose connection the idle timeout
// closes, since the request arrived when the timeout passed.
func TestRequestAtIdleTimeout(t *testing.T) {
	const d = 60 * time.Millisecond
	conns := New(func() time.Duration { return d })
	var ended atomic.Int64
	conns.Ended = func(r Reason, _ Outcome) {
		if r == Idle {
			ended.Add(1)
		}
	}
	s := startServer(t, conns)
	requestsAtEnd(t, s, 40, func(n int) { time.Sleep(d - time.Millisecond + time.Duration(n%200)*10*time.Microsecond) })
	if ended.Load() == 0 {
		t.Error("no connection was ended")
	}
}

// TestRequestAtEviction guards against a request that a handler has begun and whose connection is given up for
// another caller.
func TestRequestAtEviction(t *testing.T) {
	conns := New(func() time.Duration { return time.Minute })
	s := startServer(t, conns)
	stop := make(chan struct{})
	p := pool.New()
	p.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				conns.makeRoom(nil)
			}
		}
	})
	requestsAtEnd(t, s, 40, func(n int) { time.Sleep(time.Duration(n%20) * time.Millisecond) })
	close(stop)
	p.Wait()
}

// TestRaisedIdleTimeout guards against an idle connection that is closed after an earlier, shorter timeout: callers
// go by the current one.
func TestRaisedIdleTimeout(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(150 * time.Millisecond))
	s := startServer(t, New(func() time.Duration { return time.Duration(limit.Load()) }))
	c := dial(t, s.addr)
	if !c.ask(getRequest) {
		t.Fatal("no response")
	}
	limit.Store(int64(time.Second))
	time.Sleep(300 * time.Millisecond)
	if !c.ask(getRequest) {
		t.Fatal("the connection was closed after the earlier timeout")
	}
	start := time.Now()
	if _, err := c.r.ReadByte(); err != io.EOF || time.Since(start) < 900*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(start))
	}
}

// TestEvictionOfNewlyIdleConnection guards against a connection that stays open although it was given up, because
// net/http sets a read deadline of its own at that moment.
func TestEvictionOfNewlyIdleConnection(t *testing.T) {
	conns := New(func() time.Duration { return time.Minute })
	server, peer := net.Pipe()
	defer func() { _, _ = server.Close(), peer.Close() }()
	conns.OnStateChange(server, http.StateNew)
	conns.OnStateChange(server, http.StateActive)
	conns.OnStateChange(server, http.StateIdle)
	if !conns.makeRoom(nil) {
		t.Fatal("no connection was given up")
	}
	_ = server.SetReadDeadline(time.Time{})
	ended := make(chan error, 1)
	p := pool.New()
	defer p.Wait()
	p.Go(func() {
		_, err := server.Read(make([]byte, 1))
		ended <- err
	})
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the read goes on")
		_ = server.Close()
	}
}
