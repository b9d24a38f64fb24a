package kvhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/platform"
	"github.com/masticwing/masticwing/internal/standin/relay"
)

func startPlatform(t *testing.T) (*Client, *httptest.Server) {
	t.Helper()
	srv := httptest.NewServer(platform.New().Handler())
	t.Cleanup(srv.Close)
	return New(fleet.Address(strings.TrimPrefix(srv.URL, "http://"))), srv
}

func setFaults(t *testing.T, srv *httptest.Server, body string) {
	t.Helper()
	resp, err := http.Post(srv.URL+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestCompareAndSwap guards against a write that replaces a value that its writer
// has not read.
func TestCompareAndSwap(t *testing.T) {
	c, _ := startPlatform(t)
	ctx := context.Background()
	rev, err := c.CompareAndSwap(ctx, "config/current", 0, []byte("one"), port.NoLease)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwap(ctx, "config/current", 0, []byte("two"), port.NoLease); !errors.Is(err, port.ErrConflict) {
		t.Fatalf("second creation: %v, want conflict", err)
	}
	e, err := c.Get(ctx, "config/current")
	if err != nil || string(e.Value) != "one" || e.Rev != rev {
		t.Fatalf("Get = %q %d %v", e.Value, e.Rev, err)
	}
}

// TestLostResponseIsUnknownOutcome guards against reporting a write as failed
// although it took effect and only its response was lost.
func TestLostResponseIsUnknownOutcome(t *testing.T) {
	c, srv := startPlatform(t)
	ctx := context.Background()
	setFaults(t, srv, `{"lose_write_answers": 1}`)
	if _, err := c.CompareAndSwap(ctx, "k", 0, []byte("v"), port.NoLease); !errors.Is(err, port.ErrUnknownOutcome) {
		t.Fatalf("err = %v, want unknown outcome", err)
	}
	if e, err := c.Get(ctx, "k"); err != nil || string(e.Value) != "v" {
		t.Fatalf("the write did not take effect: %v", err)
	}
	setFaults(t, srv, `{"down": true}`)
	if _, err := c.CompareAndSwap(ctx, "k2", 0, nil, port.NoLease); !errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("err = %v, want unavailable", err)
	}
}

// TestWatchAndLease guards against a watch that misses a write, and against a key
// that outlives its lease.
func TestWatchAndLease(t *testing.T) {
	c, _ := startPlatform(t)
	ctx := context.Background()
	if _, err := c.Watch(ctx, "k", 0, 10*time.Millisecond); !errors.Is(err, port.ErrNotFound) {
		t.Fatalf("watch without a change: %v", err)
	}
	id, err := c.Grant(ctx, 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwap(ctx, "k", 0, []byte("v"), id); err != nil {
		t.Fatal(err)
	}
	if e, err := c.Watch(ctx, "k", 0, time.Second); err != nil || string(e.Value) != "v" {
		t.Fatalf("watch = %q, %v", e.Value, err)
	}
	time.Sleep(300 * time.Millisecond)
	if _, err := c.Get(ctx, "k"); !errors.Is(err, port.ErrNotFound) {
		t.Fatalf("key outlived its lease: %v", err)
	}
	if err := c.KeepAlive(ctx, id); !errors.Is(err, port.ErrNotFound) {
		t.Fatalf("KeepAlive of an expired lease: %v", err)
	}
}

// TestFailedConnectIsUnavailable guards against reporting an unknown outcome
// although nothing was sent, which would keep the caller waiting for no reason.
func TestFailedConnectIsUnavailable(t *testing.T) {
	c, srv := startPlatform(t)
	srv.Close()
	if _, err := c.CompareAndSwap(context.Background(), "k", 0, nil, port.NoLease); !errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("err = %v, want unavailable", err)
	}
}

// startWithRelay is like startPlatform, with a relay between the client and the
// platform.
func startWithRelay(t *testing.T) (*Client, *relay.Relay) {
	t.Helper()
	_, srv := startPlatform(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	_ = lis.Close()
	r := relay.New()
	t.Cleanup(r.Close)
	if err := r.AddRoute("platform", addr, strings.TrimPrefix(srv.URL, "http://")); err != nil {
		t.Fatal(err)
	}
	return New(fleet.Address(addr)), r
}

// TestDeadConnectionsAreClosed guards against one timeout per pooled connection
// when all of them are dead without having been closed.
func TestDeadConnectionsAreClosed(t *testing.T) {
	c, r := startWithRelay(t)
	ctx := context.Background()
	if _, err := c.CompareAndSwap(ctx, "k", 0, []byte("v"), port.NoLease); err != nil {
		t.Fatal(err)
	}
	const conns = 3
	var wg conc.WaitGroup
	for range conns { // each concurrent watch opens a connection
		wg.Go(func() { _, _ = c.Watch(ctx, "k", 100, 200*time.Millisecond) })
	}
	wg.Wait()
	if n := r.Counts()["platform"].Connections; n < conns {
		t.Fatalf("%d connections are open, want at least %d", n, conns)
	}
	for _, f := range []relay.Freeze{relay.FreezeOld, relay.FreezeNone} {
		if err := r.SetFaults("platform", relay.Faults{Freeze: f}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Get(ctx, "k"); err == nil {
		t.Fatal("a call on a dead connection succeeded")
	}
	if _, err := c.Get(ctx, "k"); err != nil {
		t.Errorf("the second call used a dead connection as well: %v", err)
	}
}
