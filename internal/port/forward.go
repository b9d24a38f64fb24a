package port

import (
	"context"
	"io"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// Header holds the header fields that a request or answer carries from end to
// end.
type Header map[string][]string

// InboundRequest is a caller's request as it came.
type InboundRequest struct {
	ID     fleet.RequestID
	Method string
	Host   string
	// URI is the path and query as the caller sent them; Path is the part of it
	// before the query.
	URI, Path string
	Header    Header
	Body      []byte
	// APIKey is the caller's credential. It is in no other field.
	APIKey string
	// ReceivedAt is the time at which the request's header was read.
	ReceivedAt time.Time
	// CallerTimeout is the time that the caller waits, or zero if it does not say.
	CallerTimeout time.Duration
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter  string
	WorkEstimate WorkEstimate
}

// WorkEstimate is what a request tells of the work that it makes.
type WorkEstimate struct {
	Model fleet.Model
	// PromptTokens and MaxTokens are the tokens to read, and the most to write.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the tokens to write, or zero.
	ExpectedTokens int
}

// ResponseHead precedes the data of an answer to a caller.
type ResponseHead struct {
	Status int
	Header Header
	// Length is the number of bytes of the answer, or -1 if it is not known.
	Length int64
	// Stream asks that each piece is sent at once.
	Stream bool
}

// ResponseWriter takes the answer to a caller. Exactly one of Head and Refuse is
// called first. Its methods return an error once the caller has gone.
type ResponseWriter interface {
	Head(h ResponseHead) error
	Data(b []byte) error
	// Refuse answers with an error of the product.
	Refuse(e *verdict.Error)
	// Abort ends an answer after Head so that it does not look complete.
	Abort()
}

// InboundHandler is implemented by the application that serves callers.
type InboundHandler interface {
	// Serve answers a request. ctx ends when the caller has gone.
	Serve(ctx context.Context, r *InboundRequest, out ResponseWriter)
	// Ready reports whether the process takes new connections, and why not.
	Ready() (bool, string)
	// RequestLimits returns the limits of what a caller may send.
	RequestLimits() CallerLimits
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes, BodyBytes int
	// Idle is the time for which an idle connection is kept.
	Idle time.Duration
}

// Forward is a request on its way to a target.
type Forward struct {
	Inbound *InboundRequest
	// Customer is the client account, or empty.
	Customer fleet.Customer
	// ExpectInstance is the run of the target that the request is meant for. Another one
	// refuses it.
	ExpectInstance fleet.Instance
	// Timeout is the time that is left for the request.
	Timeout time.Duration
	// Urgency orders the requests that wait in a model engine; 0 goes first.
	// Negative means that the service is no model engine.
	Urgency int
	// ResumeAfter is the id of the event after which a stream goes on.
	ResumeAfter string
}

// TargetLoad is what a target says of its load.
type TargetLoad struct{ Running, Waiting, Slots int }

// ForwardResponse is a target's answer. Body must be closed.
type ForwardResponse struct {
	Status int
	Header Header
	// Length is the number of bytes of Body, or -1 if it is not known.
	Length int64
	Body   io.ReadCloser
	// Load is nil if the target does not say.
	Load *TargetLoad
	// Leaving means that the target will close the connection.
	Leaving bool
}

// RefusalReason says why a target did not run a request.
type RefusalReason uint8

// The reasons of a refusal.
const (
	// RefusalBusy means that the target is full or leaving.
	RefusalBusy RefusalReason = iota
	// RefusalWrongInstance means that another run of a target has the address.
	RefusalWrongInstance
	// RefusalUnreachable means that nothing was sent.
	RefusalUnreachable
)

// RefusedError is the cause of a refusal by a target. Nothing of the request ran.
type RefusedError struct {
	Reason RefusalReason
	Load   *TargetLoad
}

// Error implements error.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case RefusalWrongInstance:
		return "another target has the address"
	case RefusalUnreachable:
		return "target could not be reached"
	default:
		return "target refused the request"
	}
}

// Forwarder sends requests to targets.
type Forwarder interface {
	// Forward sends a request once and returns the head of its answer. An error
	// carries a verdict; one that is NotRun has a *RefusedError in its chain.
	// The end of ctx closes the connection.
	Forward(ctx context.Context, to fleet.Address, f Forward) (*ForwardResponse, error)
}
