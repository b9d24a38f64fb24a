// Package inflight counts work in progress and signals when there is none.
package inflight

import "sync/atomic"

// Counter counts work in progress. One goroutine may wait for its end.
type Counter struct {
	n    atomic.Int64
	idle chan struct{}
}

// New returns a counter at zero.
func New() *Counter { return &Counter{idle: make(chan struct{}, 1)} }

// Enter counts the start of one piece of work.
func (c *Counter) Enter() { c.n.Add(1) }

// Leave counts the end of one piece of work.
func (c *Counter) Leave() {
	if c.n.Add(-1) > 0 {
		return
	}
	select {
	case c.idle <- struct{}{}:
	default:
	}
}

// Idle reports whether no work is in progress.
func (c *Counter) Idle() bool { return c.Count() == 0 }

// Count returns the work in progress.
func (c *Counter) Count() int64 { return c.n.Load() }

// Left receives after the last piece of work has ended. The signal may be of an
// earlier end, and work may have started since, so the receiver asks Idle again.
func (c *Counter) Left() <-chan struct{} { return c.idle }
