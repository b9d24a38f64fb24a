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
	// manifestRetry is the pause between two rounds of asking for a manifest.
	manifestRetry = 100 * time.Millisecond
	// manifestFirst is the number of agents of a region that ask the origin
	// for the manifest at once; the others ask peers first.
	manifestFirst = 2
	// manifestSteps bounds the steps that a later agent waits before it asks
	// the origin as well.
	manifestSteps = 8
	// manifestPeers is the number of peers asked in one round.
	manifestPeers = 3
	// reconnectMin and reconnectMax bound the pause before a lost stream is
	// opened again.
	reconnectMin = 100 * time.Millisecond
	reconnectMax = time.Second
)

// self returns this agent as a member.
func (m *Manager) self() spread.Member {
	return spread.Member{VM: m.set.VM, Region: m.set.Region}
}

// members returns the agents that are selected for a version or hold it.
func (m *Manager) members(id fleet.Version) []spread.Member {
	decl, _ := m.deps.Directory.Declaration()
	var out []spread.Member
	for _, r := range m.deps.Directory.Members(fleet.KindAgent) {
		if r.State >= port.MemberLeaving || fleet.VM(r.ID) == m.set.VM || !concerned(decl, r, id) {
			continue
		}
		out = append(out, spread.Member{
			VM: fleet.VM(r.ID), Region: r.Region, Address: r.Address, Suspect: r.State == port.MemberSuspect,
		})
	}
	return out
}

func concerned(d *declare.Declaration, r port.MemberRecord, id fleet.Version) bool {
	if s := r.Status; s != nil && (s.Version == id || s.Progress.Target == id) {
		return true
	}
	if d == nil {
		return false
	}
	return d.Assign(declare.Machine{VM: fleet.VM(r.ID), Domain: r.Domain, Labels: r.Labels}).Version == id
}

// findManifest asks peers and the origin until a manifest is the version.
func (v *version) findManifest() (manifest.Manifest, bool) {
	start := v.m.deps.Clock.Now()
	v.setReason("waiting for manifest")
	defer v.setReason("")
	for round := 0; v.ctx.Err() == nil; round++ {
		others, rank := spread.ManifestSources(v.id, v.m.self(), v.m.members(v.id))
		if man, ok := v.manifestFromPeers(others, round); ok {
			return man, true
		}
		step := time.Duration(min(max(0, rank-manifestFirst+1), manifestSteps)) * spread.MinTakeoverDelay
		if v.m.deps.Clock.Now().Sub(start) >= step {
			man, err := v.m.deps.Origin.Manifest(v.ctx, v.id)
			if err == nil && man.Check(v.id) == nil {
				return man, true
			}
			v.setReason(manifestReason(err))
		}
		_ = v.m.sleep(v.ctx, manifestRetry)
	}
	return manifest.Manifest{}, false
}

// manifestReason says what a version without a manifest waits for after the
// origin was asked for it.
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

// manifestFromPeers asks those that ask the origin first in even rounds, and
// random ones in odd rounds.
func (v *version) manifestFromPeers(others []spread.Member, round int) (manifest.Manifest, bool) {
	for i := range min(manifestPeers, len(others)) {
		at := i
		if round%2 == 1 {
			at = v.m.rand(len(others))
		}
		man, err := v.m.deps.Peers.Manifest(v.ctx, others[at].Address, v.id)
		if err == nil && man.Check(v.id) == nil {
			return man, true
		}
	}
	return manifest.Manifest{}, false
}

// keepPeers watches the neighbours of the plan until ctx ends, and changes them
// with the directory.
func (v *version) keepPeers(ctx context.Context, b *body) {
	changes, stop := v.m.deps.Directory.Subscribe()
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	cancels := map[fleet.VM]context.CancelFunc{}
	for {
		v.makePlan(ctx, b, &wg, cancels)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-v.replan:
		case <-v.m.deps.Clock.After(replanEvery):
		}
		if v.m.sleep(ctx, replanAfter) != nil {
			return
		}
	}
}

// makePlan follows the directory: it ends the streams to members that are no
// neighbours any more or have another address, and opens those to new ones.
func (v *version) makePlan(ctx context.Context, b *body, wg *conc.WaitGroup, cancels map[fleet.VM]context.CancelFunc) {
	now := v.m.deps.Clock.Now()
	avoid := func(vm fleet.VM) bool { return b.table.IsAvoided(vm, now) }
	ms := v.m.members(v.id)
	p := spread.NewPlan(v.id, len(b.man.Chunks), v.m.self(), ms, v.m.set.OriginRegion, avoid)
	next := map[fleet.VM]fleet.Address{}
	for _, n := range p.Neighbours {
		next[n.VM] = n.Address
	}
	for _, m := range ms {
		// An avoided neighbour stays watched, because its penalty ends.
		if avoid(m.VM) {
			next[m.VM] = m.Address
		}
	}
	for vm, cancel := range cancels {
		if old, _ := v.watched.Get(vm); next[vm] != old.Address {
			cancel()
			delete(cancels, vm)
		}
	}
	var added []spread.Member
	for _, n := range p.Neighbours {
		if cancels[n.VM] == nil && b.table.AddPeer(n.VM, p.Role(n), now) {
			v.watched.Put(n.VM, n)
			added = append(added, n)
		}
	}
	// The plan is published after its peers are known, so that no chunk looks
	// missing in a region whose peers were not asked yet.
	v.plan.Store(p)
	for _, n := range added {
		pctx, cancel := context.WithCancel(ctx)
		cancels[n.VM] = cancel
		wg.Go(func() { v.watchPeer(pctx, b, n) })
	}
	signal(v.wake)
}

// watchPeer follows the chunks of one peer until ctx ends. It opens the stream
// again when it is lost.
func (v *version) watchPeer(ctx context.Context, b *body, n spread.Member) {
	defer func() {
		v.watched.Delete(n.VM)
		b.table.RemovePeer(n.VM)
		signal(v.replan)
	}()
	pause := reconnectMin
	for ctx.Err() == nil {
		if v.followPeer(ctx, b, n) {
			pause = reconnectMin
		}
		b.table.MarkDisconnected(n.VM)
		signal(v.wake)
		_ = v.m.sleep(ctx, pause)
		pause = min(2*pause, reconnectMax)
	}
}

// followPeer reads one stream to its end and reports whether anything came.
func (v *version) followPeer(ctx context.Context, b *body, n spread.Member) bool {
	s, err := v.m.deps.Peers.WatchChunks(ctx, n.Address, v.id, v.m.set.VM)
	if err != nil {
		return false
	}
	defer func() { _ = s.Close() }()
	heard := false
	for {
		u, err := s.Next()
		if err != nil {
			return heard
		}
		heard = true
		v.applyUpdate(b, n, u)
	}
}

func (v *version) applyUpdate(b *body, n spread.Member, u port.ChunkUpdate) {
	now := v.m.deps.Clock.Now()
	for i := range min(len(b.man.Chunks), 8*len(u.Bitmap)) {
		if u.Bitmap[i/8]&(1<<(i%8)) != 0 {
			b.table.AddHolder(n.VM, i, false, now)
		}
	}
	plan := v.plan.Load()
	for _, i := range u.Added {
		if i < 0 || i >= len(b.man.Chunks) {
			continue
		}
		owner, _ := plan.Owner(i)
		b.table.AddHolder(n.VM, i, owner == n.VM, now)
	}
	b.table.MarkAlive(n.VM, now)
	if !u.Heartbeat {
		signal(v.wake)
	}
}
