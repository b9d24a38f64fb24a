package harness

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// TestSendDoesNotRetry guards against an HTTP client that silently retries a
// request with an idempotency key after a lost connection. The history of a test
// would then miss an attempt.
func TestSendDoesNotRetry(t *testing.T) {
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
		t.Fatalf("error %v after %d requests, want an error after 2", err, calls.Load())
	}
}
