package kvhttp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
