// Package agent is the process beside a target. It admits requests, gives all
// orders to its model engine or plain service, and reports their state.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/core/admission"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/inflight"
	"github.com/masticwing/masticwing/internal/core/rollout"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// Identity is what an agent knows of itself from its settings.
type Identity struct {
	VM     fleet.VM
	Domain fleet.Domain
	Region fleet.Region
	Labels declare.Labels
	// BootID differs for each start of the agent.
	BootID uint64
}

// machine returns what a declaration assigns to.
func (i Identity) machine() declare.Machine {
	return declare.Machine{VM: i.VM, Domain: i.Domain, Labels: i.Labels}
}

// Deps is everything an agent meets outside of itself. Engine or Service is
// nil if there is none beside the agent.
type Deps struct {
	Clock     port.Clock
	KV        port.KV
	Engine    port.Engine
	Service   port.Service
	Weights   port.Weights
	Ledger    port.Ledger
	Directory port.Directory
	Metrics   port.Metrics
	Log       *logging.Logger
}

// view is what the agent has to do and what its target can do. It is replaced
// as a whole.
type view struct {
	declaration *declare.Declaration
	assign      declare.Assignment
	serving     rollout.Ref
	// up means that the engine or the service answers.
	up       bool
	ready    bool
	leaving  bool
	progress port.Progress
}

// self is the key of the only view of an agent.
const self = "self"

// Agent implements port.AgentHandler.
type Agent struct {
	id       Identity
	d        Deps
	target   string
	adm      *admission.Table
	roll     *rollout.Table
	views    *shard.Map[string, view]
	watchers *shard.Map[uint64, chan struct{}]
	watches  atomic.Uint64
	// serving counts the requests inside Serve, admitted or not.
	serving *inflight.Counter
	kicks   chan struct{}
	probes  chan struct{}
	// rounds holds the round of confirmations that requests have joined, and
	// asks wakes the goroutine that asks for them.
	rounds *shard.Map[string, chan struct{}]
	asks   chan struct{}
}

var _ port.AgentHandler = (*Agent)(nil)

// New returns an agent that refuses everything until Run knows a declaration.
func New(id Identity, d Deps) *Agent {
	return &Agent{
		id:       id,
		d:        d,
		target:   string(id.VM),
		adm:      admission.New(),
		roll:     rollout.NewTable(),
		views:    shard.New[string, view](1),
		watchers: shard.New[uint64, chan struct{}](0),
		serving:  inflight.New(),
		kicks:    make(chan struct{}, 1),
		probes:   make(chan struct{}, 1),
		rounds:   shard.New[string, chan struct{}](1),
		asks:     make(chan struct{}, 1),
	}
}

func (a *Agent) view() view {
	v, _ := a.views.Get(self)
	return v
}

// change replaces the view and returns the new one.
func (a *Agent) change(f func(v *view)) view {
	var out view
	a.views.Update(self, func(v view, _ bool) (view, bool) {
		f(&v)
		out = v
		return v, true
	})
	return out
}

// signal wakes the receiver of a channel of one slot.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run monitors the target, follows the declaration and gives orders until ctx
// ends.
func (a *Agent) Run(ctx context.Context) {
	c := newController(a)
	var wg conc.WaitGroup
	wg.Go(func() { a.monitor(ctx, c.reports) })
	wg.Go(func() { newOrderer(a).run(ctx, c.orders, c.ended) })
	wg.Go(func() { a.confirm(ctx) })
	wg.Go(func() { a.publish(ctx) })
	wg.Go(func() { c.run(ctx) })
	wg.Wait()
}

// drainNotice is the least time between the announcement of leaving and the
// stop. Entries learn of it from their status streams within it, so that none
// opens a request on a connection that is about to close. It is a timer because
// no entry confirms that it has learned of it.
const drainNotice = 300 * time.Millisecond

// Drain refuses new work and returns once no request is in progress, or after
// timeout. It reports whether all requests finished.
func (a *Agent) Drain(timeout time.Duration) bool {
	a.adm.SetLeaving(a.target)
	a.change(func(v *view) { v.leaving = true })
	a.notify()
	end := a.d.Clock.After(timeout)
	<-a.d.Clock.After(min(drainNotice, timeout))
	for !a.serving.Idle() {
		select {
		case <-a.serving.IdleSignal():
		case <-end:
			return a.serving.Idle()
		}
	}
	return true
}
