package port

import (
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// ErrVersionUnknown means that the origin answers and does not have a version,
// or a chunk of it.
var ErrVersionUnknown = errors.New("origin does not have the version")

// WantedVersion names the version that an agent should hold.
type WantedVersion struct {
	Model   fleet.Model
	Version fleet.Version
}

// Weights holds versions in the memory of an agent.
type Weights interface {
	// Want replaces the set of versions to hold, in order of importance.
	// Versions that are no longer wanted are released, complete or not.
	Want(targets []WantedVersion)
	// Open returns the verified weights of a complete version and their size.
	// It returns false while the version is not complete.
	Open(v fleet.Version) (io.Reader, int64, bool)
	// Progress describes the most important version that is not complete, or
	// else the most important one.
	Progress() Progress
	// Changed returns a channel that receives after a version completed or its
	// progress changed state. Several changes may arrive as one.
	Changed() <-chan struct{}
	// ChargeLiveTraffic takes the bytes of live traffic in each direction from the
	// link's budget, so that transfers of weights give way. It never waits.
	ChargeLiveTraffic(in, out int)
}
