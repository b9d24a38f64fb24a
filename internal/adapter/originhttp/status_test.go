package originhttp

import (
	"context"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
)

// TestMalformedStatus guards against a response of an origin in trouble whose body is taken for a chunk.
func TestMalformedStatus(t *testing.T) {
	for _, status := range straytest.MalformedStatuses {
		response := "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}"
		c := New(straytest.Start(t, response, response), "vm")
		if _, err := c.Manifest(context.Background(), "v"); err == nil {
			t.Errorf("status %s: the manifest was accepted", status)
		}
		if rc, err := c.Chunk(context.Background(), "v", 0); err == nil {
			_ = rc.Close()
			t.Errorf("status %s: the chunk was accepted", status)
		}
	}
}
