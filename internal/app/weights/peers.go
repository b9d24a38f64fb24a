package weights

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/spread"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// manifestRetryPause is the pause between two rounds of manifest requests.
	manifestRetryPause = 100 * time.Millisecond
	// immediateOriginAgents is the number of agents of a region that ask the origin
	// for the manifest without a delay; the others ask peers first.
	immediateOriginAgents = 2
	// maxOriginDelaySteps bounds the delay, in steps of spread.MinTakeoverDelay, after
	// which the other agents ask the origin as well.
	maxOriginDelaySteps = 8
	// manifestPeersPerRound is the number of peers that are asked in one round.
	manifestPeersPerRound = 3
	// reconnectMin and reconnectMax bound the backoff before a lost stream is
	// reopened.
	reconnectMin = 100 * time.Millisecond
	reconnectMax = time.Second
)

// self returns this agent as a member.
func (m *Manager) self() spread.Member {
	return spread.Member{VM: m.settings.VM, Region: m.settings.Region}
}

// members returns the other agents that hold a version, fetch it or are assigned it,
// without those that are leaving or gone.
func (m *Manager) members(id fleet.Version) []spread.Member {
	decl, _ := m.deps.Directory.Declaration()
	var out []spread.Member
	for _, r := range m.deps.Directory.Members(fleet.KindAgent) {
		if r.State >= port.MemberLeaving || fleet.VM(r.ID) == m.settings.VM || !holdsOrNeeds(decl, r, id) {
			continue
		}
		out = append(out, spread.Member{
			VM: fleet.VM(r.ID), Region: r.Region, Address: r.Address, Suspect: r.State == port.MemberSuspect,
		})
	}
	return out
}

// holdsOrNeeds reports whether an agent holds a version, fetches it or is assigned it.
func holdsOrNeeds(d *declare.Declaration, r port.MemberRecord, id fleet.Version) bool {
	if s := r.Status; s != nil && (s.Version == id || s.Progress.Target == id) {
		return true
	}
	if d == nil {
		return false
	}
	return d.Assign(declare.Machine{VM: fleet.VM(r.ID), Domain: r.Domain, Labels: r.Labels}).Version == id
}

// findManifest asks peers and the origin until one of them sends the manifest that
// matches the version. It returns false if the version is released first.
func (v *version) findManifest() (manifest.Manifest, bool) {
	start := v.m.deps.Clock.Now()
	v.setReason("waiting for manifest")
	defer v.setReason("")
	for round := 0; v.ctx.Err() == nil; round++ {
		others, rank := spread.ManifestSources(v.id, v.m.self(), v.m.members(v.id))
		if man, ok := v.manifestFromPeers(others, round); ok {
			return man, true
		}
		originDelay := time.Duration(min(max(0, rank-immediateOriginAgents+1), maxOriginDelaySteps)) * spread.MinTakeoverDelay
		if v.m.deps.Clock.Now().Sub(start) >= originDelay {
			man, err := v.m.deps.Origin.Manifest(v.ctx, v.id)
			if err == nil && man.Validate(v.id) == nil {
				return man, true
			}
			v.setReason(manifestReason(err))
		}
		_ = v.m.sleep(v.ctx, manifestRetryPause)
	}
	return manifest.Manifest{}, false
}

// manifestReason returns the reason why a version has no manifest, given the result
// of the request to the origin.
func manifestReason(err error) string {
	switch {
	case err == nil:
		return "manifest of the origin is not that of the version"
	case errors.Is(err, port.ErrVersionUnknown):
		return "origin does not have the version"
	default:
		return "waiting for origin"
	}
}

// manifestFromPeers asks peers for the manifest: in even rounds those that ask the
// origin first, in odd rounds random ones.
func (v *version) manifestFromPeers(others []spread.Member, round int) (manifest.Manifest, bool) {
	for i := range min(manifestPeersPerRound, len(others)) {
		pick := i
		if round%2 == 1 {
			pick = v.m.rand(len(others))
		}
		man, err := v.m.deps.Peers.Manifest(v.ctx, others[pick].Address, v.id)
		if err == nil && man.Validate(v.id) == nil {
			return man, true
		}
	}
	return manifest.Manifest{}, false
}

// maintainPeers watches the neighbours of the plan until ctx ends, and updates the
// plan after changes of the directory.
func (v *version) maintainPeers(ctx context.Context, cs *chunkState) {
	changes, stop := v.m.deps.Directory.Subscribe()
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	cancels := map[fleet.VM]context.CancelFunc{}
	for {
		v.updatePlan(ctx, cs, &wg, cancels)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-v.replan:
		case <-v.m.deps.Clock.After(replanInterval):
		}
		if v.m.sleep(ctx, replanDelay) != nil {
			return
		}
	}
}

// updatePlan makes a plan from the current members. It closes the streams of
// members that are no longer neighbours or have a new address, and opens streams
// to new neighbours.
func (v *version) updatePlan(ctx context.Context, cs *chunkState, wg *conc.WaitGroup, cancels map[fleet.VM]context.CancelFunc) {
	now := v.m.deps.Clock.Now()
	avoid := func(vm fleet.VM) bool { return cs.table.IsAvoided(vm, now) }
	others := v.m.members(v.id)
	p := spread.NewPlan(v.id, len(cs.man.Chunks), v.m.self(), others, v.m.settings.OriginRegion, avoid)
	watchAddresses := map[fleet.VM]fleet.Address{}
	for _, n := range p.Neighbours {
		watchAddresses[n.VM] = n.Address
	}
	for _, m := range others {
		// An avoided neighbour stays watched because it is avoided for a limited time.
		if avoid(m.VM) {
			watchAddresses[m.VM] = m.Address
		}
	}
	for vm, cancel := range cancels {
		if old, _ := v.watchedPeers.Get(vm); watchAddresses[vm] != old.Address {
			cancel()
			delete(cancels, vm)
		}
	}
	var added []spread.Member
	for _, n := range p.Neighbours {
		if cancels[n.VM] == nil && cs.table.AddPeer(n.VM, p.Role(n), now) {
			v.watchedPeers.Put(n.VM, n)
			added = append(added, n)
		}
	}
	// The plan is published after its peers are in the table. Otherwise chunks would
	// look missing in the region before its peers have announced theirs.
	v.plan.Store(p)
	for _, n := range added {
		peerCtx, cancel := context.WithCancel(ctx)
		cancels[n.VM] = cancel
		wg.Go(func() { v.watchPeer(peerCtx, cs, n) })
	}
	signal(v.wake)
}

// watchPeer receives the chunk announcements of one peer until ctx ends. It reopens
// a lost stream.
func (v *version) watchPeer(ctx context.Context, cs *chunkState, n spread.Member) {
	defer func() {
		v.watchedPeers.Delete(n.VM)
		cs.table.RemovePeer(n.VM)
		signal(v.replan)
	}()
	pause := reconnectMin
	for ctx.Err() == nil {
		if v.readUpdates(ctx, cs, n) {
			pause = reconnectMin
		}
		cs.table.MarkDisconnected(n.VM)
		signal(v.wake)
		_ = v.m.sleep(ctx, pause)
		pause = min(2*pause, reconnectMax)
	}
}

// readUpdates opens one stream and applies its updates until it ends. It reports
// whether there were any.
func (v *version) readUpdates(ctx context.Context, cs *chunkState, n spread.Member) bool {
	s, err := v.m.deps.Peers.WatchChunks(ctx, n.Address, v.id, v.m.settings.VM)
	if err != nil {
		return false
	}
	defer func() { _ = s.Close() }()
	received := false
	for {
		u, err := s.Next()
		if err != nil {
			return received
		}
		received = true
		v.applyUpdate(cs, n, u)
	}
}

// applyUpdate records which chunks a peer has.
func (v *version) applyUpdate(cs *chunkState, n spread.Member, u port.ChunkUpdate) {
	now := v.m.deps.Clock.Now()
	for i := range min(len(cs.man.Chunks), 8*len(u.Bitmap)) {
		if u.Bitmap[i/8]&(1<<(i%8)) != 0 {
			cs.table.AddHolder(n.VM, i, false, now)
		}
	}
	plan := v.plan.Load()
	for _, i := range u.Added {
		if i < 0 || i >= len(cs.man.Chunks) {
			continue
		}
		owner, _ := plan.Owner(i)
		cs.table.AddHolder(n.VM, i, owner == n.VM, now)
	}
	cs.table.MarkAlive(n.VM, now)
	if !u.Heartbeat {
		signal(v.wake)
	}
}
