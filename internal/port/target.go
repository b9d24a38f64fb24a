package port

import (
	"context"
	"io"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/response"
)

// Origin is the origin server of weights.
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
	// Weights streams the complete, verified version.
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

// OrderCheck returns an error once the sender no longer has the right to give the
// order. It is called before each part of the order is sent, so that a process
// that was paused in between sends no further part. It may be called from any
// goroutine.
type OrderCheck func() error

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	fleet.EngineIdentity
	// ChecksIdentity means that the engine refuses requests whose expected
	// identity differs from its own.
	ChecksIdentity bool
	// Loaded lists the versions that the engine can serve.
	Loaded []fleet.Version
	// Fence is the highest fencing number that the engine has received.
	Fence int64
}

// EngineRequest is a request for an answer from one version of a model.
type EngineRequest struct {
	ID       fleet.RequestID
	Model    fleet.Model
	Version  fleet.Version
	Class    fleet.Class
	Body     []byte
	Resume   uint64 // number of frames that the caller already received
	Priority int
	// Expect, unless zero, is the identity that the engine had when the request
	// was admitted. An engine whose identity has changed since then refuses the
	// request with EngineChangedError.
	Expect fleet.EngineIdentity
}

// EngineChangedError is the cause of a refusal by an engine whose identity is not
// the one that the request expects. Nothing of the request ran.
type EngineChangedError struct {
	// Now is the present identity of the engine, or zero if unknown.
	Now fleet.EngineIdentity
}

// Error implements error.
func (e *EngineChangedError) Error() string { return "the engine has restarted or lost its caches" }

// AnswerHead is the metadata that precedes the data of an answer.
type AnswerHead struct {
	// ID is the id of the answered request, as stated by the engine or service.
	ID fleet.RequestID
	// Version is the version that produces the answer. It is empty for services.
	Version     fleet.Version
	ContentType string
	Status      int
	// Replayed marks a stored answer to a retry with the same idempotency key.
	Replayed bool
	// Start is the number of frames that the caller already had, after which the answer
	// goes on, by the numbers of the engine and not by those of the request. It is zero
	// in a new answer.
	Start uint64
}

// Source returns what the head states about the origin of the answer.
func (h AnswerHead) Source() response.Source {
	return response.Source{Request: h.ID, Version: h.Version, Status: h.Status, Replayed: h.Replayed, Start: h.Start}
}

// Answer streams an answer.
type Answer interface {
	// Head returns the metadata that preceded the data.
	Head() AnswerHead
	// Next returns the next piece of the data, which is valid until the next call.
	// It returns io.EOF itself only after the complete answer was received; any
	// other end is an error with a verdict. AnswerEnded tells them apart.
	Next() ([]byte, error)
	// Close ends the stream and cancels the request if the answer is incomplete.
	Close() error
}

// AnswerEnded reports whether err, as returned by Answer.Next, means that the answer
// is complete. An error with a verdict whose cause is io.EOF, such as that of a closed
// connection, does not.
func AnswerEnded(err error) bool { return err == io.EOF }

// Engine is a model engine.
type Engine interface {
	// Status returns the engine's status.
	Status(ctx context.Context) (EngineStatus, error)
	// Load orders the engine to load a version and waits until it is loaded.
	Load(ctx context.Context, o LoadOrder) error
	// Unload orders the engine to release a version.
	Unload(ctx context.Context, o UnloadOrder) error
	// Generate sends a request and returns the answer as a stream. An error
	// carries a verdict.
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
	// IdempotencyKey is forwarded for the service's own log.
	IdempotencyKey string
}

// Service is a plain service, that is, a target other than a model engine.
type Service interface {
	// Call sends a call and returns the answer as a stream. An error carries a
	// verdict.
	Call(ctx context.Context, r ServiceRequest) (Answer, error)
	// Healthy returns nil if the service accepts calls.
	Healthy(ctx context.Context) error
}
