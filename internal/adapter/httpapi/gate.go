package httpapi

import (
	"context"
	"sync"
)

// gate counts the requests in progress and refuses new ones once closed.
type gate struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{}
}

func newGate() *gate { return &gate{idle: make(chan struct{})} }

func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.n++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.closed && g.n == 0 {
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
	if g.n == 0 {
		close(g.idle)
	}
}

// wait returns nil once the closed gate has no request in progress.
func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
