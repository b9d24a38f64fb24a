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

func start(t *testing.T) (*Client, *httptest.Server) {
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

// TestCompareAndSwap guards against a write that replaces a value its writer
// has not seen.
func TestCompareAndSwap(t *testing.T) {
	c, _ := start(t)
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

// TestLostAnswerIsUnknown guards against reporting a write as failed when it
// took effect.
func TestLostAnswerIsUnknown(t *testing.T) {
	c, srv := start(t)
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

// TestWatchAndLease guards against a watch that misses a write and a key that
// outlives its lease.
func TestWatchAndLease(t *testing.T) {
	c, _ := start(t)
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
		t.Fatalf("KeepAlive of a lapsed lease: %v", err)
	}
}

// TestNoConnectionIsUnavailable guards against a write reported as of unknown
// outcome although nothing was sent, which keeps its caller waiting.
func TestNoConnectionIsUnavailable(t *testing.T) {
	c, srv := start(t)
	srv.Close()
	if _, err := c.CompareAndSwap(context.Background(), "k", 0, nil, port.NoLease); !errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("err = %v, want unavailable", err)
	}
}

// startRelayed is start with a relay between the client and the platform.
func startRelayed(t *testing.T) (*Client, *relay.Relay) {
	t.Helper()
	_, srv := start(t)
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

// TestSilentConnectionsAreDropped guards against calls that wait for each
// pooled connection in turn after all of them went silent for good.
func TestSilentConnectionsAreDropped(t *testing.T) {
	c, r := startRelayed(t)
	ctx := context.Background()
	if _, err := c.CompareAndSwap(ctx, "k", 0, []byte("v"), port.NoLease); err != nil {
		t.Fatal(err)
	}
	const conns = 3
	var wg conc.WaitGroup
	for range conns { // watches at the same time open a connection each
		wg.Go(func() { _, _ = c.Watch(ctx, "k", 100, 200*time.Millisecond) })
	}
	wg.Wait()
	if n := r.Counts()["platform"].Connections; n < conns {
		t.Fatalf("%d connections are open, want %d", n, conns)
	}
	for _, f := range []relay.Freeze{relay.FreezeOld, relay.FreezeNone} {
		if err := r.SetFaults("platform", relay.Faults{Freeze: f}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Get(ctx, "k"); err == nil {
		t.Fatal("a silent connection answered")
	}
	if _, err := c.Get(ctx, "k"); err != nil {
		t.Errorf("the second call used a silent connection as well: %v", err)
	}
}
