package harness

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestSendIsOneAttempt guards against a caller that repeats a keyed request by
// itself after a lost connection, so that a history misses an attempt.
func TestSendIsOneAttempt(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	c := NewCaller(srv.Listener.Addr().String())
	r := Request{Path: "/", Customer: Customer, Key: NewKey(), Body: "{}"}
	if _, err := c.Send(context.Background(), r); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Send(context.Background(), r); err == nil || calls.Load() != 2 {
		t.Fatalf("error %v after %d requests, want one lost attempt", err, calls.Load())
	}
}
