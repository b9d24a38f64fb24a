package enginehttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/boundedhttp"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

func startServer(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return New(fleet.Address(srv.Listener.Addr().String()))
}

// TestHeaderBytesAreBounded guards against an engine that fills the memory with a
// response header. The header sent here is a tenth of what net/http accepts by
// default.
func TestHeaderBytesAreBounded(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Padding", strings.Repeat("a", 1<<20))
		_, _ = w.Write([]byte(`{"head":{"request_id":"r"}}` + "\n"))
	})
	ctx := context.Background()
	if _, err := c.Status(ctx); err == nil {
		t.Error("the header of a status was accepted")
	}
	if err := c.Unload(ctx, port.UnloadOrder{Version: "v", Check: neverExpires}); err == nil {
		t.Error("the header of the response to an order was accepted")
	}
	_, err := c.Generate(ctx, port.EngineRequest{ID: "r"})
	if err == nil || verdict.FromError(err).Verdict != verdict.MayHaveRun {
		t.Errorf("answer: %v", err)
	}
}

// TestStatusBytesAreBounded guards against a status without end that fills the
// memory.
func TestStatusBytesAreBounded(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"boot_id":"`+strings.Repeat("b", 4<<20)+`"}`)
	})
	if st, err := c.Status(context.Background()); !errors.Is(err, boundedhttp.ErrTooLong) {
		t.Errorf("boot ID of %d bytes, %v", len(st.BootID), err)
	}
}

// TestLineBytesAreBounded guards against one buffer of a megabyte for each answer
// whose lines do not end.
func TestLineBytesAreBounded(t *testing.T) {
	var frameBytes atomic.Int64
	c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"head":{"request_id":"r"}}`+"\n"+
			`{"request_id":"r","seq":0,"text":"`+strings.Repeat("a", int(frameBytes.Load()))+`"}`+"\n"+`{"end":{"frames":1}}`+"\n")
	})
	read := func() error {
		a, err := c.Generate(context.Background(), port.EngineRequest{ID: "r"})
		if err != nil {
			return err
		}
		defer func() { _ = a.Close() }()
		_, err = readAll(a)
		return err
	}
	frameBytes.Store(128 << 10)
	if err := read(); err != nil {
		t.Errorf("a frame of 128 KiB: %v", err)
	}
	frameBytes.Store(512 << 10)
	if err := read(); err == nil || verdict.FromError(err).Verdict != verdict.MayHaveRun {
		t.Errorf("a frame of 512 KiB: %v", err)
	}
}

// trickle sends a space each few milliseconds until the client goes away.
func trickle(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, " ")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// TestTrickleEndsCall guards against calls that last as long as the engine sends
// single bytes: an error text, and what follows the end of an answer.
func TestTrickleEndsCall(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.Header.Get("X-Request-Id") {
		case "whole":
			_, _ = io.WriteString(w, `{"head":{"request_id":"whole"}}`+"\n"+`{"end":{"frames":0}}`+"\n")
		default:
			w.WriteHeader(http.StatusBadRequest)
		}
		trickle(w, r)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 1900*time.Millisecond)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() {
		err := c.Unload(ctx, port.UnloadOrder{Version: "v", Check: neverExpires})
		if err == nil || ctx.Err() != nil {
			t.Errorf("order: %v, %v", err, ctx.Err())
		}
	})
	wg.Go(func() {
		_, err := c.Generate(ctx, port.EngineRequest{ID: "refused"})
		if verdict.FromError(err).Code != verdict.CodeBadRequest || ctx.Err() != nil {
			t.Errorf("refused request: %v, %v", err, ctx.Err())
		}
	})
	wg.Go(func() {
		a, err := c.Generate(ctx, port.EngineRequest{ID: "whole"})
		if err != nil {
			t.Error(err)
			return
		}
		_, err = readAll(a)
		_ = a.Close()
		if err != nil || ctx.Err() != nil {
			t.Errorf("complete answer: %v, %v", err, ctx.Err())
		}
	})
	wg.Wait()
}

// TestOrderResponseTimeout guards against an order that waits for ever for a response
// whose header arrives as single bytes.
func TestOrderResponseTimeout(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nPadding: ")
		for ; err == nil; time.Sleep(5 * time.Millisecond) {
			_, err = io.WriteString(conn, "a")
		}
	})
	c.orderTimeout = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := c.Unload(ctx, port.UnloadOrder{Version: "v", Check: neverExpires}); err == nil || ctx.Err() != nil {
		t.Errorf("%v, %v", err, ctx.Err())
	}
}
