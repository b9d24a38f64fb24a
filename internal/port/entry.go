package port

import "context"

// RequestLimits are the limits that apply to an admitted request.
type RequestLimits struct {
	// CustomerBytes limits the bytes held for the customer; zero means no limit.
	CustomerBytes int64
}

// EntryHandler admits and serves decoded requests of callers.
type EntryHandler interface {
	// Admit checks a request before its body is read.
	Admit(r ServeRequest) (RequestLimits, error)
	// Serve returns the answer of a request. An error carries a verdict. ctx
	// ends at the request's deadline and when its caller disconnects. The handler
	// calls begin once, after the request has waited in the queue and before it
	// is sent to a target; if begin fails, Serve returns its error. The handler
	// keeps no reference to the body after the answer is closed or, without an
	// answer, after Serve has returned.
	Serve(ctx context.Context, r ServeRequest, begin func() error) (Answer, error)
}
