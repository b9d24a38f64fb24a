// Package schedule decides the order in which an entry starts its waiting requests.
// Classes have priorities, customers within a class share by weight, and requests
// that cannot finish in time are shed before they start.
//
// A pool's queue and permits change only under the lock of the pool's shard. The
// number of queued requests per customer is kept in a separate sharded map. No method
// holds a lock of each at the same time.
package schedule

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// retryAfter is the suggested retry delay for refused requests when there is no
// better estimate.
const retryAfter = time.Second

// Request describes a request to the scheduler.
type Request struct {
	Pool     routing.Pool
	Customer fleet.Customer
	Class    fleet.Class
	// Share is the weight of the customer; values below 1 count as 1.
	Share int
	// MaxQueued bounds the queued requests of the customer; zero means no bound.
	MaxQueued int
	Deadline  time.Time
}

// Ticket is a position in the queue and, once granted, a permit.
type Ticket struct {
	req       Request
	grant     chan error
	startTag  float64 // of start-time fair queueing
	state     state
	grantedAt time.Time
	// countedAsQueued is set while the request counts against its customer's bound
	// of queued requests.
	countedAsQueued bool
}

type state uint8

const (
	stateWaiting state = iota
	stateRunning
	stateEnded
)

// Granted returns a channel that receives nil when the request may start, or the
// reason why it was shed. It receives at most one value.
func (t *Ticket) Granted() <-chan error { return t.grant }

// Queue holds the waiting requests of one entry and the permits of its pools.
type Queue struct {
	maxQueued int
	pools     *shard.Map[routing.Pool, *pool]
	customers *shard.Map[fleet.Customer, int]
}

// NewQueue returns a queue that holds at most maxQueued requests per pool.
func NewQueue(maxQueued int) *Queue {
	return &Queue{
		maxQueued: maxQueued,
		pools:     shard.New[routing.Pool, *pool](0),
		customers: shard.New[fleet.Customer, int](0),
	}
}

// updatePool calls f with a pool, which it creates if needed, under the lock of its
// shard.
func (q *Queue) updatePool(id routing.Pool, f func(p *pool)) {
	q.pools.Update(id, func(p *pool, ok bool) (*pool, bool) {
		if !ok {
			p = newPool()
		}
		f(p)
		return p, true
	})
}

// Enqueue queues a request. The caller must call Release exactly once, when the
// request has ended or stops waiting.
func (q *Queue) Enqueue(r Request, now time.Time) (*Ticket, error) {
	t := &Ticket{req: r, grant: make(chan error, 1)}
	if !q.countQueued(r) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCustomerLimit,
			"customer has %d requests waiting at this entry", r.MaxQueued).WithRetryAfter(retryAfter)
	}
	t.countedAsQueued = true
	var err error
	q.updatePool(r.Pool, func(p *pool) {
		if err = p.refusalReason(r, now, q.maxQueued); err == nil {
			p.push(t)
			p.dispatch(now)
		}
	})
	if err != nil {
		q.uncountQueued(t)
		return nil, err
	}
	return t, nil
}

// MarkStarted stops counting a granted request against its customer's bound of queued
// requests.
func (q *Queue) MarkStarted(t *Ticket) { q.uncountQueued(t) }

// Release returns the permit of a granted request or removes a waiting request from
// the queue.
func (q *Queue) Release(t *Ticket, now time.Time) {
	q.updatePool(t.req.Pool, func(p *pool) {
		p.release(t, now)
		p.dispatch(now)
	})
	q.uncountQueued(t)
}

// SetCapacity sets the number of permits of a pool, at least one.
func (q *Queue) SetCapacity(id routing.Pool, n int, now time.Time) {
	q.updatePool(id, func(p *pool) {
		p.capacity = max(n, 1)
		p.dispatch(now)
	})
}

// Depth returns the number of waiting requests and of permits in use in a pool.
func (q *Queue) Depth(id routing.Pool) (queued, inUse int) {
	q.updatePool(id, func(p *pool) { queued, inUse = p.queued(), p.inUse })
	return queued, inUse
}

// countQueued counts a request against its customer's bound of queued requests. It
// reports false and does not count it if the bound is reached.
func (q *Queue) countQueued(r Request) bool {
	allowed := true
	q.customers.Update(r.Customer, func(n int, _ bool) (int, bool) {
		if r.MaxQueued > 0 && n >= r.MaxQueued {
			allowed = false
			return n, true
		}
		return n + 1, true
	})
	return allowed
}

// uncountQueued ends the count of countQueued. It must be called by the goroutine that
// owns the ticket.
func (q *Queue) uncountQueued(t *Ticket) {
	if !t.countedAsQueued {
		return
	}
	t.countedAsQueued = false
	q.customers.Update(t.req.Customer, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}
