package kvhttp

import (
	"context"
	"errors"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/port"
)

// TestMalformedStatus guards against a response of a store in trouble that decides a call: a read is not
// answered, and the outcome of a write is not known.
func TestMalformedStatus(t *testing.T) {
	for _, status := range straytest.MalformedStatuses {
		response := "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}"
		c := New(straytest.Start(t, response, response))
		if _, err := c.Get(context.Background(), "k"); !errors.Is(err, port.ErrUnavailable) {
			t.Errorf("status %s: read: %v, want %v", status, err, port.ErrUnavailable)
		}
		if _, err := c.CompareAndSwap(context.Background(), "k", 1, []byte("v"), port.NoLease); !errors.Is(err, port.ErrUnknownOutcome) {
			t.Errorf("status %s: write: %v, want %v", status, err, port.ErrUnknownOutcome)
		}
	}
}
