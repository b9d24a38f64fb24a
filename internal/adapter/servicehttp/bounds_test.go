package servicehttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestHeaderBytesAreBounded guards against a service that fills the memory with a
// response header. The header sent here is a tenth of what net/http accepts by
// default.
func TestHeaderBytesAreBounded(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Padding", strings.Repeat("a", 1<<20))
	}))
	t.Cleanup(srv.Close)
	c := New(fleet.Address(srv.Listener.Addr().String()))
	for _, key := range []string{"", "k"} {
		_, err := c.Call(context.Background(), port.ServiceRequest{Call: "read", IdempotencyKey: key})
		if err == nil || verdict.FromError(err).Verdict != verdict.MayHaveRun {
			t.Errorf("key %q: %v", key, err)
		}
	}
}
