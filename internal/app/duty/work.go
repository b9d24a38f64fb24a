// Package duty decides which process performs the calls to the platform that one process at a time may make,
// the singleton duties, and runs them while this process is that one, the holder.
package duty

import (
	"context"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/port"
)

// ErrTenureOver means that nothing was sent, because this process is not the holder any more or will not
// be for long enough.
var ErrTenureOver = errors.New("this process does not hold the singleton duties")

// Work is a singleton duty.
type Work interface {
	// Name is the duty, for logs and metrics.
	Name() string
	// Run performs the duty until ctx ends, which is before another process may become the holder.
	Run(ctx context.Context, t Tenure)
}

// Tenure is the time for which this process holds the duties.
type Tenure interface {
	// Call runs f with the credentials of this tenure, unless it is over or ends too soon. The context of f
	// ends with the tenure. Calls of all duties share the rate that the platform accepts. It returns
	// ErrTenureOver if f was not run, and the error of f otherwise.
	Call(ctx context.Context, f func(ctx context.Context, c port.DutyCredentials) error) error
	// Commit writes to the store on the additional condition that this process is still the holder. It
	// returns ErrTenureOver if it is not, and otherwise the errors of port.Store.
	Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error
}
