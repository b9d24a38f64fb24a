package httpapi

import (
	"context"
	"sync"

	"github.com/masticwing/masticwing/internal/core/shutdown"
)

// gate counts the requests in progress and admits no new ones once it is closed. The state of
// the shutdown tells the requests in progress.
type gate struct {
	*shutdown.State
	mu         sync.Mutex
	inProgress int
	closed     bool
	idle       chan struct{}
}

func newGate() *gate {
	return &gate{State: shutdown.New(shuttingDownError()), idle: make(chan struct{})}
}

// tryStart counts a new request. It returns false if the gate is closed.
func (g *gate) tryStart() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inProgress++
	return true
}

func (g *gate) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress--
	if g.closed && g.inProgress == 0 {
		close(g.idle)
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.Refuse()
	if g.inProgress == 0 {
		close(g.idle)
	}
}

// awaitIdle waits until the gate is closed and no request is in progress, or ctx
// ends.
func (g *gate) awaitIdle(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
