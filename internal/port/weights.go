package port

import (
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// ErrVersionUnknown means that the origin replied that it does not have the
// version or a chunk of it.
var ErrVersionUnknown = errors.New("origin does not have the version")

// WantedVersion identifies a version that an agent should hold.
type WantedVersion struct {
	Model   fleet.Model
	Version fleet.Version
}

// Weights holds versions in the memory of an agent.
type Weights interface {
	// Want replaces the set of versions to hold; the first is the most important.
	// Versions that are not in the new set are released, complete or not.
	Want(versions []WantedVersion)
	// Open returns the verified weights of a complete version and their size, or
	// false while the version is incomplete.
	Open(v fleet.Version) (io.Reader, int64, bool)
	// Progress returns the progress of the most important incomplete version, or
	// of the most important version if all are complete.
	Progress() Progress
	// Changed returns a channel that is signaled after a version was completed or
	// the state of its progress changed. Several changes may be merged into one
	// signal.
	Changed() <-chan struct{}
	// ChargeLiveTraffic deducts the bytes of live traffic in each direction from
	// the bandwidth budget of the link, so that transfers of weights yield to live
	// traffic. It never blocks.
	ChargeLiveTraffic(in, out int)
}
