package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/inflight"
	"github.com/masticwing/masticwing/internal/core/shutdown"
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

// stopState is the state of a planned stop and of the requests that it waits for.
type stopState struct {
	*shutdown.State
	active *inflight.Counter
	// endsAt is the time at which the requests in progress end, or nil before the stop.
	endsAt atomic.Pointer[time.Time]
	// begunCtx ends when the stop begins.
	begunCtx    context.Context
	cancelBegun context.CancelFunc
}

func newStopState() *stopState {
	refusal := verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "gateway is shutting down").WithRetryAfter(localRetryAfter)
	ctx, cancel := context.WithCancel(context.Background())
	return &stopState{State: shutdown.New(refusal), active: inflight.New(), begunCtx: ctx, cancelBegun: cancel}
}

// begun reports whether the stop has begun.
func (s *stopState) begun() bool { return s.endsAt.Load() != nil }

// begin starts the stop of a process whose requests end at endsAt.
func (s *stopState) begin(endsAt time.Time) {
	s.endsAt.Store(&endsAt)
	s.cancelBegun()
}

// deadline returns t, or the time at which the stop ends requests if that is earlier.
func (s *stopState) deadline(t time.Time) time.Time {
	if e := s.endsAt.Load(); e != nil && e.Before(t) {
		return *e
	}
	return t
}

// awaitIdle waits until no request is in progress, and returns false if timeout fires first.
func (s *stopState) awaitIdle(timeout <-chan time.Time) bool {
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
func (g *Gateway) Closing() bool { return g.stopState.begun() }

// Admission implements port.InboundHandler.
func (g *Gateway) Admission() context.Context { return g.stopState.Admission() }

// Stop takes the gateway out of service. It reports that it is not ready, accepts
// requests for shutdownDelay, then refuses new ones and waits for those in progress.
// Requests that the grace period leaves no time for are ended with an error, so that they
// get an answer before the process exits.
func (g *Gateway) Stop() {
	clock, s := g.deps.Clock, g.stopState
	left := max(0, g.settings.Grace-exitMargin-answerTime)
	s.begin(clock.Now().Add(left))
	end := clock.After(left)
	g.deps.Log.StateChange("stopping", port.Millis("grace_ms", g.settings.Grace))
	<-clock.After(min(shutdownDelay, left))
	s.Refuse()
	if s.awaitIdle(end) {
		return
	}
	g.deps.Log.StateChange("ending requests in progress", port.F("requests", s.active.Count()))
	s.End()
	if !s.awaitIdle(clock.After(answerTime)) {
		g.deps.Log.StateChange("stopping with requests in progress", port.F("requests", s.active.Count()))
	}
}
