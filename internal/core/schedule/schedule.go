// Package schedule decides in which order the requests that wait at an entry
// are sent on. Classes have priorities, customers inside a class share by
// weight, and requests that cannot be served in time are shed before they
// start.
//
// A pool's queue and permits change only under the lock of the pool's shard;
// the number of queued requests of a customer has its own sharded map. No
// method takes both locks at once.
package schedule

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// retryAfter is the hint for refused requests when no better estimate exists.
const retryAfter = time.Second

// Request is a request that waits for a permit.
type Request struct {
	Pool     routing.Pool
	Customer fleet.Customer
	Class    fleet.Class
	// Share is the weight of the customer; values below 1 count as 1.
	Share int
	// MaxQueued bounds the queued requests of the customer; zero is no bound.
	MaxQueued int
	Deadline  time.Time
}

// Ticket is a place in the queue and later a permit.
type Ticket struct {
	req     Request
	grant   chan error
	start   float64 // start tag of fair queueing
	state   state
	granted time.Time
	counted bool
}

type state uint8

const (
	waiting state = iota
	running
	ended
)

// Granted returns a channel that receives nil when the request may start, or
// the reason why it was shed. It receives at most once.
func (t *Ticket) Granted() <-chan error { return t.grant }

// Queue holds the waiting requests of one entry.
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

func (q *Queue) with(k routing.Pool, f func(p *pool)) {
	q.pools.Update(k, func(p *pool, ok bool) (*pool, bool) {
		if !ok {
			p = newPool()
		}
		f(p)
		return p, true
	})
}

// Enqueue queues a request. The caller calls Leave exactly once, after the
// request has ended or when it stops waiting.
func (q *Queue) Enqueue(r Request, now time.Time) (*Ticket, error) {
	t := &Ticket{req: r, grant: make(chan error, 1)}
	if !q.countCustomer(r) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCustomerLimit,
			"customer has %d requests waiting at this entry", r.MaxQueued).WithRetryAfter(retryAfter)
	}
	t.counted = true
	var err error
	q.with(r.Pool, func(p *pool) {
		if err = p.refuse(r, now, q.maxQueued); err == nil {
			p.push(t)
			p.dispatch(now)
		}
	})
	if err != nil {
		q.uncount(t)
		return nil, err
	}
	return t, nil
}

// MarkStarted ends the count of a granted request against its customer's bound of
// queued requests.
func (q *Queue) MarkStarted(t *Ticket) { q.uncount(t) }

// Release returns the permit of a granted request or takes a waiting request out
// of the queue.
func (q *Queue) Release(t *Ticket, now time.Time) {
	q.with(t.req.Pool, func(p *pool) {
		p.leave(t, now)
		p.dispatch(now)
	})
	q.uncount(t)
}

// SetCapacity sets the number of permits of a pool.
func (q *Queue) SetCapacity(k routing.Pool, n int, now time.Time) {
	q.with(k, func(p *pool) {
		p.capacity = max(n, 1)
		p.dispatch(now)
	})
}

// Depth returns the waiting requests and the permits in use of a pool.
func (q *Queue) Depth(k routing.Pool) (queued, inUse int) {
	q.with(k, func(p *pool) { queued, inUse = p.queued(), p.inUse })
	return queued, inUse
}

func (q *Queue) countCustomer(r Request) bool {
	ok := true
	q.customers.Update(r.Customer, func(n int, _ bool) (int, bool) {
		if r.MaxQueued > 0 && n >= r.MaxQueued {
			ok = false
			return n, true
		}
		return n + 1, true
	})
	return ok
}

// uncount is called by the goroutine that owns the ticket.
func (q *Queue) uncount(t *Ticket) {
	if !t.counted {
		return
	}
	t.counted = false
	q.customers.Update(t.req.Customer, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}
