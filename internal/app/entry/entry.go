// Package entry is the application of an entry process: it admits callers'
// requests, queues them, picks targets, retries, and watches the agents.
package entry

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/httpapi"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/schedule"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// Deps are the parts of the outside that an entry uses.
type Deps struct {
	ID        string
	Domain    fleet.Domain
	MaxQueued int
	Directory port.Directory
	Agents    port.AgentClient
	Clock     port.Clock
	Rand      port.Rand
	Metrics   port.Metrics
}

// Entry answers decoded requests. Its shared state is in the table, the queue,
// the budget and the plans, each in a sharded map.
type Entry struct {
	Deps
	table  *routing.Table
	queue  *schedule.Queue
	budget *routing.RetryBudget
	plans  *shard.Map[routing.Pool, *plan]
	assign *shard.Map[fleet.VM, assigned]
	sizes  *shard.Map[routing.Pool, poolSize]
}

var _ httpapi.Backend = (*Entry)(nil)

// New returns an entry that knows no target yet.
func New(d Deps) *Entry {
	return &Entry{
		Deps:   d,
		table:  routing.NewTable(),
		queue:  schedule.NewQueue(d.MaxQueued),
		budget: routing.NewRetryBudget(),
		plans:  shard.New[routing.Pool, *plan](0),
		assign: shard.New[fleet.VM, assigned](0),
		sizes:  shard.New[routing.Pool, poolSize](0),
	}
}

// Admit implements httpapi.Backend.
func (e *Entry) Admit(r port.ServeRequest) (httpapi.Bounds, error) {
	d, _ := e.Directory.Declaration()
	if d == nil {
		return httpapi.Bounds{}, verdict.New(verdict.NotRun, verdict.CodeNoConfiguration,
			"no configuration is known yet").WithRetryAfter(time.Second)
	}
	c, ok := d.Customers[r.Customer]
	if !ok {
		return httpapi.Bounds{}, verdict.New(verdict.NotRun, verdict.CodeUnknownCustomer, "customer is not declared")
	}
	if err := checkTarget(d, &r); err != nil {
		return httpapi.Bounds{}, err
	}
	return httpapi.Bounds{CustomerBytes: c.MaxBytes}, nil
}

// Serve implements httpapi.Backend. The request holds its permit until the
// answer is closed.
func (e *Entry) Serve(ctx context.Context, r port.ServeRequest, begin func() error) (port.Answer, error) {
	p, err := e.plan(poolOf(&r), &r)
	if err != nil {
		return nil, err
	}
	t, err := e.enqueue(ctx, &r, p)
	if err != nil {
		e.countShed(&r, err)
		return nil, err
	}
	if err := begin(); err != nil {
		e.queue.Release(t, e.Clock.Now())
		e.countShed(&r, err)
		return nil, err
	}
	e.budget.Deposit(p.pool)
	tried := map[fleet.VM]bool{}
	a, err := e.attempts(ctx, &r, p, tried)
	if err != nil {
		e.queue.Release(t, e.Clock.Now())
		return nil, err
	}
	a.release(func() { e.queue.Release(t, e.Clock.Now()) })
	if r.Group == "" {
		return a, nil
	}
	return &resumable{answer: a, e: e, ctx: ctx, r: r, p: p, tried: tried, head: a.Head()}, nil
}

// enqueue waits for a permit.
func (e *Entry) enqueue(ctx context.Context, r *port.ServeRequest, p *plan) (*schedule.Ticket, error) {
	start := e.Clock.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = start.Add(r.Timeout)
	}
	c := p.decl.Customers[r.Customer]
	t, err := e.queue.Enqueue(schedule.Request{
		Pool: p.pool, Customer: r.Customer, Class: r.Class,
		Share: c.Share, MaxQueued: c.MaxQueued, Deadline: deadline,
	}, start)
	if err != nil {
		return nil, err
	}
	e.lendCapacity(p.pool)
	select {
	case err = <-t.Granted():
	case <-ctx.Done():
		err = ended(ctx, verdict.NotRun)
	}
	e.queue.MarkStarted(t)
	e.Metrics.Seconds("masticwing_entry_queue_seconds", e.Clock.Now().Sub(start), requestAttrs(r)...)
	if err != nil {
		e.queue.Release(t, e.Clock.Now())
		return nil, err
	}
	return t, nil
}

// ended returns the error of a request whose context has ended.
func ended(ctx context.Context, v verdict.Verdict) error {
	if ctx.Err() == context.DeadlineExceeded {
		return verdict.Wrap(ctx.Err(), v, verdict.CodeDeadline, "deadline passed")
	}
	return verdict.Wrap(ctx.Err(), v, verdict.CodeCanceled, "caller left")
}

func (e *Entry) countShed(r *port.ServeRequest, err error) {
	attrs := append(requestAttrs(r), port.Attr{Key: "code", Value: string(verdict.FromError(err).Code)})
	e.Metrics.Count("masticwing_entry_sheds_total", 1, attrs...)
}

func requestAttrs(r *port.ServeRequest) []port.Attr {
	return []port.Attr{{Key: "customer", Value: string(r.Customer)}, {Key: "class", Value: r.Class.String()}}
}

// State is the value of /status.
type State struct {
	Revision  uint64                 `json:"revision"`
	AgeMS     int64                  `json:"age_ms"`
	BytesHeld int64                  `json:"bytes_held"`
	Targets   []routing.TargetStatus `json:"targets"`
}

// State returns what the entry knows, for operators.
func (e *Entry) State(bytesHeld int64) State {
	s := State{BytesHeld: bytesHeld, Targets: e.table.Snapshot(e.Clock.Now())}
	if d, age := e.Directory.Declaration(); d != nil {
		s.Revision, s.AgeMS = d.Revision, age.Milliseconds()
	}
	return s
}
