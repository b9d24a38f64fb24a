package originhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
)

const manifestPath = "/v1/versions/v/manifest"

func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return New(fleet.Address(strings.TrimPrefix(s.URL, "http://")), "vm1")
}

// TestManifestRejectsMalformedDigests guards against digests of a wrong length
// that are truncated or padded without an error.
func TestManifestRejectsMalformedDigests(t *testing.T) {
	for _, digest := range []string{"", "00", strings.Repeat("0", 66), strings.Repeat("g", 64)} {
		c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != manifestPath || r.Header.Get(RequesterHeader) != "vm1" {
				t.Errorf("path %s, requester %q", r.URL.Path, r.Header.Get(RequesterHeader))
			}
			_, _ = io.WriteString(w, `{"model":"m","chunks":[{"digest":"`+digest+`","bytes":1}]}`)
		})
		if m, err := c.Manifest(context.Background(), "v"); err == nil {
			t.Errorf("digest %q: %d chunks", digest, len(m.Chunks))
		}
	}
	ok := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"model":"m","chunks":[{"digest":"`+strings.Repeat("0a", 32)+`","bytes":5}]}`)
	})
	m, err := ok.Manifest(context.Background(), "v")
	if err != nil || len(m.Chunks) != 1 || m.Chunks[0].Bytes != 5 || m.Chunks[0].Digest == (manifest.Digest{}) {
		t.Fatalf("%+v, %v", m, err)
	}
}

// TestChunkStallTimeout guards against a fetch that never ends because the origin
// stops sending in the middle of a chunk.
func TestChunkStallTimeout(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	rc, err := c.Chunk(context.Background(), "v", 0)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if _, err := io.ReadAll(rc); err == nil {
		t.Fatal("a truncated chunk was read without an error")
	}
	if d := time.Since(start); d > 2*stallTimeout {
		t.Fatalf("the read failed only after %v", d)
	}
	_ = rc.Close()
}

// TestHeaderBytesAreBounded guards against an origin that fills the memory with a
// response header. The header sent here is a tenth of what net/http accepts by
// default.
func TestHeaderBytesAreBounded(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Padding", strings.Repeat("a", 1<<20))
	})
	if _, err := c.Chunk(context.Background(), "v", 0); err == nil {
		t.Error("the header was accepted")
	}
}

// TestTrickleEndsCall guards against a fetch that lasts for hours because each byte
// restarts the timer for stalls, and against a bound that counts the time in which
// the reader waits for its rate limit.
func TestTrickleEndsCall(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, " ")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
	c.grace = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := c.Manifest(ctx, "v"); err == nil || ctx.Err() != nil {
		t.Errorf("manifest: %v, %v", err, ctx.Err())
	}
	rc, err := c.Chunk(ctx, "v", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rc.Close() }()
	time.Sleep(2 * c.grace)
	if _, err := rc.Read(make([]byte, 1)); err != nil {
		t.Errorf("first byte after a pause of the reader: %v", err)
	}
	if _, err := io.Copy(io.Discard, rc); err == nil || ctx.Err() != nil {
		t.Errorf("chunk: %v, %v", err, ctx.Err())
	}
}
