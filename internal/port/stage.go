package port

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/placement"
)

// ErrOrderRefused means that an engine rejected an order, because its state has
// changed since the order was decided or another order is in progress.
var ErrOrderRefused = errors.New("engine refused the order")

// EngineReport is the status that the model engine on a process's VM reports.
type EngineReport struct {
	// Started is the start time of the engine in Unix milliseconds. It tells the
	// engine's runs apart.
	Started int64
	// Held lists the weights that the engine has loaded completely.
	Held []ModelWeights
	// Busy means that an order is in progress.
	Busy bool
	// OrderCount is the number of orders that the engine has begun.
	OrderCount int64
	// Running and Waiting are the numbers of requests in progress and queued.
	Running, Waiting int
	// Memory is the engine's memory for requests.
	Memory placement.Memory
	// Leaving means that the engine has announced that it leaves.
	Leaving bool
}

// StagedOrder tells an engine to load weights from its staging area, or to release them.
type StagedOrder struct {
	ModelWeights
	// ExpectOrderCount is EngineReport.OrderCount at the time of the decision. The
	// engine refuses the order if its count differs, since its state has changed.
	ExpectOrderCount int64
	// Fence is the fencing number, or zero for none.
	Fence int64
	// Abort breaks off the requests in progress. They end first otherwise.
	Abort bool
}

// StagedEngine is a model engine that loads weights from a staging area on its
// VM. A process on the same VM writes the chunks into that area.
type StagedEngine interface {
	// Report returns the engine's status.
	Report(ctx context.Context) (EngineReport, error)
	// StagedChunks returns the indexes of a model's chunks in the staging area.
	StagedChunks(ctx context.Context, m fleet.Model) ([]int, error)
	// ReadChunk returns a chunk from the staging area. The bytes are not verified
	// and may have been corrupted there.
	ReadChunk(ctx context.Context, m fleet.Model, i int) ([]byte, error)
	// WriteChunk writes a chunk into the staging area.
	WriteChunk(ctx context.Context, m fleet.Model, i int, data []byte) error
	// LoadStaged orders the engine to load the contents of the staging area once
	// the requests in progress have ended. It returns ErrOrderRefused if the engine
	// rejected the order. After any other error the engine may have accepted it.
	LoadStaged(ctx context.Context, o StagedOrder) error
	// Withdraw orders the engine to release weights. From the acceptance of the order on it
	// admits no request, also none that waits in it. Requests in progress end first; those
	// whose prompt is still being prefilled begin their response after the order. It returns
	// errors like LoadStaged.
	Withdraw(ctx context.Context, o StagedOrder) error
}

// NumberedOrigin is an origin of weights whose versions have numbers that are
// assigned by operators.
type NumberedOrigin interface {
	// Manifest returns the manifest of a version, or ErrVersionUnknown if the
	// origin no longer has the version. The manifest is not verified and may have
	// been corrupted in transit.
	Manifest(ctx context.Context, w ModelWeights) (manifest.Manifest, error)
	// Chunk streams a chunk of the given size. The bytes are not verified; a response
	// that is longer is an error.
	Chunk(ctx context.Context, w ModelWeights, i int, size int64) (io.ReadCloser, error)
}
