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

// Start counts the start of one piece of work.
func (c *Counter) Start() { c.n.Add(1) }

// Done counts the end of one piece of work.
func (c *Counter) Done() {
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

// IdleSignal receives after the last piece of work has ended. The signal may be of an
// earlier end, and work may have started since, so the receiver asks Idle again.
func (c *Counter) IdleSignal() <-chan struct{} { return c.idle }
