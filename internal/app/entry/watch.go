package entry

import (
	"context"
	"math"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// capacityEvery is the pause between two computations of the permits of a
	// pool in which no request waits. They rest on all loads, which change with
	// every answer, so a signal for each change would cost more than the timer.
	capacityEvery = 250 * time.Millisecond
	// refreshPause is the least time between two choices of the watched
	// agents, since the member table changes all the time in a large fleet.
	refreshPause = 200 * time.Millisecond
	// backoffMin and backoffMax bound the pause before a status stream is
	// opened again.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Run watches agents and follows their capacity until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { e.watchAgents(ctx, &wg) })
	wg.Go(func() { e.followCapacity(ctx) })
	wg.Go(func() { e.wakeWaiters(ctx) })
	wg.Wait()
}

// wakeWaiters lets the requests that wait for a target look again when the
// declaration or the members have changed.
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

// watched is a status stream in progress.
type watched struct {
	agent  routing.Agent
	cancel context.CancelFunc
}

// watchAgents keeps a status stream to each agent of the subset.
func (e *Entry) watchAgents(ctx context.Context, wg *conc.WaitGroup) {
	changed, stop := e.Directory.Subscribe()
	defer stop()
	running := map[fleet.VM]watched{}
	for {
		e.refresh(ctx, wg, running)
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(refreshPause):
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (e *Entry) refresh(ctx context.Context, wg *conc.WaitGroup, running map[fleet.VM]watched) {
	want := e.subset()
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
		running[vm] = watched{a, cancel}
		wg.Go(func() { e.watch(c, a) })
	}
}

func (e *Entry) subset() map[fleet.VM]routing.Agent {
	want := map[fleet.VM]routing.Agent{}
	d, _ := e.Directory.Declaration()
	if d == nil {
		return want
	}
	e.forgetAssignments()
	for _, agents := range e.agents(d) {
		for _, a := range routing.Subset(e.ID, e.Domain, agents) {
			want[a.VM] = a
		}
	}
	return want
}

// forgetAssignments drops the cached assignments of agents that are gone.
func (e *Entry) forgetAssignments() {
	members := map[fleet.VM]bool{}
	for _, m := range e.Directory.Members(fleet.KindAgent) {
		members[fleet.VM(m.ID)] = true
	}
	var gone []fleet.VM
	e.assign.Range(func(vm fleet.VM, _ assigned) bool {
		if !members[vm] {
			gone = append(gone, vm)
		}
		return true
	})
	for _, vm := range gone {
		e.assign.Delete(vm)
	}
}

// watch reads the status of one agent and reconnects until ctx ends.
func (e *Entry) watch(ctx context.Context, a routing.Agent) {
	pause := backoffMin
	for ctx.Err() == nil {
		if e.readStatus(ctx, a) {
			pause = backoffMin
		}
		e.table.Forget(a.VM)
		// Entries that lost the same agent do not return all at once.
		jittered := pause/2 + time.Duration(e.Rand.IntN(int(pause)))
		pause = min(2*pause, backoffMax)
		select {
		case <-ctx.Done():
		case <-e.Clock.After(jittered):
		}
	}
}

// readStatus records states until the stream ends. It reports whether there
// was one.
func (e *Entry) readStatus(ctx context.Context, a routing.Agent) bool {
	s, err := e.Agents.WatchStatus(ctx, a.Address, e.ID, e.Domain)
	if err != nil {
		return false
	}
	defer func() { _ = s.Close() }()
	for got := false; ; got = true {
		st, err := s.Next()
		if err != nil || ctx.Err() != nil {
			return got
		}
		e.table.RecordStatus(report(a, &st), e.Clock.Now())
	}
}

func report(a routing.Agent, s *port.AgentStatus) routing.TargetStatus {
	return routing.TargetStatus{
		VM: a.VM, Domain: a.Domain, Address: a.Address,
		Pool:     routing.Pool{Group: s.Group, Service: s.Service},
		Version:  s.Version,
		InFlight: s.Load.InFlight,
		Limit:    s.Load.Limit,
		// An address that another VM has taken over is not this target.
		Usable: s.VM == a.VM && s.Ready && !s.Cordoned && !s.Leaving && s.Load.Limit > 0,
	}
}

// followCapacity sets the permits of each pool.
func (e *Entry) followCapacity(ctx context.Context) {
	for {
		if d, _ := e.Directory.Declaration(); d != nil {
			e.setCapacity(d)
		}
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(capacityEvery):
		}
	}
}

// setCapacity finds the size of each pool and sets its permits.
func (e *Entry) setCapacity(d *declare.Declaration) {
	entries := e.aliveEntries()
	agents := e.agents(d)
	for _, k := range pools(d) {
		e.sizes.Put(k, poolSize{agents: len(agents[k]), entries: entries})
		n := e.adjustCapacity(k)
		queued, inUse := e.queue.Depth(k)
		pool := port.Attr{Key: "pool", Value: k.String()}
		e.Metrics.Gauge("masticwing_entry_permits", float64(n), pool)
		e.Metrics.Gauge("masticwing_entry_requests_in_progress", float64(inUse), pool)
		e.Metrics.Gauge("masticwing_entry_requests_queued", float64(queued), pool)
	}
}

// lendCapacity adjusts the permits of a pool in which requests wait. Their
// number follows the loads that come with answers: with the pause of
// followCapacity alone, an entry whose share is used up waits while others
// leave places free, which doubled the 99th percentile at 90% of capacity.
func (e *Entry) lendCapacity(k routing.Pool) {
	if queued, _ := e.queue.Depth(k); queued > 0 {
		e.adjustCapacity(k)
	}
}

// adjustCapacity gives a pool this entry's share of its capacity, or what it
// uses and half of what seems free. The latter lets one entry use what the
// others leave; by half, because they see the same free places.
func (e *Entry) adjustCapacity(k routing.Pool) int {
	now := e.Clock.Now()
	size, _ := e.sizes.Get(k)
	c := e.table.Capacity(k, now)
	n := max(size.permits(c), c.OwnInFlight+c.Free/2)
	e.queue.SetCapacity(k, n, now)
	return n
}

// aliveEntries counts this process also while no other one has heard of it.
func (e *Entry) aliveEntries() int {
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

// permits is one entry's share of the pool's capacity. Where only a subset of
// the agents is watched, their mean limit stands for the others.
func (s poolSize) permits(c routing.Capacity) int {
	if c.Targets == 0 || s.entries == 0 {
		return 1
	}
	total := float64(c.Limit)
	if s.agents > routing.MaxWatchedAgents {
		total *= float64(s.agents) / routing.MaxWatchedAgents
	}
	return int(math.Ceil(total / float64(s.entries)))
}

// watchers is the expected number of entries that watch an agent, and 0 while
// the size is not known.
func (s poolSize) watchers() float64 {
	if s.agents <= routing.MaxWatchedAgents {
		return float64(s.entries)
	}
	return max(1, float64(s.entries)*routing.MaxWatchedAgents/float64(s.agents))
}

func pools(d *declare.Declaration) []routing.Pool {
	var out []routing.Pool
	for g := range d.Groups {
		out = append(out, routing.Pool{Group: g})
	}
	for s := range d.Services {
		out = append(out, routing.Pool{Service: s})
	}
	return out
}
