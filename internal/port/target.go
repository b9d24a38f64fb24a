package port

import (
	"context"
	"io"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
)

// Origin is the origin of weights.
type Origin interface {
	// Manifest returns the manifest of a version, or ErrVersionUnknown.
	Manifest(ctx context.Context, v fleet.Version) (manifest.Manifest, error)
	// Chunk streams chunk i of a version. The bytes are not verified.
	Chunk(ctx context.Context, v fleet.Version, i int) (io.ReadCloser, error)
}

// LoadOrder tells an engine to load a version.
type LoadOrder struct {
	Model   fleet.Model
	Version fleet.Version
	// Fence is the fencing number of the order.
	Fence int64
	Bytes int64
	// Weights streams the whole, verified version.
	Weights io.Reader
	Check   OrderCheck
}

// UnloadOrder tells an engine to release a version.
type UnloadOrder struct {
	Version fleet.Version
	// Fence is the fencing number of the order.
	Fence int64
	Check OrderCheck
}

// OrderCheck returns an error once the right to give an order has ended. It is
// called before each part of the order is sent, so that a process that was
// paused in between sends no more of it. It may be called from any goroutine.
type OrderCheck func() error

// EngineStatus is what an engine says of itself.
type EngineStatus struct {
	fleet.EngineIdentity
	// ChecksIdentity means that the engine refuses requests that expect
	// another identity.
	ChecksIdentity bool
	// Loaded lists the versions that the engine can serve.
	Loaded []fleet.Version
	// Fence is the highest fencing number that the engine has seen.
	Fence int64
}

// EngineRequest asks an engine for an answer from one version.
type EngineRequest struct {
	ID       fleet.RequestID
	Model    fleet.Model
	Version  fleet.Version
	Class    fleet.Class
	Body     []byte
	Resume   uint64 // frames already received
	Priority int
	// Expect, unless zero, is the identity for which the request was admitted.
	// An engine that has another one by now refuses it with EngineChanged.
	Expect fleet.EngineIdentity
}

// EngineChangedError is the cause of a refusal by an engine that is not the one that
// the request expects. Nothing of the request ran.
type EngineChangedError struct {
	// Now is the identity of the engine; zero if it does not say.
	Now fleet.EngineIdentity
}

// Error implements error.
func (e *EngineChangedError) Error() string { return "the engine has restarted or lost its caches" }

// AnswerHead precedes the data of an answer.
type AnswerHead struct {
	// ID is the request that the answer belongs to, as its producer states it.
	ID fleet.RequestID
	// Version is the version that produces the answer; empty for services.
	Version     fleet.Version
	ContentType string
	Status      int
	// Replayed marks a remembered answer to a repeated idempotency key.
	Replayed bool
}

// Answer is a stream of an answer's data.
type Answer interface {
	// Head returns what came before the data.
	Head() AnswerHead
	// Next returns the next piece. It returns io.EOF only after the whole
	// answer was received; any other end is an error with a verdict. The
	// slice is valid until the next call.
	Next() ([]byte, error)
	// Close ends the stream. It cancels an answer that is not finished.
	Close() error
}

// Engine is a model engine.
type Engine interface {
	// Status returns what the engine says of itself.
	Status(ctx context.Context) (EngineStatus, error)
	// Load orders the engine to load a version and returns once it has.
	Load(ctx context.Context, o LoadOrder) error
	// Unload orders the engine to release a version.
	Unload(ctx context.Context, o UnloadOrder) error
	// Generate opens an answer. An error carries a verdict.
	Generate(ctx context.Context, r EngineRequest) (Answer, error)
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	ID          fleet.RequestID
	Service     fleet.Service
	Call        string
	Customer    fleet.Customer
	Body        []byte
	ContentType string
	// IdempotencyKey is passed on for the service's own log.
	IdempotencyKey string
}

// Service is a plain service beside the model engines.
type Service interface {
	// Call opens an answer. An error carries a verdict.
	Call(ctx context.Context, r ServiceRequest) (Answer, error)
	// Healthy returns nil if the service takes calls.
	Healthy(ctx context.Context) error
}
