package port

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
)

// ErrOrderRefused means that an engine did not accept an order, because its
// state has changed or another order is in progress.
var ErrOrderRefused = errors.New("engine refused the order")

// EngineReport is what the model engine beside a process says of itself.
type EngineReport struct {
	// Started identifies the start of the engine, in Unix milliseconds.
	Started int64
	// Held lists the weights of which the engine holds every layer.
	Held []ModelWeights
	// Busy means that an order is in progress.
	Busy bool
	// OrderCount counts the orders that the engine has begun.
	OrderCount       int64
	Running, Waiting int
}

// StagedLoadOrder tells an engine to load the staged weights.
type StagedLoadOrder struct {
	ModelWeights
	// ExpectOrderCount is the count of orders for which the order is meant. Another
	// count means that the engine's state has changed.
	ExpectOrderCount int64
	// Fence is the fencing token, or zero for none.
	Fence int64
}

// StagedEngine is a model engine that loads weights from an area of its machine,
// into which a process beside it puts the chunks.
type StagedEngine interface {
	// Report returns what the engine says of itself.
	Report(ctx context.Context) (EngineReport, error)
	// StagedChunks returns the indexes of the chunks of a model in the area.
	StagedChunks(ctx context.Context, m fleet.Model) ([]int, error)
	// ReadChunk returns a chunk from the area. It may have been spoilt there.
	ReadChunk(ctx context.Context, m fleet.Model, i int) ([]byte, error)
	// WriteChunk puts a chunk into the area.
	WriteChunk(ctx context.Context, m fleet.Model, i int, data []byte) error
	// LoadStaged orders the engine to load what lies in the area, after the requests
	// in progress. It returns ErrOrderRefused if the engine did not accept the
	// order; after other errors it may have.
	LoadStaged(ctx context.Context, o StagedLoadOrder) error
}

// NumberedOrigin is an origin whose versions operators number.
type NumberedOrigin interface {
	// Manifest returns the manifest of a version. It may have been spoilt on the
	// way. It returns ErrVersionUnknown for one that the origin no longer has.
	Manifest(ctx context.Context, w ModelWeights) (manifest.Manifest, error)
	// Chunk streams a chunk. The bytes are not verified.
	Chunk(ctx context.Context, w ModelWeights, i int) (io.ReadCloser, error)
}
