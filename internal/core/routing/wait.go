package routing

import (
	"slices"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// Waiter is a request that waits for a change of the targets of its pool. It
// has a place in the line of the pool until Table.Stop.
type Waiter struct {
	pool  Pool
	class fleet.Class
	woken chan struct{}
}

// Woken returns a channel that receives when a target of the pool has changed.
// The waiter keeps its place in the line, so it can look and wait again.
func (w *Waiter) Woken() <-chan struct{} { return w.woken }

// lines holds the waiters of each pool by class and, in a class, by arrival.
// A change wakes one waiter, since most changes make room for one request.
type lines struct{ m *shard.Map[Pool, []*Waiter] }

func newLines() lines { return lines{shard.New[Pool, []*Waiter](0)} }

func (l lines) add(w *Waiter) {
	l.m.Update(w.pool, func(v []*Waiter, _ bool) ([]*Waiter, bool) {
		i := len(v)
		for i > 0 && v[i-1].class > w.class {
			i--
		}
		return slices.Insert(v, i, w), true
	})
}

func (l lines) remove(w *Waiter) {
	l.m.Update(w.pool, func(v []*Waiter, _ bool) ([]*Waiter, bool) {
		if i := slices.Index(v, w); i >= 0 {
			v = slices.Delete(v, i, i+1)
		}
		return v, len(v) > 0
	})
}

// wake wakes the first waiter behind after, or the first of all if after is
// nil, that has not been woken already. The channels have room for the only
// value that they hold, so sends do not block.
func (l lines) wake(p Pool, after *Waiter) {
	l.m.Update(p, func(v []*Waiter, _ bool) ([]*Waiter, bool) {
		for _, w := range v[slices.Index(v, after)+1:] {
			select {
			case w.woken <- struct{}{}:
				return v, true
			default:
			}
		}
		return v, len(v) > 0
	})
}

// WakeAll wakes all waiters, for a change that is not in the table, such as a
// new declaration.
func (t *Table) WakeAll() {
	t.lines.m.Range(func(_ Pool, v []*Waiter) bool {
		for _, w := range v {
			select {
			case w.woken <- struct{}{}:
			default:
			}
		}
		return true
	})
}

// AddWaiter puts a request into the line of its pool. The caller looks for a target
// once more before it waits, because a change may have come just before.
func (t *Table) AddWaiter(p Pool, c fleet.Class) *Waiter {
	w := &Waiter{pool: p, class: c, woken: make(chan struct{}, 1)}
	t.lines.add(w)
	return w
}

// RemoveWaiter takes a waiter out of its line and wakes the next one, which may use
// what the waiter left or did not look at.
func (t *Table) RemoveWaiter(w *Waiter) {
	t.lines.remove(w)
	t.lines.wake(w.pool, nil)
}

// WakeNext wakes the waiter behind w, for a change that w cannot use although
// others may.
func (t *Table) WakeNext(w *Waiter) { t.lines.wake(w.pool, w) }
