package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/rollout"
	"github.com/masticwing/masticwing/internal/port"
)

// errWeightsIncomplete means that the weights were released after the order to
// load them was planned.
var errWeightsIncomplete = errors.New("version is not complete in memory")

// orderer sends orders to the engine, one at a time. They are sent under the
// order lease, or without it while the platform is unreachable (see
// rollout.OrderGate).
type orderer struct {
	a        *Agent
	gate     rollout.OrderGate
	key      string
	owner    string
	lease    port.LeaseID
	validity rollout.OrderValidity
}

func newOrderer(a *Agent) *orderer {
	return &orderer{
		a:     a,
		gate:  rollout.NewOrderGate(leaseTime(a.deps.Clock)),
		key:   "order/" + string(a.id.VM),
		owner: fmt.Sprintf("%s/%016x", a.id.VM, a.id.BootID),
	}
}

// leaseTime returns the time by which leases are counted. It also advances while the machine
// is suspended, as the platform's time does; its date has no meaning.
func leaseTime(c port.BootClock) time.Time { return time.Unix(0, 0).Add(c.SinceBoot()) }

func (o *orderer) now() time.Time { return leaseTime(o.a.deps.Clock) }

func (o *orderer) run(ctx context.Context, actions <-chan rollout.Action, results chan<- orderResult) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-actions:
			deferred, err := o.execute(ctx, next)
			results <- orderResult{action: next, deferred: deferred, err: err}
		}
	}
}

// execute carries out one order. It reports deferred if the order may not be
// sent yet and has to be planned again.
func (o *orderer) execute(ctx context.Context, action rollout.Action) (deferred bool, err error) {
	status, err := o.a.deps.Engine.Status(ctx)
	if err != nil {
		return false, err
	}
	o.gate.SetEngineFence(status.Fence)
	decision := o.gate.NextStep(o.now())
	if decision.Step == rollout.AcquireLease {
		o.acquireLease(ctx)
		decision = o.gate.NextStep(o.now())
	}
	switch decision.Step {
	case rollout.SendOrder:
		return false, o.runOrder(ctx, action, decision)
	case rollout.DeferOrder:
		select {
		case <-o.a.deps.Clock.After(decision.Wait):
		case <-ctx.Done():
		}
	}
	return true, nil
}

// acquireLease takes the order lease. The revision of the key under the lease is
// the fencing number.
func (o *orderer) acquireLease(ctx context.Context) {
	sentAt := o.now()
	revision, err := o.writeLease(ctx)
	now := o.now()
	switch {
	case err == nil:
		o.gate.LeaseAcquired(revision, sentAt)
	case errors.Is(err, port.ErrConflict) || errors.Is(err, port.ErrNotFound):
		o.gate.LeaseRefused(now)
	default:
		o.gate.PlatformUnreachable(now)
	}
}

func (o *orderer) writeLease(ctx context.Context) (int64, error) {
	leaseID, err := o.a.deps.KV.Grant(ctx, rollout.LeaseDuration)
	if err != nil {
		return 0, err
	}
	o.lease = leaseID
	// The lease ID makes the value of each attempt unique.
	value := o.owner + "/" + string(leaseID)
	revision, err := o.a.deps.KV.CompareAndSwap(ctx, o.key, 0, []byte(value), leaseID)
	if errors.Is(err, port.ErrConflict) {
		revision, err = o.replaceOwnLease(ctx, value, leaseID)
	}
	if errors.Is(err, port.ErrUnknownOutcome) {
		return o.confirmWrite(ctx, value)
	}
	return revision, err
}

// replaceOwnLease overwrites the key if it is held under an earlier lease of
// this agent process.
func (o *orderer) replaceOwnLease(ctx context.Context, value string, leaseID port.LeaseID) (int64, error) {
	current, err := o.a.deps.KV.Get(ctx, o.key)
	if err != nil {
		return 0, err
	}
	if len(current.Value) <= len(o.owner) || string(current.Value[:len(o.owner)]) != o.owner {
		return 0, port.ErrConflict
	}
	return o.a.deps.KV.CompareAndSwap(ctx, o.key, current.Rev, []byte(value), leaseID)
}

// confirmWrite reads the key to find out whether a write with an unknown outcome
// took effect.
func (o *orderer) confirmWrite(ctx context.Context, value string) (int64, error) {
	current, err := o.a.deps.KV.Get(ctx, o.key)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return 0, port.ErrConflict
	case err != nil:
		return 0, err
	case string(current.Value) != value:
		return 0, port.ErrConflict
	}
	return current.Rev, nil
}

// runOrder sends an order and keeps the lease alive until the order ends. It
// cancels the order when the lease is lost or when the validity of the order has
// expired because this process was paused. It also cancels an order without a
// lease when another agent has sent the engine an order.
func (o *orderer) runOrder(ctx context.Context, action rollout.Action, decision rollout.Decision) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg conc.WaitGroup
	o.validity.Start(decision)
	wg.Go(func() { o.keepLeaseAlive(ctx, cancel, decision) })
	err := o.sendOrder(ctx, action, decision.Fence)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	wg.Wait()
	return err
}

func (o *orderer) sendOrder(ctx context.Context, action rollout.Action, fence int64) error {
	if action.Kind == rollout.Unload {
		return o.a.deps.Engine.Unload(ctx, port.UnloadOrder{Version: action.Ref.Version, Fence: fence, Check: o.checkValidity})
	}
	weights, size, ok := o.a.deps.Weights.Open(action.Ref.Version)
	if !ok {
		return errWeightsIncomplete
	}
	return o.a.deps.Engine.Load(ctx, port.LoadOrder{
		Model: action.Ref.Model, Version: action.Ref.Version, Fence: fence, Bytes: size, Weights: weights, Check: o.checkValidity,
	})
}

// checkValidity returns an error once the order in progress may not be sent any
// more.
func (o *orderer) checkValidity() error {
	if o.validity.Lapsed(o.now()) {
		return errLeaseLost
	}
	return nil
}

const keepAliveInterval = rollout.LeaseDuration / 3

// keepLeaseAlive extends the lease, or the validity of an order without a lease,
// until ctx ends. Nothing else uses the gate during an order.
func (o *orderer) keepLeaseAlive(ctx context.Context, cancel context.CancelCauseFunc, decision rollout.Decision) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.a.deps.Clock.After(keepAliveInterval):
		}
		if err := o.extendLease(ctx, decision); err != nil {
			cancel(err)
			return
		}
	}
}

// extendLease extends the validity of an order. It returns an error if the order
// must be canceled. Without a lease, only the fencing number that the engine
// reports shows that another agent has sent an order.
func (o *orderer) extendLease(ctx context.Context, decision rollout.Decision) error {
	sentAt := o.now()
	if !decision.Leased {
		if st, err := o.a.deps.Engine.Status(ctx); err == nil && st.Fence > decision.Fence {
			return errSuperseded
		}
		o.validity.ExtendUnleased(sentAt)
		return o.checkValidity()
	}
	err := o.a.deps.KV.KeepAlive(ctx, o.lease)
	switch {
	case err == nil:
		o.gate.LeaseExtended(sentAt)
		o.validity.LeaseExtended(sentAt)
	case errors.Is(err, port.ErrNotFound):
		return errLeaseLost
	case ctx.Err() == nil:
		o.gate.PlatformUnreachable(o.now())
	}
	return o.checkValidity()
}

// errSuperseded means that another agent sent the engine an order while an order
// without a lease was in progress.
var errSuperseded = errors.New("another agent gave the engine an order")

// errLeaseLost means that the order lease expired during an order.
var errLeaseLost = errors.New("order lease expired during the order")
