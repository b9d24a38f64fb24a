// Package agent implements masticwing-agent, which runs next to one target: a
// model engine or a plain service. It admits requests for the target, orders the
// engine to load and unload weights, and reports the state of both.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/admission"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/inflight"
	"github.com/masticwing/masticwing/internal/core/rollout"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// Identity identifies an agent and its place in the fleet.
type Identity struct {
	VM     fleet.VM
	Domain fleet.Domain
	Region fleet.Region
	Labels declare.Labels
	// BootID differs for each start of the agent.
	BootID uint64
}

// machine returns the attributes by which a declaration selects this VM.
func (i Identity) machine() declare.Machine {
	return declare.Machine{VM: i.VM, Domain: i.Domain, Labels: i.Labels}
}

// Deps are the ports that an agent uses. Engine or Service is nil if the agent
// has no such target.
type Deps struct {
	Clock     port.BootClock
	KV        port.KV
	Engine    port.Engine
	Service   port.Service
	Weights   port.Weights
	Ledger    port.Ledger
	Directory port.Directory
	Metrics   port.Metrics
	Log       port.Log
}

// snapshot holds the assignment of the agent and the state of its target. It is
// replaced as a whole.
type snapshot struct {
	declaration *declare.Declaration
	assignment  declare.Assignment
	serving     rollout.Ref
	// reachable is false before the first successful probe of the engine or
	// service, and after it is considered lost.
	reachable bool
	ready     bool
	leaving   bool
	progress  port.Progress
}

// singleKey is the key of a map that holds one value.
const singleKey = "self"

// Agent implements port.AgentHandler.
type Agent struct {
	id   Identity
	deps Deps
	// targetKey is the key of the target in admissions.
	targetKey      string
	admissions     *admission.Table
	rollouts       *rollout.Table
	snapshots      *shard.Map[string, snapshot]
	statusWatchers *shard.Map[uint64, chan struct{}]
	lastWatcherID  atomic.Uint64
	// requests counts the requests inside Serve, admitted or not.
	requests *inflight.Counter
	// replanNow wakes the controller, and probeNow the monitor.
	replanNow chan struct{}
	probeNow  chan struct{}
	// pendingQuery holds a channel that is closed after the next identity query,
	// if requests wait for one. queryNow wakes the goroutine that sends it.
	pendingQuery *shard.Map[string, chan struct{}]
	queryNow     chan struct{}
}

var _ port.AgentHandler = (*Agent)(nil)

// New returns an agent that refuses all requests until Run has received a
// declaration.
func New(id Identity, deps Deps) *Agent {
	return &Agent{
		id:             id,
		deps:           deps,
		targetKey:      string(id.VM),
		admissions:     admission.New(),
		rollouts:       rollout.NewTable(),
		snapshots:      shard.New[string, snapshot](1),
		statusWatchers: shard.New[uint64, chan struct{}](0),
		requests:       inflight.New(),
		replanNow:      make(chan struct{}, 1),
		probeNow:       make(chan struct{}, 1),
		pendingQuery:   shard.New[string, chan struct{}](1),
		queryNow:       make(chan struct{}, 1),
	}
}

func (a *Agent) snapshot() snapshot {
	v, _ := a.snapshots.Get(singleKey)
	return v
}

// updateSnapshot applies update to a copy of the snapshot, stores the copy and
// returns it.
func (a *Agent) updateSnapshot(update func(v *snapshot)) snapshot {
	var updated snapshot
	a.snapshots.Update(singleKey, func(v snapshot, _ bool) (snapshot, bool) {
		update(&v)
		updated = v
		return v, true
	})
	return updated
}

// signal wakes the receiver of a channel with capacity one without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run probes the target, applies new declarations, sends orders to the engine
// and publishes the agent's status until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	c := newController(a)
	loops := supervise.NewGroup(a.deps.Clock, a.deps.Log, a.deps.Metrics)
	loops.Go(ctx, "monitor", func(ctx context.Context) { a.monitor(ctx, c.probeResults) })
	loops.Go(ctx, "orders", func(ctx context.Context) { newOrderer(a).run(ctx, c.orders, c.orderResults) })
	loops.Go(ctx, "identity", a.runIdentityQueries)
	loops.Go(ctx, "status", a.publishStatus)
	loops.Go(ctx, "controller", c.run)
	loops.Wait()
}

// drainNoticeTime is the minimum time between the announcement that the agent
// is leaving and its stop. Entries receive the announcement on their status
// streams within this time and send no more requests on a connection that is
// about to close. A timer is needed because entries do not acknowledge the
// announcement.
const drainNoticeTime = 300 * time.Millisecond

// Drain refuses new requests and returns once none is in progress, or after
// timeout. It reports whether all requests finished.
func (a *Agent) Drain(timeout time.Duration) bool {
	a.admissions.SetLeaving(a.targetKey)
	a.updateSnapshot(func(v *snapshot) { v.leaving = true })
	a.notifyWatchers()
	expired := a.deps.Clock.After(timeout)
	<-a.deps.Clock.After(min(drainNoticeTime, timeout))
	for !a.requests.Idle() {
		select {
		case <-a.requests.IdleSignal():
		case <-expired:
			return a.requests.Idle()
		}
	}
	return true
}
