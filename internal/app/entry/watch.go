package entry

import (
	"context"
	"math"
	"time"

	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// capacityInterval is the interval at which the permits of a pool without
	// queued requests are computed. They depend on the loads of all targets, which
	// change with every answer, so a signal per change would cost more than a timer.
	capacityInterval = 250 * time.Millisecond
	// watchRefreshInterval is the shortest time between two selections of the
	// watched agents, since the member table changes all the time in a large fleet.
	watchRefreshInterval = 200 * time.Millisecond
	// backoffMin and backoffMax limit the delay before a status stream is reopened.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Run watches the agents' status and updates the permits of the pools until ctx
// ends.
func (e *Entry) Run(ctx context.Context) {
	loops := supervise.NewGroup(e.Clock, e.Log, e.Metrics)
	loops.Go(ctx, "agents", func(ctx context.Context) { e.watchAgents(ctx, loops) })
	loops.Go(ctx, "capacity", e.updateCapacityLoop)
	loops.Go(ctx, "waiters", e.wakeWaiters)
	loops.Wait()
}

// wakeWaiters wakes the requests that wait for a target whenever the declaration
// or the members have changed.
func (e *Entry) wakeWaiters(ctx context.Context) {
	changed, stop := e.Directory.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			e.table.WakeAll()
		}
	}
}

// watchedAgent is an agent with an open status stream. cancel closes the stream.
type watchedAgent struct {
	agent  routing.Agent
	cancel context.CancelFunc
}

// watchAgents keeps a status stream open to each agent of agentsToWatch.
func (e *Entry) watchAgents(ctx context.Context, loops *supervise.Group) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed, stop := e.Directory.Subscribe()
	defer stop()
	running := map[fleet.VM]watchedAgent{}
	for {
		e.updateWatchedAgents(ctx, loops, running)
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(watchRefreshInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// updateWatchedAgents starts and stops status streams so that running matches
// agentsToWatch.
func (e *Entry) updateWatchedAgents(ctx context.Context, loops *supervise.Group, running map[fleet.VM]watchedAgent) {
	want := e.agentsToWatch()
	for vm, w := range running {
		if a, ok := want[vm]; !ok || a != w.agent {
			w.cancel()
			delete(running, vm)
		}
	}
	for vm, a := range want {
		if _, ok := running[vm]; ok {
			continue
		}
		c, cancel := context.WithCancel(ctx)
		running[vm] = watchedAgent{a, cancel}
		loops.Go(c, "agent_status", func(ctx context.Context) { e.watchAgent(ctx, a) })
	}
}

// agentsToWatch returns the agents of all pools whose status this entry watches.
func (e *Entry) agentsToWatch() map[fleet.VM]routing.Agent {
	want := map[fleet.VM]routing.Agent{}
	d, _ := e.Directory.Declaration()
	if d == nil {
		return want
	}
	e.dropOldAssignments()
	for _, agents := range e.agents(d) {
		for _, a := range routing.Subset(e.ID, e.Domain, agents) {
			want[a.VM] = a
		}
	}
	return want
}

// dropOldAssignments removes the cached assignments of agents that are no longer
// members.
func (e *Entry) dropOldAssignments() {
	members := map[fleet.VM]bool{}
	for _, m := range e.Directory.Members(fleet.KindAgent) {
		members[fleet.VM(m.ID)] = true
	}
	var departed []fleet.VM
	e.assignments.Range(func(vm fleet.VM, _ cachedAssignment) bool {
		if !members[vm] {
			departed = append(departed, vm)
		}
		return true
	})
	for _, vm := range departed {
		e.assignments.Delete(vm)
	}
}

// watchAgent reads the status of one agent and reconnects until ctx ends.
func (e *Entry) watchAgent(ctx context.Context, a routing.Agent) {
	backoff := backoffMin
	for ctx.Err() == nil {
		if e.readStatus(ctx, a) {
			backoff = backoffMin
		}
		e.table.Forget(a.VM)
		// The jitter prevents entries that lost the same agent from reconnecting all
		// at once.
		jittered := backoff/2 + time.Duration(e.Rand.IntN(int(backoff)))
		backoff = min(2*backoff, backoffMax)
		select {
		case <-ctx.Done():
		case <-e.Clock.After(jittered):
		}
	}
}

// readStatus records the agent's status messages until the stream ends. It reports
// whether there was at least one.
func (e *Entry) readStatus(ctx context.Context, a routing.Agent) bool {
	s, err := e.Agents.WatchStatus(ctx, a.Address, e.ID, e.Domain)
	if err != nil {
		return false
	}
	defer func() { _ = s.Close() }()
	for received := false; ; received = true {
		status, err := s.Next()
		if err != nil || ctx.Err() != nil {
			return received
		}
		e.table.RecordStatus(targetStatus(a, &status), e.Clock.Now())
	}
}

func targetStatus(a routing.Agent, s *port.AgentStatus) routing.TargetStatus {
	return routing.TargetStatus{
		VM: a.VM, Domain: a.Domain, Address: a.Address,
		Pool:     routing.Pool{Group: s.Group, Service: s.Service},
		Version:  s.Version,
		InFlight: s.Load.InFlight,
		Limit:    s.Load.Limit,
		// Another VM may have taken over the address.
		Usable: s.VM == a.VM && s.Ready && !s.Cordoned && !s.Leaving && s.Load.Limit > 0,
	}
}

// updateCapacityLoop updates the permits of each pool until ctx ends.
func (e *Entry) updateCapacityLoop(ctx context.Context) {
	for {
		if d, _ := e.Directory.Declaration(); d != nil {
			e.updateCapacity(d)
		}
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(capacityInterval):
		}
	}
}

// updateCapacity determines the size of each pool, sets its permits and reports
// its metrics.
func (e *Entry) updateCapacity(d *declare.Declaration) {
	entries := e.countLiveEntries()
	agents := e.agents(d)
	for _, k := range declaredPools(d) {
		e.poolSizes.Put(k, poolSize{agents: len(agents[k]), entries: entries})
		n := e.adjustCapacity(k)
		queued, inUse := e.queue.Depth(k)
		pool := port.Attr{Key: "pool", Value: k.String()}
		e.Metrics.Gauge("masticwing_entry_permits", float64(n), pool)
		e.Metrics.Gauge("masticwing_entry_requests_in_progress", float64(inUse), pool)
		e.Metrics.Gauge("masticwing_entry_requests_queued", float64(queued), pool)
	}
}

// adjustCapacityIfQueued adjusts the permits of a pool if requests are queued for
// it. It is called for every load that arrives with an answer. With the updates of
// updateCapacityLoop alone, requests of an entry that has used up its share waited
// while other entries left slots free, which doubled the 99th percentile of the
// latency at 90% of capacity.
func (e *Entry) adjustCapacityIfQueued(k routing.Pool) {
	if queued, _ := e.queue.Depth(k); queued > 0 {
		e.adjustCapacity(k)
	}
}

// adjustCapacity sets the permits of a pool to this entry's share of the pool's
// capacity or, if that is more, to the slots that the entry uses plus half of those
// that seem free. The latter lets one entry use what the others leave free. It is
// only half, because all entries see the same free slots.
func (e *Entry) adjustCapacity(k routing.Pool) int {
	now := e.Clock.Now()
	size, _ := e.poolSizes.Get(k)
	c := e.table.Capacity(k, now)
	n := max(size.permitShare(c), c.OwnInFlight+c.Free/2)
	e.queue.SetCapacity(k, n, now)
	return n
}

// countLiveEntries returns the number of entries, including this one, that are not
// leaving or dead. It counts this process even if the directory does not list it.
func (e *Entry) countLiveEntries() int {
	n := 1
	for _, m := range e.Directory.Members(fleet.KindEntry) {
		if m.ID != e.ID && m.State <= port.MemberSuspect {
			n++
		}
	}
	return n
}

// poolSize is the number of agents and of entries that share a pool.
type poolSize struct{ agents, entries int }

// permitShare returns one entry's share of the pool's capacity. If only a subset
// of the agents is watched, it assumes their mean limit for the others.
func (s poolSize) permitShare(c routing.Capacity) int {
	if c.Targets == 0 || s.entries == 0 {
		return 1
	}
	total := float64(c.Limit)
	if s.agents > routing.MaxWatchedAgents {
		total *= float64(s.agents) / routing.MaxWatchedAgents
	}
	return int(math.Ceil(total / float64(s.entries)))
}

// entriesPerAgent returns the expected number of entries that watch an agent, or 0
// while the size is unknown.
func (s poolSize) entriesPerAgent() float64 {
	if s.agents <= routing.MaxWatchedAgents {
		return float64(s.entries)
	}
	return max(1, float64(s.entries)*routing.MaxWatchedAgents/float64(s.agents))
}

func declaredPools(d *declare.Declaration) []routing.Pool {
	var out []routing.Pool
	for g := range d.Groups {
		out = append(out, routing.Pool{Group: g})
	}
	for s := range d.Services {
		out = append(out, routing.Pool{Service: s})
	}
	return out
}
