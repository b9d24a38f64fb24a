package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// target accepts connections and passes each to serve with its number, from 0.
func target(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) fleet.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return fleet.Address(l.Addr().String())
}

func request(id string) *http.Request {
	return &http.Request{
		Method: http.MethodGet, URL: &url.URL{Opaque: "/a%2Fb?x=1"}, Host: "h.example",
		Header: http.Header{"Request-Id": {id}, "User-Agent": {""}}, ProtoMajor: 1, ProtoMinor: 1,
	}
}

func pool() *Pool {
	p := New()
	p.Owner = func(req *http.Request, res *http.Response) bool {
		return res.Header.Get("Request-Id") == req.Header.Get("Request-Id")
	}
	return p
}

// ask makes a request and returns the body, or the error of any step.
func ask(ctx context.Context, p *Pool, addr fleet.Address, id string) (string, error) {
	res, err := p.Do(ctx, addr, request(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// TestSendsAsIs guards against a changed path, and against header fields that the
// caller did not send, such as a request for an encoding.
func TestSendsAsIs(t *testing.T) {
	got := make(chan string, 1)
	addr := target(t, func(_ int, c net.Conn, r *bufio.Reader) {
		var b strings.Builder
		for {
			line, err := r.ReadString('\n')
			b.WriteString(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		got <- b.String()
		_, _ = io.WriteString(c, answer("1", "ok"))
	})
	if body, err := ask(context.Background(), pool(), addr, "1"); err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	want := "GET /a%2Fb?x=1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 1\r\n\r\n"
	if s := <-got; s != want {
		t.Errorf("sent %q, want %q", s, want)
	}
}

// TestNeverSentTwice guards against a request that is sent again by itself on
// another connection after a kept one died, as net/http's client does for GET.
func TestNeverSentTwice(t *testing.T) {
	var requests atomic.Int64
	addr := target(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if requests.Add(1) == 1 {
				_, _ = io.WriteString(c, answer("1", "ok"))
				continue
			}
			return // the connection closes without an answer
		}
	})
	p := pool()
	if _, err := ask(context.Background(), p, addr, "1"); err != nil {
		t.Fatal(err)
	}
	_, err := ask(context.Background(), p, addr, "2")
	if err == nil || errors.Is(err, ErrUnsent) || requests.Load() != 2 {
		t.Errorf("error %v after %d requests", err, requests.Load())
	}
}

// TestLateAnswer guards against the answer to an earlier request, or a second
// copy of it, that is taken for that of the next one on the connection.
func TestLateAnswer(t *testing.T) {
	addr := target(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := byte('1'); ; id++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if id == '2' {
				_, _ = io.WriteString(c, answer("1", "old"))
			}
			_, _ = io.WriteString(c, answer(string(id), "new"+string(id)))
		}
	})
	p := pool()
	for _, id := range []string{"1", "2", "3"} {
		if body, err := ask(context.Background(), p, addr, id); err != nil || body != "new"+id {
			t.Errorf("request %s: %q, %v", id, body, err)
		}
	}
}

// TestUnaskedBytes guards against a kept connection on which bytes have arrived
// without a request.
func TestUnaskedBytes(t *testing.T) {
	var conns atomic.Int64
	addr := target(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(string(rune('1'+n)), "ok"))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "junk")
		_, _ = r.ReadByte()
	})
	p := pool()
	if _, err := ask(context.Background(), p, addr, "1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(60 * time.Millisecond)
	if body, err := ask(context.Background(), p, addr, "2"); err != nil || body != "ok" || conns.Load() != 2 {
		t.Errorf("%q, %v on %d connections", body, err, conns.Load())
	}
}

// TestAnswerThatEndsEarly guards against a part of an answer that looks whole,
// with a length, in chunks, and when it would end with its connection.
func TestAnswerThatEndsEarly(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 9\r\n\r\npart",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"reset":  "\r\npart",
	} {
		addr := target(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"+head)
			if name == "reset" {
				_ = c.(*net.TCPConn).SetLinger(0)
				time.Sleep(20 * time.Millisecond)
			}
		})
		if body, err := ask(context.Background(), pool(), addr, "1"); err == nil {
			t.Errorf("%s: %q looks whole", name, body)
		}
	}
}

// TestLeavingCaller guards against a target that goes on with a request whose
// caller has gone.
func TestLeavingCaller(t *testing.T) {
	closed := make(chan time.Time, 1)
	addr := target(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
		closed <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	start := time.Now()
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := ask(ctx, pool(), addr, "1"); err == nil || errors.Is(err, ErrUnsent) {
		t.Errorf("error %v", err)
	}
	if d := (<-closed).Sub(start); d > 500*time.Millisecond {
		t.Errorf("the connection was closed after %v", d)
	}
}

// TestUnreached guards against a request that is reported as sent although
// nothing listens at the address.
func TestUnreached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := fleet.Address(l.Addr().String())
	_ = l.Close()
	if _, err := ask(context.Background(), pool(), addr, "1"); !errors.Is(err, ErrUnsent) {
		t.Errorf("error %v", err)
	}
}

// TestIdleTime guards against the use of a connection that its target is about to
// close.
func TestIdleTime(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"": idleDefault, "timeout=10": 7 * time.Second, "max=5, timeout=10": 7 * time.Second, "timeout=x": idleDefault,
	} {
		if got := idleTime(http.Header{"Keep-Alive": {v}}); got != want {
			t.Errorf("%q: %v, want %v", v, got, want)
		}
	}
}
