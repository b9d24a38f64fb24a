package follow

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/port"
)

// stuckStore is a store whose calls for changes return at once with the same changes and the
// revision that they were made with. It counts them.
type stuckStore struct {
	port.Store
	changes []port.StoreChange
	calls   atomic.Int64
}

func (s *stuckStore) List(context.Context, string) ([]port.StoreItem, int64, error) {
	return nil, 7, nil
}

func (s *stuckStore) Changes(_ context.Context, _ string, after int64, _ time.Duration) ([]port.StoreChange, int64, error) {
	s.calls.Add(1)
	return s.changes, after, nil
}

// TestChangesWithoutProgressPause guards against a follower that calls the store without a
// pause, because a response states no revision or came without waiting. All calls count
// against the rate of the store.
func TestChangesWithoutProgressPause(t *testing.T) {
	for name, changes := range map[string][]port.StoreChange{
		"none": nil, "the same": {{StoreItem: port.StoreItem{Key: "p/a", Value: []byte("1"), Revision: 7}}},
	} {
		s, v := &stuckStore{changes: changes}, &view{}
		f := New(s, "p/", time.Second, func() time.Duration { return time.Millisecond }, sysclock.Clock{}, logging.New(io.Discard, "x", "1"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		var wg conc.WaitGroup
		wg.Go(func() { f.Run(ctx, v.apply) })
		wg.Wait()
		cancel()
		if n := s.calls.Load(); n < 2 || n > 10 {
			t.Errorf("%s: %d calls in a second, want a few", name, n)
		}
		if len(v.values) != len(changes) {
			t.Errorf("%s: view %v", name, v.values)
		}
	}
}
