package gateway

import (
	"context"
	"sync"
	"time"

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
)

// stallWatch cancels an attempt at a target that sends nothing. It cancels only the
// context of the attempt, so that the request can be retried at another target.
type stallWatch struct {
	// start is the time at which the attempt began.
	start   time.Time
	timeout time.Duration
	cancel  context.CancelFunc

	mu sync.Mutex
	// timer is nil if the attempt is not watched or has ended; mu guards it.
	timer *time.Timer
}

// startStallWatch returns the context of one attempt and its watch. The watch has a
// timer only if the request may be retried after this attempt.
func (c *call) startStallWatch(ctx context.Context) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stallWatch{start: c.g.deps.Clock.Now(), cancel: cancel}
	if !c.route.Retryable() || c.runs+1 >= c.route.MaxAttempts {
		return ctx, s
	}
	s.timeout = max(minStallTimeout, time.Duration(stallObjectiveFactor*float64(c.route.LatencyObjective)))
	if c.route.Kind == routes.Streaming {
		s.timeout = streamStallTimeout
	}
	q := c.placementQuery(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.timeout, func() { s.expire(c.g, q) })
	return ctx, s
}

// stallRecheckDelay is the time until the next check after no other target had capacity
// for the request of a stalled attempt.
const stallRecheckDelay = 200 * time.Millisecond

// expire cancels the attempt if another target has capacity for the request. Otherwise it
// checks again later: the target may still respond, and a retry could not succeed.
func (s *stallWatch) expire(g *Gateway, q placement.Query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	if !g.targets.HasCapacity(q, g.deps.Clock.Now()) {
		s.timer.Reset(stallRecheckDelay)
		return
	}
	s.cancel()
}

// reset restarts the timer after the target has sent an event.
func (s *stallWatch) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}

// disarm stops the timer. The attempt goes on.
func (s *stallWatch) disarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// stop stops the timer and cancels the context of the attempt.
func (s *stallWatch) stop() {
	s.disarm()
	s.cancel()
}
