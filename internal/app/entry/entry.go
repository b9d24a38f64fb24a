// Package entry is the application of an entry process: it admits callers'
// requests, queues them, chooses targets, retries failed attempts, and watches
// the status of the agents.
package entry

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/schedule"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// Deps holds the ports and settings of an Entry.
type Deps struct {
	ID        string
	Domain    fleet.Domain
	MaxQueued int
	Directory port.Directory
	Agents    port.AgentClient
	Clock     port.Clock
	Rand      port.Rand
	Metrics   port.Metrics
	Log       port.Log
}

// Entry serves decoded requests. Its shared state is in the routing table, the
// queue, the retry budget and the caches, each in a sharded map.
type Entry struct {
	Deps
	table       *routing.Table
	queue       *schedule.Queue
	budget      *routing.RetryBudget
	poolConfigs *shard.Map[routing.Pool, *poolConfig]
	assignments *shard.Map[fleet.VM, cachedAssignment]
	poolSizes   *shard.Map[routing.Pool, poolSize]
}

var _ port.EntryHandler = (*Entry)(nil)

// New returns an entry without any targets. Run adds them.
func New(d Deps) *Entry {
	return &Entry{
		Deps:        d,
		table:       routing.NewTable(),
		queue:       schedule.NewQueue(d.MaxQueued),
		budget:      routing.NewRetryBudget(),
		poolConfigs: shard.New[routing.Pool, *poolConfig](0),
		assignments: shard.New[fleet.VM, cachedAssignment](0),
		poolSizes:   shard.New[routing.Pool, poolSize](0),
	}
}

// Admit implements port.EntryHandler.
func (e *Entry) Admit(r port.ServeRequest) (port.RequestLimits, error) {
	d, _ := e.Directory.Declaration()
	if d == nil {
		return port.RequestLimits{}, verdict.New(verdict.NotRun, verdict.CodeNoConfiguration,
			"no configuration is known yet").WithRetryAfter(time.Second)
	}
	c, ok := d.Customers[r.Customer]
	if !ok {
		return port.RequestLimits{}, verdict.New(verdict.NotRun, verdict.CodeUnknownCustomer, "customer is not declared")
	}
	if err := checkTarget(d, &r); err != nil {
		return port.RequestLimits{}, err
	}
	return port.RequestLimits{CustomerBytes: c.MaxBytes}, nil
}

// Serve implements port.EntryHandler. The request holds its permit until the
// answer is closed.
func (e *Entry) Serve(ctx context.Context, r port.ServeRequest, begin func() error) (port.Answer, error) {
	pc, err := e.poolConfig(poolOf(&r), &r)
	if err != nil {
		return nil, err
	}
	t, err := e.enqueue(ctx, &r, pc)
	if err != nil {
		e.countShed(&r, err)
		return nil, err
	}
	if err := begin(); err != nil {
		e.queue.Release(t, e.Clock.Now())
		e.countShed(&r, err)
		return nil, err
	}
	e.budget.Deposit(pc.pool)
	tried := map[fleet.VM]bool{}
	a, err := e.tryTargets(ctx, &r, pc, tried)
	if err != nil {
		e.queue.Release(t, e.Clock.Now())
		return nil, err
	}
	a.onClose(func() { e.queue.Release(t, e.Clock.Now()) })
	if r.Group == "" {
		return a, nil
	}
	return &resumableAnswer{targetAnswer: a, e: e, ctx: ctx, r: r, pc: pc, tried: tried, head: a.Head()}, nil
}

// enqueue puts the request into the queue and waits until it gets a permit.
func (e *Entry) enqueue(ctx context.Context, r *port.ServeRequest, pc *poolConfig) (*schedule.Ticket, error) {
	start := e.Clock.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = start.Add(r.Timeout)
	}
	c := pc.decl.Customers[r.Customer]
	t, err := e.queue.Enqueue(schedule.Request{
		Pool: pc.pool, Customer: r.Customer, Class: r.Class,
		Share: c.Share, MaxQueued: c.MaxQueued, Deadline: deadline,
	}, start)
	if err != nil {
		return nil, err
	}
	e.adjustCapacityIfQueued(pc.pool)
	select {
	case err = <-t.Granted():
	case <-ctx.Done():
		err = contextError(ctx, verdict.NotRun)
	}
	e.queue.MarkStarted(t)
	e.Metrics.Seconds("masticwing_entry_queue_seconds", e.Clock.Now().Sub(start), requestAttrs(r)...)
	if err != nil {
		e.queue.Release(t, e.Clock.Now())
		return nil, err
	}
	return t, nil
}

// contextError returns the error of a request whose context has ended.
func contextError(ctx context.Context, v verdict.Verdict) error {
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

// State is the state of an entry as GET /status reports it.
type State struct {
	Revision  uint64                 `json:"revision"`
	AgeMS     int64                  `json:"age_ms"`
	BytesHeld int64                  `json:"bytes_held"`
	Targets   []routing.TargetStatus `json:"targets"`
}

// State returns the current state for operators.
func (e *Entry) State(bytesHeld int64) State {
	s := State{BytesHeld: bytesHeld, Targets: e.table.Snapshot(e.Clock.Now())}
	if d, age := e.Directory.Declaration(); d != nil {
		s.Revision, s.AgeMS = d.Revision, age.Milliseconds()
	}
	return s
}
