package kvhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

func startServer(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return New(fleet.Address(srv.Listener.Addr().String()))
}

// TestHeaderBytesAreBounded guards against a platform that fills the memory with a
// response header. The header sent here is a tenth of what net/http accepts by
// default.
func TestHeaderBytesAreBounded(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Padding", strings.Repeat("a", 1<<20))
	})
	if _, err := c.Get(context.Background(), "k"); !errors.Is(err, port.ErrUnavailable) {
		t.Errorf("read: %v", err)
	}
	if err := c.Delete(context.Background(), "k", 1); !errors.Is(err, port.ErrUnknownOutcome) {
		t.Errorf("write: %v", err)
	}
}

// TestLongValueIsNotCut guards against a value that is cut at the bound and read as
// if it were complete, and against a lease ID from a cut response.
func TestLongValueIsNotCut(t *testing.T) {
	var length, status atomic.Int64
	c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(revisionHeader, "7")
		w.WriteHeader(int(status.Load()))
		_, _ = w.Write(make([]byte, length.Load()))
	})
	ctx := context.Background()
	status.Store(http.StatusOK)
	length.Store(maxValueBytes)
	if e, err := c.Get(ctx, "k"); err != nil || len(e.Value) != maxValueBytes {
		t.Errorf("longest value: %d bytes, %v", len(e.Value), err)
	}
	length.Store(2 * maxValueBytes)
	if e, err := c.Get(ctx, "k"); !errors.Is(err, port.ErrUnavailable) {
		t.Errorf("read: %d bytes, %v", len(e.Value), err)
	}
	if e, err := c.Watch(ctx, "k", 1, time.Second); !errors.Is(err, port.ErrUnavailable) {
		t.Errorf("watch: %d bytes, %v", len(e.Value), err)
	}
	if id, err := c.Grant(ctx, time.Second); !errors.Is(err, port.ErrUnknownOutcome) {
		t.Errorf("grant: ID of %d bytes, %v", len(id), err)
	}
	for s, want := range map[int64]error{
		http.StatusConflict: port.ErrConflict, http.StatusNotFound: port.ErrNotFound,
		http.StatusServiceUnavailable: port.ErrUnavailable, http.StatusBadGateway: port.ErrUnknownOutcome,
	} {
		status.Store(s)
		if err := c.Delete(ctx, "k", 1); !errors.Is(err, want) {
			t.Errorf("write with status %d: %v", s, err)
		}
	}
}

// TestValueWithoutLength guards against a value that is read as complete although
// nothing tells the end of its response from a lost connection.
func TestValueWithoutLength(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	defer func() { _ = lis.Close() }()
	wg.Go(func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Rev: 3\r\n\r\nhalf of the val")
			_ = conn.Close()
		}
	})
	c := New(fleet.Address(lis.Addr().String()))
	if e, err := c.Get(context.Background(), "k"); !errors.Is(err, port.ErrUnavailable) {
		t.Errorf("read: %q, %v", e.Value, err)
	}
	if _, err := c.CompareAndSwap(context.Background(), "k", 1, nil, port.NoLease); !errors.Is(err, port.ErrUnknownOutcome) {
		t.Errorf("write: %v", err)
	}
	if id, err := c.Grant(context.Background(), time.Second); !errors.Is(err, port.ErrUnknownOutcome) {
		t.Errorf("grant: %q, %v", id, err)
	}
}

// TestTrickleEndsCall guards against a call that lasts as long as bytes arrive.
func TestTrickleEndsCall(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = w.Write([]byte(" "))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
	start := time.Now()
	_, err := c.call(context.Background(), 200*time.Millisecond, http.MethodGet, keyPath("k"), nil, nil)
	if d := time.Since(start); err == nil || d > time.Second {
		t.Errorf("%v after %v", err, d)
	}
}
