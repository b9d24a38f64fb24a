package port

import (
	"context"
	"io"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// Header holds the end-to-end header fields of a request or response.
type Header map[string][]string

// InboundRequest is an HTTP request as the gateway received it from a caller.
type InboundRequest struct {
	ID     fleet.RequestID
	Method string
	Host   string
	// URI is the path and query as the caller sent them; Path is URI without the
	// query.
	URI, Path string
	Header    Header
	Body      []byte
	// APIKey is the caller's credential. No other field contains it.
	APIKey string
	// ReceivedAt is the time at which the header had been read.
	ReceivedAt time.Time
	// CallerTimeout is the timeout that the caller states, or zero if it states none.
	CallerTimeout time.Duration
	// ResumeAfter is the id of the last event that the caller received, or empty.
	ResumeAfter  string
	WorkEstimate WorkEstimate
}

// WorkEstimate describes how much work a request causes at a model engine, as
// far as the request's header says.
type WorkEstimate struct {
	Model fleet.Model
	// PromptTokens is the number of input tokens, MaxTokens the limit of output
	// tokens.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the output tokens, or zero.
	ExpectedTokens int
	// Prompt holds all parts of the prompt in order, also the last one.
	Prompt []fleet.PromptPart
	// SharedParts are the parts of the prompt that other requests may have as well, without
	// repetitions.
	SharedParts []fleet.PromptPart
}

// ResponseHead is the status and header of a response to a caller.
type ResponseHead struct {
	Status int
	Header Header
	// Length is the number of bytes of the body, or -1 if it is not known.
	Length int64
	// Stream requests that each piece of the body is flushed at once.
	Stream bool
}

// ResponseWriter sends one response to a caller: a head, data and the end, or a refusal.
// A second response, or data outside of one, is not sent: the method returns
// response.ErrBegun or response.ErrNotOpen, and the response is aborted. So is one that
// is neither ended nor refused when InboundHandler.Serve returns. Any other error means
// that the caller has disconnected.
type ResponseWriter interface {
	Head(h ResponseHead) error
	Data(b []byte) error
	// End completes the response.
	End() error
	// Refuse sends an error response of the gateway itself.
	Refuse(e *verdict.Error) error
	// Abort ends the response in such a way that the caller can tell that it is
	// incomplete.
	Abort()
}

// InboundHandler is implemented by the application that serves callers.
type InboundHandler interface {
	// Serve responds to a request. ctx ends when the caller disconnects.
	Serve(ctx context.Context, r *InboundRequest, out ResponseWriter)
	// Admission returns a context that ends when new requests are refused. A request
	// whose body has not been read by then is refused with the cause.
	Admission() context.Context
	// Ready reports whether the process accepts new connections, or else the
	// reason why it does not.
	Ready() (bool, string)
	// BodyMemory returns the memory for the body of a request of which only the head has arrived.
	BodyMemory(h RequestHead) BodyMemory
	// RequestLimits returns the limits for callers.
	RequestLimits() CallerLimits
}

// RequestHead is what the head of a request says about who sends it, where to, and for how long.
type RequestHead struct {
	Host, Path, APIKey string
	// CallerTimeout is the timeout that the caller states, or zero if it states none.
	CallerTimeout time.Duration
}

// BodyMemory is the memory of one request's body.
type BodyMemory interface {
	// Grow reserves memory for n bytes in all before they are read. It may wait, and returns the error
	// for the caller if there is none.
	Grow(ctx context.Context, n int64) *verdict.Error
	// Timeout is the time within which the body must have arrived.
	Timeout() time.Duration
	// Release returns the memory, after the request has ended.
	Release()
}

// CallerLimits are the limits of a caller's request and connection.
type CallerLimits struct {
	HeaderBytes, BodyBytes int
	// IdleTimeout is the time for which an idle connection is kept.
	IdleTimeout time.Duration
}

// Forward is a request to be sent to a target.
type Forward struct {
	Inbound *InboundRequest
	// Customer is the client account, or empty.
	Customer fleet.Customer
	// ExpectInstance is the target instance that the request is meant for. Any
	// other instance at the same address refuses it.
	ExpectInstance fleet.Instance
	// ExpectWeights is the version of the weights that the request is meant for, or zero for any.
	// A target with other weights refuses it, also after it has waited there.
	ExpectWeights int64
	// Timeout is the time remaining for the request.
	Timeout time.Duration
	// Urgency orders the requests that are queued in a model engine, 0 first.
	// A negative value means that the service is not a model engine.
	Urgency int
	// ResumeAfter is the id of the event after which the stream continues.
	ResumeAfter string
	// SentBefore means that the request was sent to the same address before. Its id does
	// not tell the response from an earlier one there, so it needs a new connection.
	SentBefore bool
	// ConnectWithin, unless it is zero, is the time within which a new connection has to be open
	// before the request is sent on it.
	ConnectWithin time.Duration
	// MaySend is asked once a connection is open, directly before the request is sent. If it returns
	// false, the request is not sent, and the error is a refusal with RefusalWithdrawn.
	MaySend func() bool
	// Announced is called before Forward returns if the head of any response has an announcement of the
	// target. It may be nil.
	Announced func(TargetAnnouncement)
}

// TargetAnnouncement is what a target states in a response about further requests.
type TargetAnnouncement struct {
	// Leaving means that the target leaves and wants no new requests.
	Leaving bool
	// Pause is the time for which the target wants no requests, or zero.
	Pause time.Duration
	// PauseText is the time as the target stated it, or empty if it stated none. Adjusted means that it
	// can't be read or is out of range, so that Pause differs.
	PauseText string
	Adjusted  bool
}

// TargetLoad is the load that a target reports: requests running and queued,
// and the number of requests that it can run at once.
type TargetLoad struct{ Running, Waiting, Slots int }

// TargetSpeed is how long work takes on a target's VM, as the target states it.
type TargetSpeed struct {
	// Factor is 1 if work takes as long as usual, 2 if it takes twice as long, and zero if nothing
	// usable is stated.
	Factor float64
	// BadText is the text that can't be used, shortened, or empty.
	BadText string
}

// ForwardResponse is a target's response. The receiver closes Body.
type ForwardResponse struct {
	Status int
	Header Header
	// Length is the number of bytes of Body, or -1 if it is not known.
	Length int64
	Body   io.ReadCloser
	// Load is nil if the target does not report its load.
	Load *TargetLoad
	// Speed is stated beside the load.
	Speed TargetSpeed
	// EndsWithConnection means that only the end of the connection delimits Body.
	EndsWithConnection bool
	// ImpliesNotRun means that callers take the status for a promise that the request has
	// not run, although the target does not state so.
	ImpliesNotRun bool
}

// RefusalReason is the reason why a target did not run a request.
type RefusalReason uint8

// Reasons for which a request was certainly not run.
const (
	// RefusalBusy means that the target has no free slot or is leaving.
	RefusalBusy RefusalReason = iota
	// RefusalMisdirected means that another instance now uses the address, or that the target holds
	// other weights than Forward.ExpectWeights.
	RefusalMisdirected
	// RefusalUnreachable means that nothing of the request could be sent.
	RefusalUnreachable
	// RefusalNoConnection means that this process may not open a further connection.
	RefusalNoConnection
	// RefusalWithdrawn means that Forward.MaySend returned false.
	RefusalWithdrawn
)

// RefusedError is the cause of an error of Forwarder.Forward if the target
// certainly ran nothing of the request.
type RefusedError struct {
	Reason RefusalReason
	Load   *TargetLoad
	Speed  TargetSpeed
}

// Error implements error.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case RefusalMisdirected:
		return "another target instance has the address, or the target has other weights"
	case RefusalUnreachable:
		return "target could not be reached"
	case RefusalNoConnection:
		return "too many connections are open"
	case RefusalWithdrawn:
		return "target wants no further requests"
	default:
		return "target refused the request"
	}
}

// Forwarder sends requests to targets.
type Forwarder interface {
	// Forward sends a request once, without retries, and returns when the head of
	// the response has arrived. An error carries a verdict; one with the verdict
	// NotRun has a *RefusedError in its chain. The end of ctx closes the
	// connection.
	Forward(ctx context.Context, to fleet.Address, f Forward) (*ForwardResponse, error)
	// CloseIdle closes the idle connections to addresses that are not live, and those that their
	// target has closed.
	CloseIdle(live func(fleet.Address) bool)
	// Connections returns the number of open connections, and of the idle ones among them.
	Connections() (open, idle int)
}
