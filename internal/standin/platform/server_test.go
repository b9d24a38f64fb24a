package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestHangEndsOnDisconnect guards against a Hang fault that blocks its handler
// after the caller has disconnected, so that the server cannot be closed. That
// happens if the body of a write is left unread, since net/http then does not
// detect the closed connection.
func TestHangEndsOnDisconnect(t *testing.T) {
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
		t.Fatal("received a response despite the Hang fault")
	}
	select {
	case <-ended:
		srv.Close()
	case <-time.After(10 * time.Second):
		t.Fatal("the handler still blocks after its caller has disconnected")
	}
}
