package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestHangEndsWithCaller guards against a handler that hangs on after its caller
// has gone, so that the server cannot be closed: the body of a write was left
// unread, and then net/http does not notice that the connection was closed.
func TestHangEndsWithCaller(t *testing.T) {
	s := New()
	s.faults.Set(Faults{Hang: true})
	ended := make(chan struct{}, 1)
	h := s.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		ended <- struct{}{}
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, srv.URL+"/v1/kv/k?rev=0", strings.NewReader("value"))
	if err != nil {
		t.Fatal(err)
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("a service that hangs answered")
	}
	select {
	case <-ended:
		srv.Close()
	case <-time.After(10 * time.Second):
		t.Fatal("the handler hangs on after its caller has gone")
	}
}
