package originhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
)

// FuzzManifest guards against a panic on a malformed manifest, and against a
// manifest of an impossible size that passes validation.
func FuzzManifest(f *testing.F) {
	f.Add(`{"model":"m","chunks":[{"digest":"` + strings.Repeat("ab", 32) + `","bytes":5}]}`)
	f.Add(`{"model":"m","chunks":[{"digest":"` + strings.Repeat("zz", 32) + `","bytes":-5}]}`)
	f.Add(`[]`)
	var body string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	f.Cleanup(srv.Close)
	c := New(fleet.Address(srv.Listener.Addr().String()), "vm")
	f.Fuzz(func(t *testing.T, s string) {
		body = s
		m, err := c.Manifest(context.Background(), "v")
		if err != nil || m.Validate(m.Version()) != nil {
			return
		}
		if n := m.Bytes(); n <= 0 || n > manifest.MaxChunkBytes*int64(len(m.Chunks)) {
			t.Fatalf("manifest of %d chunks has %d bytes", len(m.Chunks), n)
		}
	})
}
