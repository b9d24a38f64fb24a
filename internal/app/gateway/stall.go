package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
)

const (
	// stallFactor is the part of the objective after which a request that may be
	// sent again is taken from a target that sends nothing, as a multiple.
	stallFactor = 3.0
	// stallLeast is the shortest such time; a full engine takes up to a second.
	stallLeast = 300 * time.Millisecond
	// streamStall is the same for streams. Callers leave after 3.2 s.
	streamStall = 1300 * time.Millisecond
)

// stall ends an attempt at a target that sends nothing. Its context ends then,
// while that of the request goes on.
type stall struct {
	// start is the time at which the attempt began.
	start  time.Time
	after  time.Duration
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
}

// watchStall returns the context of one attempt. Only requests that may be sent
// again are watched, and only while they may.
func (c *call) watchStall(ctx context.Context) (context.Context, *stall) {
	ctx, cancel := context.WithCancel(ctx)
	s := &stall{start: c.g.deps.Clock.Now(), cancel: cancel}
	if !c.route.Retryable() || c.runs+1 >= c.route.MaxAttempts {
		return ctx, s
	}
	s.after = max(stallLeast, time.Duration(stallFactor*float64(c.route.LatencyObjective)))
	if c.route.Kind == routes.Streaming {
		s.after = streamStall
	}
	q := c.query(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.after, func() { s.expire(c.g, q) })
	return ctx, s
}

// stallRetry is the pause after which a silent target is looked at again if no
// other target has room.
const stallRetry = 200 * time.Millisecond

// expire ends the attempt if another target would take the request. Otherwise the
// silent one may still answer, and nothing is better.
func (s *stall) expire(g *Gateway, q placement.Query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	if !g.targets.HasCapacity(q, g.deps.Clock.Now()) {
		s.timer.Reset(stallRetry)
		return
	}
	s.cancel()
}

// progress starts the time anew.
func (s *stall) progress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(s.after)
	}
}

// end stops the watch and ends the attempt.
func (s *stall) end() {
	s.mu.Lock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.mu.Unlock()
	s.cancel()
}
