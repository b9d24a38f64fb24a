package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
)

const (
	// stallObjectiveFactor times the route's objective is the time after which an
	// attempt at a target that sends nothing is abandoned, if the request may be retried.
	stallObjectiveFactor = 3.0
	// minStallTimeout is the lower bound of that time; a full engine takes up to a second.
	minStallTimeout = 300 * time.Millisecond
	// streamStallTimeout is the fixed time for streams, whose callers give up after 3.2 s.
	streamStallTimeout = 1300 * time.Millisecond
	// giveUpLead is the part of the time for which a caller waits for the next event that is left when an
	// attempt at an engine without a sign of running is given up although no other one has capacity.
	// The caller then learns of it and can resume elsewhere, and does not leave a request behind that
	// the engine runs when its machine goes on.
	giveUpLead = 0.15
	// eventStallFactor times that time is the longest time without a complete event for
	// a target that sends something else meanwhile.
	eventStallFactor = 2
)

// stallWatch cancels an attempt at a target that is silent. It cancels only the context
// of the attempt, and only once another target has capacity and the retry is taken from
// the budget, so that the request continues there.
type stallWatch struct {
	// start is the time at which the attempt began.
	start   time.Time
	now     func() time.Time
	timeout time.Duration
	cancel  context.CancelFunc

	// mu guards the following.
	mu sync.Mutex
	// timer is nil if the attempt is not watched. It was set to fire at firesAt.
	timer   *time.Timer
	firesAt time.Time
	// silentAt is the time at which the target counts as silent; zero while data is
	// passed on to the caller. noEventAt bounds it.
	silentAt, noEventAt time.Time
	retryTaken          bool
	// query holds the conditions for the target of a retry, and abandonAfter how long the caller
	// waits for the next event, or zero if it waits for any time.
	query        placement.Query
	abandonAfter time.Duration
	// final is set if the request may not be retried after this attempt, which is watched only to give
	// it up at an engine that stands still.
	final bool
	// gaveUp is set once that has happened.
	gaveUp bool
}

// startStallWatch returns the context of one attempt at a target and its watch. The watch has a
// timer only if the request may be retried after this attempt, or if the caller would leave a
// target that stands still.
func (c *call) startStallWatch(ctx context.Context, target fleet.Instance) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stallWatch{start: c.g.deps.Clock.Now(), now: c.g.deps.Clock.Now, cancel: cancel}
	s.final = !c.route.Retryable() || c.runs+1 >= c.route.MaxAttempts || c.sends >= maxSends
	if s.final && (c.service.Engine == nil || c.route.AbandonTimeout <= 0) {
		return ctx, s
	}
	s.timeout = max(minStallTimeout, time.Duration(stallObjectiveFactor*float64(c.route.LatencyObjective)))
	if c.route.Kind == routes.Streaming {
		s.timeout = streamStallTimeout
	}
	service := c.service.Name
	s.mu.Lock()
	defer s.mu.Unlock()
	s.query, s.abandonAfter = c.placementQuery(), c.route.AbandonTimeout
	s.query.ExcludeSilent = true
	s.timer = time.AfterFunc(s.timeout, func() { s.expire(c.g, service, target) })
	s.restart(true)
	return ctx, s
}

// stallRecheckDelay is the time until the next check after no other target had capacity
// for the request of a stalled attempt.
const stallRecheckDelay = 200 * time.Millisecond

// expire cancels the attempt if the request can be retried now, or if the caller is about to leave a
// target that stands still. Otherwise it checks again later: the target may still respond.
func (s *stallWatch) expire(g *Gateway, service fleet.Service, target fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch {
	case s.timer == nil, s.silentAt.IsZero():
	case now.Before(s.silentAt):
		// The timer fired while the watch was restarted.
		s.setTimer(s.silentAt.Sub(now))
	case !s.giveUpAt().IsZero() && !now.Before(s.giveUpAt()) && now.Sub(s.firesAt) < stallRecheckDelay && g.targets.Silent(target, now):
		// A timer that fires late shows that this process stood still itself: reports and events
		// may wait to be read.
		s.gaveUp = true
		s.cancel()
	case !s.final && g.targets.HasCapacity(s.query, now) && g.budgets.AllowRetry(service, s.query.Processes, now):
		s.retryTaken = true
		s.cancel()
	default:
		next := stallRecheckDelay
		if left := s.giveUpAt().Sub(now); left > 0 {
			next = min(next, left)
		}
		s.setTimer(next)
	}
}

// giveUpAt returns the time from which the attempt is given up if the target stands still, or zero if
// the caller waits for any time. mu is held.
func (s *stallWatch) giveUpAt() time.Time {
	if s.query.FirstEventBy.IsZero() {
		return time.Time{}
	}
	return s.query.FirstEventBy.Add(-time.Duration(giveUpLead * float64(s.abandonAfter)))
}

// restart sets the time at which the target counts as silent. mu is held.
func (s *stallWatch) restart(afterEvent bool) {
	now := s.now()
	if afterEvent {
		s.noEventAt = now.Add(eventStallFactor * s.timeout)
	}
	s.silentAt = now.Add(s.timeout)
	if s.noEventAt.Before(s.silentAt) {
		s.silentAt = s.noEventAt
	}
	s.setTimer(s.silentAt.Sub(now))
}

// setTimer makes the timer fire after d. mu is held.
func (s *stallWatch) setTimer(d time.Duration) {
	s.firesAt = s.now().Add(d)
	s.timer.Reset(d)
}

// pause stops the watch while data is passed on to the caller, which may take as long as
// the caller wants.
func (s *stallWatch) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentAt = time.Time{}
}

// resume restarts the watch after the target has sent data. event is set if that
// completed an event.
func (s *stallWatch) resume(event bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	if event && !s.query.FirstEventBy.IsZero() {
		s.query.FirstEventBy = s.now().Add(s.abandonAfter)
	}
	s.restart(event)
}

// disarm ends the watch. The attempt goes on.
func (s *stallWatch) disarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// stop ends the watch, cancels the context of the attempt, and reports whether the watch
// has taken a retry from the budget.
func (s *stallWatch) stop() (retryTaken bool) {
	s.disarm()
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryTaken
}
