package porttest

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// Waits is a store without changes that records how long a caller waits for one.
// Other calls are those of Store, which may be nil.
type Waits struct {
	port.Store
	// Last is the wait of the last call.
	Last time.Duration
}

// Changes implements port.Store.
func (w *Waits) Changes(_ context.Context, _ string, after int64, wait time.Duration) ([]port.StoreChange, int64, error) {
	w.Last = wait
	return nil, after, nil
}
