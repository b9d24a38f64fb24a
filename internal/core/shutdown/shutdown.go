// Package shutdown holds the state of a planned stop of a process that serves callers: whether
// new requests are refused, and whether those in progress have to end.
package shutdown

import (
	"context"
	"errors"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

// State first accepts requests, then refuses new ones with an error, and then ends those in
// progress.
type State struct {
	refusal *verdict.Error
	// admission ends when new requests are refused, work when those in progress have to end.
	admission, work context.Context
	refuse, end     context.CancelCauseFunc
}

// New returns the state of a process that accepts requests. It will refuse them with refusal.
func New(refusal *verdict.Error) *State {
	s := &State{refusal: refusal}
	s.admission, s.refuse = context.WithCancelCause(context.Background())
	s.work, s.end = context.WithCancelCause(context.Background())
	return s
}

// Refuse makes the process refuse new requests.
func (s *State) Refuse() { s.refuse(s.refusal) }

// Refusal returns the error of new requests, or nil if they are accepted.
func (s *State) Refusal() *verdict.Error {
	if s.admission.Err() == nil {
		return nil
	}
	return s.refusal
}

// Admission returns a context that ends when new requests are refused, with Refusal as cause.
func (s *State) Admission() context.Context { return s.admission }

// errEnded is the cause of the end of a request's context that End has ended.
var errEnded = errors.New("process shuts down")

// End ends the requests in progress.
func (s *State) End() { s.end(errEnded) }

// WithEnd returns the context of a request, which ends with End, and a function that releases it.
func (s *State) WithEnd(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(s.work, func() { cancel(errEnded) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// Error returns the error of a request that ended with err. That is another one than err if End
// has ended the request's context.
func (s *State) Error(ctx context.Context, err *verdict.Error) *verdict.Error {
	switch {
	case !errors.Is(context.Cause(ctx), errEnded):
		return err
	case err.Verdict == verdict.NotRun:
		return verdict.Wrap(err, verdict.NotRun, s.refusal.Code, "%s", s.refusal.Message).WithRetryAfter(s.refusal.RetryAfter)
	default:
		return verdict.Wrap(err, err.Verdict, verdict.CodeInterrupted, "process shut down before the answer was complete")
	}
}
