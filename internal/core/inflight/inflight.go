// Package inflight counts operations in progress and signals when none is left.
package inflight

import "sync/atomic"

// Counter counts operations in progress. At most one goroutine may wait on its
// IdleSignal.
type Counter struct {
	n    atomic.Int64
	idle chan struct{}
}

// New returns a counter at zero.
func New() *Counter { return &Counter{idle: make(chan struct{}, 1)} }

// Start counts the start of an operation.
func (c *Counter) Start() { c.n.Add(1) }

// Done counts the end of an operation.
func (c *Counter) Done() {
	if c.n.Add(-1) > 0 {
		return
	}
	select {
	case c.idle <- struct{}{}:
	default:
	}
}

// Idle reports whether no operation is in progress.
func (c *Counter) Idle() bool { return c.Count() == 0 }

// Count returns the number of operations in progress.
func (c *Counter) Count() int64 { return c.n.Load() }

// IdleSignal returns a channel that receives a value after the last operation
// has ended. The value may be left over from an earlier idle time, so the
// receiver must check Idle.
func (c *Counter) IdleSignal() <-chan struct{} { return c.idle }
