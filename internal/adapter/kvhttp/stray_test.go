package kvhttp

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/port"
)

// TestResponseOnIdleConnection guards against a response that the platform sends once more
// while the connection is idle, and that is taken for that of the next write. One that
// arrives after the next write was sent cannot be told from its response.
func TestResponseOnIdleConnection(t *testing.T) {
	done := "HTTP/1.1 200 OK\r\nX-Rev: 5\r\nContent-Length: 0\r\n\r\n"
	conflict := "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		first, later string
		want         error
	}{"conflict": {conflict, done, nil}, "done": {done, conflict, port.ErrConflict}} {
		k := New(straytest.StartIdle(t, c.first, c.later))
		_, _ = k.CompareAndSwap(context.Background(), "k", 1, nil, port.NoLease)
		time.Sleep(straytest.IdleTime)
		if _, err := k.CompareAndSwap(context.Background(), "k", 2, nil, port.NoLease); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}
