package servicehttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestKeyedCallIsSentOnce guards against the automatic retry of net/http, which
// applies to requests with an Idempotency-Key after a lost connection.
func TestKeyedCallIsSentOnce(t *testing.T) {
	var calls atomic.Int64
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer h.Close()
	c := New(fleet.Address(h.Listener.Addr().String()))
	for _, body := range []string{"x", ""} {
		calls.Store(0)
		r := port.ServiceRequest{Call: "log", Body: []byte(body), IdempotencyKey: "k"}
		a, err := c.Call(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.Next(); err != io.EOF {
			t.Fatal(err)
		}
		_ = a.Close()
		_, err = c.Call(context.Background(), r)
		if e := verdict.FromError(err); e.Verdict != verdict.MayHaveRun || e.Code != verdict.CodeTargetLost {
			t.Fatalf("got %v for a lost connection", err)
		}
		if n := calls.Load(); n != 2 {
			t.Fatalf("%d requests for 2 calls with body %q", n, body)
		}
	}
}

// TestLostConnectionAndDeadline guards against a truncated answer that counts as
// complete, and against a wrong verdict after a lost connection, a refused
// connection and a deadline.
func TestLostConnectionAndDeadline(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			_, _ = conn.Read(buf)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			_ = conn.Close()
		}
	})
	c := New(fleet.Address(lis.Addr().String()))
	a, err := c.Call(context.Background(), port.ServiceRequest{Call: "read"})
	if err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = a.Next()
	}
	if e := verdict.FromError(err); err == io.EOF || e.Verdict != verdict.MayHaveRun {
		t.Fatalf("a truncated answer ended with %v", err)
	}
	_ = lis.Close()
	if _, err := c.Call(context.Background(), port.ServiceRequest{Call: "read"}); verdict.FromError(err).Verdict != verdict.NotRun {
		t.Fatalf("got %v without a service", err)
	}
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer slow.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = New(fleet.Address(slow.Listener.Addr().String())).Call(ctx, port.ServiceRequest{Call: "read"})
	if e := verdict.FromError(err); e.Verdict != verdict.MayHaveRun || e.Code != verdict.CodeDeadline {
		t.Fatalf("got %v after the deadline", err)
	}
}
