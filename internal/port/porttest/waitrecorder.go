package porttest

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// WaitRecorder is a store without changes that records the wait requested by calls
// of Changes. Other calls go to Store, which may be nil.
type WaitRecorder struct {
	port.Store
	// LastWait is the wait of the last call of Changes.
	LastWait time.Duration
}

// Changes implements port.Store.
func (w *WaitRecorder) Changes(_ context.Context, _ string, after int64, wait time.Duration) ([]port.StoreChange, int64, error) {
	w.LastWait = wait
	return nil, after, nil
}
