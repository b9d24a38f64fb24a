// Package scaling orders the number of engines of each service and failure domain from the platform. It is one of
// the singleton duties.
package scaling

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/duty"
	core "github.com/masticwing/masticwing/internal/core/scaling"
	"github.com/masticwing/masticwing/internal/port"
)

// Source states the figures on which orders are based.
type Source interface {
	// Snapshot returns the figures of this moment.
	Snapshot() core.Snapshot
}

const (
	// observeInterval is the time between two decisions, which core/scaling expects.
	observeInterval = time.Second
	// minPause and maxPause limit the time between two calls for one order. The platform accepts DutyPerS calls of all
	// duties.
	minPause = 500 * time.Millisecond
	maxPause = 8 * time.Second
	// callTimeout limits one call, so that an API that is slow does not keep figures from being observed.
	callTimeout = time.Second
)

// Deps holds the ports that the duty uses.
type Deps struct {
	Source  Source
	Store   port.Store
	API     port.DutyAPI
	Clock   port.Clock
	Metrics port.Metrics
	Log     port.Log
}

// Work is the duty. All state belongs to one tenure.
type Work struct {
	settings Settings
	deps     Deps
}

var _ duty.Work = (*Work)(nil)

// New returns the duty.
func New(s Settings, d Deps) *Work { return &Work{s, d} }

// Name implements duty.Work.
func (w *Work) Name() string { return duty.ScalingOrders }

// Run implements duty.Work.
func (w *Work) Run(ctx context.Context, t duty.Tenure) {
	r := &run{Deps: w.deps, tenure: t, planner: core.NewPlanner(w.settings.Rules), last: map[core.Subject]*lastOrder{}, logged: map[core.Subject]core.State{}}
	for ctx.Err() == nil {
		if r.adopted || r.adopt(ctx) {
			r.step(ctx)
		}
		r.sleep(ctx)
	}
}

// run is the duty during one tenure. One goroutine uses it.
type run struct {
	Deps
	tenure  duty.Tenure
	planner *core.Planner
	last    map[core.Subject]*lastOrder
	// adopted is set once the last orders were read.
	adopted bool
	// storeFailed is set while calls to the store fail, of which the first one is logged.
	storeFailed bool
	// unwritten is set while the store may lack last. Nothing is sent meanwhile.
	unwritten bool
	// logged holds the states that were logged last.
	logged map[core.Subject]core.State
}

func (r *run) sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.Clock.After(observeInterval):
	}
}

// adopt continues from the orders of the last holder, or returns false if they can't be read. Those that it did not see
// confirmed are sent again. Orders from before a restore of the store may be older than the last ones, so that nothing
// is repeated or counted from there.
func (r *run) adopt(ctx context.Context) bool {
	orders, _, bad, err := readRecord(ctx, r.Store)
	if r.recordStore("last scaling orders can't be read", err); err != nil {
		return false
	}
	now, outdated := r.Clock.Now(), 0
	for _, o := range orders {
		if o.Era < storeEra(r.Store) {
			outdated++
			continue
		}
		s := core.Subject{Service: o.Service, Domain: o.Domain}
		r.last[s] = &lastOrder{desired: o.Desired, decidedAt: time.UnixMilli(o.AtMs), confirmed: o.Confirmed, uncertain: !o.Confirmed, dueAt: now, pause: minPause}
		r.planner.Ordered(s, o.Desired, now)
	}
	r.adopted = true
	r.Log.StateChange("last scaling orders adopted", port.F("orders", len(orders)), port.F("unreadable", bad), port.F("outdated", outdated))
	return true
}

// recordStore counts a failed call to the store, and logs the first one in a row.
func (r *run) recordStore(msg string, err error) {
	if err != nil {
		r.Metrics.Count("scaling_store_failures_total", 1)
		if !r.storeFailed {
			r.Log.Failure(msg, err)
		}
	}
	r.storeFailed = err != nil
}

// step observes the figures once, and writes and sends the orders that are due.
func (r *run) step(ctx context.Context) {
	now := r.Clock.Now()
	r.planner.Observe(r.Source.Snapshot(), now)
	orders, states := r.planner.Decide(now, func(s core.Subject) bool { o := r.last[s]; return o != nil && o.uncertain })
	for _, o := range orders {
		r.planner.Ordered(o.Subject, o.Desired, now)
		r.last[o.Subject] = &lastOrder{desired: o.Desired, decidedAt: now, dueAt: now, pause: minPause}
		r.unwritten = true
		r.Metrics.Count("scaling_orders_total", 1, port.Attr{Key: "cause", Value: string(o.Cause)})
		r.Log.StateChange("engines ordered", port.F("service", string(o.Service)), port.F("domain", string(o.Domain)), port.F("desired", o.Desired),
			port.F("before", o.Before), port.F("cause", string(o.Cause)), port.F("demand", o.Demand), port.F("expected", o.Expected),
			port.F("engines", o.Engines), port.F("serving", o.Serving))
	}
	r.report(states)
	if r.unwritten {
		r.write(ctx)
	}
	// An order that the store may lack is not sent: the next holder would not know of it.
	if !r.unwritten {
		r.send(ctx)
	}
}

// write writes the last orders to the store. The revision of the record is a condition, so that an earlier write whose
// outcome is not known can't replace this one later.
func (r *run) write(ctx context.Context) {
	_, revision, _, err := readRecord(ctx, r.Store)
	if err == nil {
		var value []byte
		if value, err = encodeRecord(r.last, storeEra(r.Store)); err == nil {
			err = r.tenure.Commit(ctx, []port.Precondition{{Key: RecordKey, Revision: revision}}, []port.StoreWrite{{Key: RecordKey, Value: value}})
		}
	}
	r.recordStore("scaling orders are not stored yet", err)
	r.unwritten = err != nil
}

// sent is the outcome of a call.
type sent struct {
	core.Subject
	err error
}

// send sends the orders that are due, all at the same time, since each call may take callTimeout.
func (r *run) send(ctx context.Context) {
	now := r.Clock.Now()
	outcomes := make(chan sent, len(r.last))
	var calls conc.WaitGroup
	for s, o := range r.last {
		if o.confirmed || now.Before(o.dueAt) {
			continue
		}
		order := port.ScaleOrder{Service: s.Service, Domain: s.Domain, Desired: o.desired}
		calls.Go(func() {
			err := r.tenure.Call(ctx, func(ctx context.Context, c port.DutyCredentials) error {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				return r.API.OrderScale(ctx, c, order)
			})
			outcomes <- sent{s, err}
		})
	}
	calls.Wait()
	close(outcomes)
	for x := range outcomes {
		r.settle(x)
	}
}

// settle records the outcome of a call.
func (r *run) settle(x sent) {
	o, outcome := r.last[x.Subject], "done"
	switch {
	case x.err == nil:
		o.confirmed, o.uncertain, r.unwritten = true, false, true
	case errors.Is(x.err, duty.ErrTenureOver), errors.Is(x.err, port.ErrUnavailable):
		outcome = "not_done"
	default:
		outcome, o.uncertain = "unknown", true
	}
	r.Metrics.Count("scaling_calls_total", 1, port.Attr{Key: "outcome", Value: outcome})
	if x.err == nil {
		return
	}
	o.dueAt, o.pause = r.Clock.Now().Add(o.pause), min(2*o.pause, maxPause)
	r.Log.Failure("scaling order is repeated", x.err, port.F("service", string(x.Service)), port.F("domain", string(x.Domain)),
		port.F("desired", o.desired), port.F("outcome", outcome))
}

// report sets the gauges and logs what has changed.
func (r *run) report(states []core.State) {
	logged := make(map[core.Subject]core.State, len(states))
	defer func() { r.logged = logged }()
	for _, s := range states {
		a := []port.Attr{{Key: "service", Value: string(s.Service)}, {Key: "domain", Value: string(s.Domain)}}
		if s.Domain != "" {
			r.Metrics.Gauge("scaling_demand_engines", s.Demand, a...)
			r.Metrics.Gauge("scaling_engines", float64(s.Engines), a...)
			r.Metrics.Gauge("scaling_serving_engines", float64(s.Serving), a...)
			r.Metrics.Gauge("scaling_ordered_engines", float64(s.Ordered), a...)
		}
		before, known := r.logged[s.Subject]
		logged[s.Subject] = s
		if s.Missing != before.Missing || !known && s.Missing != core.NothingMissing {
			r.Log.StateChange("scaling decision", port.F("service", string(s.Service)), port.F("domain", string(s.Domain)), port.F("missing", string(s.Missing)))
		}
		if s.NotServing && !before.NotServing {
			r.Log.Failure("engines that were ordered do not serve", nil, port.F("service", string(s.Service)), port.F("domain", string(s.Domain)),
				port.F("desired", s.Ordered), port.F("engines", s.Engines), port.F("serving", s.Serving))
		}
	}
}
