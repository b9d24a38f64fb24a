package agent

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/rollout"
	"github.com/masticwing/masticwing/internal/port"
)

// errIncomplete means that the weights of an order were released meanwhile.
var errIncomplete = errors.New("version is not complete in memory")

// orderer gives orders to the engine, one at a time, under the order lease.
type orderer struct {
	a     *Agent
	gate  rollout.OrderGate
	key   string
	owner string
	lease port.LeaseID
	valid rollout.OrderValidity
}

func newOrderer(a *Agent) *orderer {
	return &orderer{
		a:     a,
		gate:  rollout.NewOrderGate(a.d.Clock.Now()),
		key:   "order/" + string(a.id.VM),
		owner: fmt.Sprintf("%s/%016x", a.id.VM, a.id.BootID),
	}
}

func (o *orderer) run(ctx context.Context, in <-chan rollout.Action, out chan<- orderResult) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-in:
			held, err := o.give(ctx, x)
			out <- orderResult{action: x, held: held, err: err}
		}
	}
}

// give gives one order, or reports that it has to be planned again because the
// time for it has not come.
func (o *orderer) give(ctx context.Context, x rollout.Action) (held bool, err error) {
	st, err := o.a.d.Engine.Status(ctx)
	if err != nil {
		return false, err
	}
	o.gate.SetEngineFence(st.Fence)
	d := o.gate.NextStep(o.a.d.Clock.Now())
	if d.Step == rollout.AcquireLease {
		o.acquire(ctx)
		d = o.gate.NextStep(o.a.d.Clock.Now())
	}
	switch d.Step {
	case rollout.GiveOrder:
		return false, o.order(ctx, x, d)
	case rollout.HoldOrder:
		select {
		case <-o.a.d.Clock.After(d.Wait):
		case <-ctx.Done():
		}
	}
	return true, nil
}

// acquire takes the order lease. The revision of the key under the lease is
// the fencing number.
func (o *orderer) acquire(ctx context.Context) {
	sent := o.a.d.Clock.Now()
	rev, err := o.take(ctx)
	now := o.a.d.Clock.Now()
	switch {
	case err == nil:
		o.gate.LeaseAcquired(rev, sent)
	case errors.Is(err, port.ErrConflict) || errors.Is(err, port.ErrNotFound):
		o.gate.LeaseRefused(now)
	default:
		o.gate.PlatformUnreachable(now)
	}
}

func (o *orderer) take(ctx context.Context) (int64, error) {
	id, err := o.a.d.KV.Grant(ctx, rollout.LeaseDuration)
	if err != nil {
		return 0, err
	}
	o.lease = id
	// The lease's id makes the value of each attempt unique.
	value := o.owner + "/" + string(id)
	rev, err := o.a.d.KV.CompareAndSwap(ctx, o.key, 0, []byte(value), id)
	if errors.Is(err, port.ErrConflict) {
		rev, err = o.retake(ctx, value, id)
	}
	if errors.Is(err, port.ErrUnknownOutcome) {
		return o.confirm(ctx, value)
	}
	return rev, err
}

// retake replaces an earlier lease of this same agent.
func (o *orderer) retake(ctx context.Context, value string, id port.LeaseID) (int64, error) {
	e, err := o.a.d.KV.Get(ctx, o.key)
	if err != nil {
		return 0, err
	}
	if len(e.Value) <= len(o.owner) || string(e.Value[:len(o.owner)]) != o.owner {
		return 0, port.ErrConflict
	}
	return o.a.d.KV.CompareAndSwap(ctx, o.key, e.Rev, []byte(value), id)
}

// confirm finds out whether a write whose answer was lost took effect.
func (o *orderer) confirm(ctx context.Context, value string) (int64, error) {
	e, err := o.a.d.KV.Get(ctx, o.key)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return 0, port.ErrConflict
	case err != nil:
		return 0, err
	case string(e.Value) != value:
		return 0, port.ErrConflict
	}
	return e.Rev, nil
}

// order carries out x and keeps the lease alive meanwhile. It ends the order
// with the lease, and an order without a lease after a pause of this process.
func (o *orderer) order(ctx context.Context, x rollout.Action, d rollout.Decision) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg conc.WaitGroup
	o.valid.Start(d)
	wg.Go(func() { o.keep(ctx, cancel, d) })
	err := o.call(ctx, x, d.Fence)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	wg.Wait()
	return err
}

func (o *orderer) call(ctx context.Context, x rollout.Action, fence int64) error {
	if x.Kind == rollout.Unload {
		return o.a.d.Engine.Unload(ctx, port.UnloadOrder{Version: x.Ref.Version, Fence: fence, Check: o.check})
	}
	r, n, ok := o.a.d.Weights.Open(x.Ref.Version)
	if !ok {
		return errIncomplete
	}
	return o.a.d.Engine.Load(ctx, port.LoadOrder{
		Model: x.Ref.Model, Version: x.Ref.Version, Fence: fence, Bytes: n, Weights: r, Check: o.check,
	})
}

// check returns an error once the order in progress may not be sent any more.
func (o *orderer) check() error {
	if o.valid.Lapsed(o.a.d.Clock.Now()) {
		return errLeaseLost
	}
	return nil
}

const keepEvery = rollout.LeaseDuration / 3

// keep extends the lease, or the time of an order without one, until ctx ends.
// The gate is not used by anything else during an order.
func (o *orderer) keep(ctx context.Context, cancel context.CancelCauseFunc, d rollout.Decision) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.a.d.Clock.After(keepEvery):
		}
		if err := o.extend(ctx, d); err != nil {
			cancel(err)
			return
		}
	}
}

// extend returns an error once the order may not go on. Without a lease, the
// engine is what shows that another agent gives orders.
func (o *orderer) extend(ctx context.Context, d rollout.Decision) error {
	sent := o.a.d.Clock.Now()
	if !d.Leased {
		if st, err := o.a.d.Engine.Status(ctx); err == nil && st.Fence > d.Fence {
			return errSucceeded
		}
		o.valid.ExtendUnleased(sent)
		return o.check()
	}
	err := o.a.d.KV.KeepAlive(ctx, o.lease)
	switch {
	case err == nil:
		o.gate.LeaseExtended(sent)
		o.valid.LeaseExtended(sent)
	case errors.Is(err, port.ErrNotFound):
		return errLeaseLost
	case ctx.Err() == nil:
		o.gate.PlatformUnreachable(o.a.d.Clock.Now())
	}
	return o.check()
}

// errSucceeded means that another agent gave an order during one that was given
// without the platform.
var errSucceeded = errors.New("another agent gave the engine an order")

// errLeaseLost means that the order lease expired during an order.
var errLeaseLost = errors.New("order lease expired during the order")
