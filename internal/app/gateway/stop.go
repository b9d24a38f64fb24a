package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/inflight"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// shutdownDelay is the time for which a stopping gateway still accepts requests
	// on open connections. The platform takes it out of rotation within 2 s.
	shutdownDelay = 2500 * time.Millisecond
	// answerTime is the part of the grace period in which requests that were ended early
	// are answered.
	answerTime = 300 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the process to exit.
	exitMargin = 500 * time.Millisecond
)

// shutdown is the state of a planned stop. It begins, refuses new requests and ends those
// in progress, in this order.
type shutdown struct {
	active *inflight.Counter
	// endsAt is the time at which the requests in progress end, or nil before the stop.
	endsAt atomic.Pointer[time.Time]
	// admission ends when new requests are refused, work when those in progress have to
	// end. The cause of both is the error of the requests.
	admission, work          context.Context
	cancelAdmission, endWork context.CancelCauseFunc
}

func newShutdown() *shutdown {
	s := &shutdown{active: inflight.New()}
	s.admission, s.cancelAdmission = context.WithCancelCause(context.Background())
	s.work, s.endWork = context.WithCancelCause(context.Background())
	return s
}

// begun reports whether the stop has begun.
func (s *shutdown) begun() bool { return s.endsAt.Load() != nil }

// begin starts the stop of a process whose requests end at endsAt.
func (s *shutdown) begin(endsAt time.Time) { s.endsAt.Store(&endsAt) }

// refuse makes refusal return an error.
func (s *shutdown) refuse() {
	s.cancelAdmission(verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "gateway is shutting down").WithRetryAfter(localRetryAfter))
}

// refusal returns the error of new requests, or nil if they are accepted.
func (s *shutdown) refusal() *verdict.Error {
	if s.admission.Err() == nil {
		return nil
	}
	return verdict.FromError(context.Cause(s.admission))
}

// errEnded is the cause of the end of a request's context that the stop has ended.
var errEnded = verdict.New(verdict.MayHaveRun, verdict.CodeShuttingDown, "gateway shut down before the answer was complete")

// endRequests ends the requests in progress.
func (s *shutdown) endRequests() { s.endWork(errEnded) }

// withEnd returns a context that ends with endRequests, and a function that releases it.
func (s *shutdown) withEnd(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(s.work, func() { cancel(errEnded) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// deadline returns t, or the time at which the stop ends requests if that is earlier.
func (s *shutdown) deadline(t time.Time) time.Time {
	if e := s.endsAt.Load(); e != nil && e.Before(t) {
		return *e
	}
	return t
}

// awaitIdle waits until no request is in progress, and returns false if timeout fires first.
func (s *shutdown) awaitIdle(timeout <-chan time.Time) bool {
	for !s.active.Idle() {
		select {
		case <-s.active.IdleSignal():
		case <-timeout:
			return false
		}
	}
	return true
}

// Closing reports whether to close each connection after its response.
func (g *Gateway) Closing() bool { return g.shutdown.begun() }

// Admission implements port.InboundHandler.
func (g *Gateway) Admission() context.Context { return g.shutdown.admission }

// Stop takes the gateway out of service. It reports that it is not ready, accepts
// requests for shutdownDelay, then refuses new ones and waits for those in progress.
// Requests that the grace period leaves no time for are ended with an error, so that they
// get an answer before the process exits.
func (g *Gateway) Stop() {
	clock, s := g.deps.Clock, g.shutdown
	left := max(0, g.settings.Grace-exitMargin-answerTime)
	s.begin(clock.Now().Add(left))
	end := clock.After(left)
	g.deps.Log.StateChange("stopping", port.Millis("grace_ms", g.settings.Grace))
	<-clock.After(min(shutdownDelay, left))
	s.refuse()
	if s.awaitIdle(end) {
		return
	}
	g.deps.Log.StateChange("ending requests in progress", port.F("requests", s.active.Count()))
	s.endRequests()
	if !s.awaitIdle(clock.After(answerTime)) {
		g.deps.Log.StateChange("stopping with requests in progress", port.F("requests", s.active.Count()))
	}
}
