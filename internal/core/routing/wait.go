package routing

import (
	"slices"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// Waiter is a request that waits for a change in the targets of its pool. It stays
// in the wait queue of the pool until Table.RemoveWaiter.
type Waiter struct {
	pool  Pool
	class fleet.Class
	woken chan struct{}
}

// Woken returns a channel that receives a value when a target of the pool has
// changed. The waiter keeps its position in the queue, so it can try to choose a
// target and wait again.
func (w *Waiter) Woken() <-chan struct{} { return w.woken }

// waitQueues holds the waiters of each pool, ordered by class and then by arrival. A
// change wakes one waiter, since most changes free capacity for one request.
type waitQueues struct{ byPool *shard.Map[Pool, []*Waiter] }

func newWaitQueues() waitQueues { return waitQueues{shard.New[Pool, []*Waiter](0)} }

func (q waitQueues) add(w *Waiter) {
	q.byPool.Update(w.pool, func(v []*Waiter, _ bool) ([]*Waiter, bool) {
		i := len(v)
		for i > 0 && v[i-1].class > w.class {
			i--
		}
		return slices.Insert(v, i, w), true
	})
}

func (q waitQueues) remove(w *Waiter) {
	q.byPool.Update(w.pool, func(v []*Waiter, _ bool) ([]*Waiter, bool) {
		if i := slices.Index(v, w); i >= 0 {
			v = slices.Delete(v, i, i+1)
		}
		return v, len(v) > 0
	})
}

// wake wakes the first waiter without a pending wake-up, of those behind the waiter
// after or, if after is nil, of the whole queue. It does not block: a full channel
// means that a wake-up is pending.
func (q waitQueues) wake(p Pool, after *Waiter) {
	q.byPool.Update(p, func(v []*Waiter, _ bool) ([]*Waiter, bool) {
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

// WakeAll wakes all waiters. It is for changes outside the table, such as a new
// declaration.
func (t *Table) WakeAll() {
	t.waitQueues.byPool.Range(func(_ Pool, v []*Waiter) bool {
		for _, w := range v {
			select {
			case w.woken <- struct{}{}:
			default:
			}
		}
		return true
	})
}

// AddWaiter adds a request to the wait queue of its pool. The caller must try once
// more to choose a target before it waits, because a change may have occurred just
// before.
func (t *Table) AddWaiter(p Pool, c fleet.Class) *Waiter {
	w := &Waiter{pool: p, class: c, woken: make(chan struct{}, 1)}
	t.waitQueues.add(w)
	return w
}

// RemoveWaiter removes a waiter from its queue and wakes the first remaining one, in
// case a wake-up of the removed waiter went unused.
func (t *Table) RemoveWaiter(w *Waiter) {
	t.waitQueues.remove(w)
	t.waitQueues.wake(w.pool, nil)
}

// WakeNext wakes the next waiter behind w. It is for a change that w cannot use but
// another waiter may.
func (t *Table) WakeNext(w *Waiter) { t.waitQueues.wake(w.pool, w) }
