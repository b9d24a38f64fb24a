package follow

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/port"
)

// partialStore is a store whose calls for changes receive a part of a response and no end before the call ends.
type partialStore struct {
	port.Store
	bytes    int
	received chan struct{}
}

// List implements port.Store.
func (s *partialStore) List(context.Context, string) ([]port.StoreItem, int64, error) {
	return nil, 1, nil
}

// Changes implements port.Store.
func (s *partialStore) Changes(ctx context.Context, _ string, after int64, _ time.Duration) ([]port.StoreChange, int64, error) {
	port.Receipt(ctx)(s.bytes)
	close(s.received)
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// TestOnlyLongResponsesCountAsReceived guards against a reader that keeps its followers because the store answers that
// nothing has changed, and against a change that no longer counts as arriving after its first part.
func TestOnlyLongResponsesCountAsReceived(t *testing.T) {
	for bytes, want := range map[int]bool{100: false, longResponse: true} {
		s := &partialStore{bytes: bytes, received: make(chan struct{})}
		f := New(s, "p/", time.Second, func() time.Duration { return 0 }, sysclock.Clock{}, logging.New(io.Discard, "x", "1"))
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { f.Run(ctx, func(Event) {}) })
		<-s.received
		if got := f.Receiving(); got != want || (f.ReceivedAt() > 0) != want {
			t.Errorf("%d bytes: receiving %v, at %v, want %v", bytes, got, f.ReceivedAt(), want)
		}
		cancel()
		wg.Wait()
		if f.Receiving() {
			t.Errorf("%d bytes: still receiving after the call", bytes)
		}
	}
}
