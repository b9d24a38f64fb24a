package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
)

const (
	// stallObjectiveFactor times the route's objective is the time after which a target that sends
	// nothing counts as silent, and the request is offered to another one if it may be retried.
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

// stallWatch watches for a target that is silent. It opens a successor of the attempt at another target, and cancels
// the context of the attempt only once that target has accepted the request.
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
	// held is set while the request's own goroutine handles what the target has sent, which may take as
	// long as the caller wants. The state of the call belongs to that goroutine then, and to the holder of mu
	// otherwise.
	held bool
	// silentAt is the time at which the target counts as silent. noEventAt bounds it.
	silentAt, noEventAt time.Time
	// abandonAt is the time at which the caller leaves without a further event, or zero if it doesn't, and
	// abandonAfter how long it waits for each event.
	abandonAt    time.Time
	abandonAfter time.Duration
	// successor is the attempt at another target in progress, or nil, and superseded is set once that goes on in
	// place of this one.
	successor  *successor
	superseded bool
	// runs is the number of runs of the request up to this attempt, with it and with the successors that have
	// ended and may have run. ended is the number of the latter.
	runs, ended int
	// suspect is set if the request may have crashed the target of a successor. lost counts these targets.
	suspect bool
	lost    int
	// final is set if the request may not be retried after this attempt, which is watched only to give
	// it up at an engine that stands still.
	final bool
	// gaveUp is set once that has happened.
	gaveUp bool
}

// startStallWatch returns the context of one attempt at a target and its watch. The watch has a
// timer only if the request may be retried after this attempt, or if the caller would leave a
// target that stands still. opened is the attempt if it began as a successor.
func (c *call) startStallWatch(ctx context.Context, target fleet.Instance, opened *successor) (context.Context, *stallWatch) {
	s := &stallWatch{now: c.g.deps.Clock.Now, runs: c.runs + 1}
	s.start = s.now()
	var attemptCtx context.Context
	if opened != nil {
		attemptCtx, s.cancel, s.start = opened.ctx, opened.cancel, opened.sentAt
	} else {
		attemptCtx, s.cancel = context.WithCancel(ctx)
	}
	s.final = !c.route.Retryable() || c.runs+1 >= c.route.MaxAttempts || c.sends >= maxSends
	if s.final && (c.service.Engine == nil || c.route.AbandonTimeout <= 0) {
		return attemptCtx, s
	}
	s.timeout = max(minStallTimeout, time.Duration(stallObjectiveFactor*float64(c.route.LatencyObjective)))
	if c.route.Kind == routes.Streaming {
		s.timeout = streamStallTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandonAfter = c.route.AbandonTimeout
	if c.service.Engine != nil {
		s.abandonAt = c.firstEventBy()
	}
	s.timer = time.AfterFunc(s.timeout, func() { s.expire(ctx, c, target) })
	s.restart(true)
	return attemptCtx, s
}

// stallRecheckDelay is the time until the next check of a silent target.
const stallRecheckDelay = 200 * time.Millisecond

// expire offers the request to another target if it can be retried now, and cancels the attempt if the caller is
// about to leave a target that stands still. Otherwise it checks again later: the target may still respond. ctx is
// that of the request.
func (s *stallWatch) expire(ctx context.Context, c *call, target fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch {
	case s.timer == nil, s.held, s.superseded:
	case now.Before(s.silentAt):
		// The timer fired while the watch was restarted.
		s.setTimer(s.silentAt.Sub(now))
	case !s.giveUpAt().IsZero() && !now.Before(s.giveUpAt()) && now.Sub(s.firesAt) < stallRecheckDelay && c.g.targets.Silent(target, now):
		// A timer that fires late shows that this process stood still itself: reports and events
		// may wait to be read.
		s.gaveUp = true
		s.cancel()
	case s.successor != nil && s.successor.isAnswered() && now.Sub(s.successor.sentAt) >= s.timeout:
		// The other target answered with an error, and this one is still silent. The caller may have time to
		// send the request again.
		s.supersede()
	default:
		if !s.final && s.successor == nil {
			c.openSuccessor(ctx, s, now)
		}
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
	if s.abandonAt.IsZero() {
		return time.Time{}
	}
	return s.abandonAt.Add(-time.Duration(giveUpLead * float64(s.abandonAfter)))
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

// hold stops the watch while the request's goroutine handles what the target has sent. It returns false if another
// target has accepted the request, so that no further event of this one may be passed on.
func (s *stallWatch) hold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = true
	return !s.superseded
}

// release ends a hold without progress of the target.
func (s *stallWatch) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
	s.adopt()
	if s.timer != nil {
		s.setTimer(max(0, s.silentAt.Sub(s.now())))
	}
}

// resume ends a hold and restarts the watch after the target has sent data. event is set if that
// completed an event, behind which a successor can't continue.
func (s *stallWatch) resume(c *call, event bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
	if event || s.timer == nil {
		s.drop(c, "dropped")
	}
	s.adopt()
	if s.timer == nil {
		return
	}
	if event && !s.abandonAt.IsZero() {
		s.abandonAt = s.now().Add(s.abandonAfter)
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

// endAttempt ends the watch and its attempt. If the attempt has failed, its successor is left for the call.
func (c *call) endAttempt(s *stallWatch, failed bool) {
	s.disarm()
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		s.drop(c, "dropped")
	}
	c.successor, s.successor = s.successor, nil
	c.runs += s.ended
	c.lostBeforeEvent += s.lost
	c.suspect = c.suspect || s.suspect
}
