package spread

import (
	"math/bits"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// AvoidAfterCorruption is how long the sender of a corrupted chunk is avoided.
	// Within that time it is asked only as a last resort.
	AvoidAfterCorruption = 10 * time.Second
	// AvoidAfterStall is how long a peer is avoided after a fetch without progress.
	AvoidAfterStall = 5 * time.Second
	// blockAfterCorruption is the initial part of AvoidAfterCorruption in which the
	// sender is not asked at all. It doubles with each further corrupted chunk, so
	// that a sender that corrupts everything wastes little of the link.
	blockAfterCorruption = time.Second
	// distrustThreshold is the number of corrupted chunks in a row after which an
	// avoided peer counts as having no chunks. Chunks that only it has are then
	// fetched from external sources. Otherwise a region would never get the chunks
	// of an owner that corrupts all of them.
	distrustThreshold = 2
	// AvoidAfterFailure is how long a peer is avoided after a failed call.
	AvoidAfterFailure = time.Second
	// heartbeatTimeout is the time without a message after which no fetch is started
	// from a peer. Its stream carries a heartbeat every 500 ms.
	heartbeatTimeout = 1200 * time.Millisecond
	// hedgeDelay is the time without progress after which a second fetch of the same
	// chunk may start, so that a frozen peer does not delay the chunk until its fetch
	// is abandoned.
	hedgeDelay = time.Second
	// refusalPause is how long a peer is not asked again for a chunk that it
	// refused.
	refusalPause = 60 * time.Millisecond
	// holdingsTimeout is how long a watched peer may take to report its chunks.
	holdingsTimeout = time.Second
	// maxPeers is the maximum number of peers in a table, each of which has a bit in
	// a mask of 64.
	maxPeers = 64
)

// Rand returns a number in [0, n).
type Rand func(n int) int

// Limits bounds the concurrent fetches of one version.
type Limits struct {
	// Total bounds all fetches from peers.
	Total int
	// PerPeer bounds the fetches from one peer.
	PerPeer int
	// External bounds the fetches from external sources: the origin and peers of
	// other regions.
	External int
}

// missingChunk is the state of a chunk that is not yet held.
type missingChunk struct {
	holders      uint64 // mask of the peers that have it
	refused      uint64 // mask of the holders that refused it
	refusedUntil time.Time
	fetches      int       // in progress
	progressAt   time.Time // last progress of a fetch
}

// peer is the state of a watched peer.
type peer struct {
	slot         int // bit in masks and index in arrays of peers
	local        bool
	backup       bool
	fetches      int
	fetchesTotal int
	avoidUntil   time.Time
	lastResort   time.Time // from then until avoidUntil, asked only as a last resort
	// corruptedInRow counts the corrupted chunks since the last correct one.
	corruptedInRow int
	heardAt        time.Time
	disconnected   bool
	reported       bool      // reported its chunks or could not be reached
	watchedSince   time.Time // start of the watch
	ownChunk       time.Time // last announcement of a chunk that the peer owns
}

// Table is what an agent knows of the missing chunks of one version and of the peers
// that it watches. Its state is sharded by chunk and by peer. No method holds two
// shard locks at the same time.
type Table struct {
	chunks *shard.Map[int, missingChunk]
	peers  *shard.Map[fleet.VM, peer]
	slots  *shard.Map[int, fleet.VM] // peers by their bit in masks
	total  int                       // number of chunks of the version
}

// NewTable returns a table in which all chunks are missing.
func NewTable(chunks int) *Table {
	t := &Table{
		chunks: shard.New[int, missingChunk](0),
		peers:  shard.New[fleet.VM, peer](0),
		slots:  shard.New[int, fleet.VM](0),
		total:  chunks,
	}
	for c := range chunks {
		t.chunks.Put(c, missingChunk{})
	}
	return t
}

// Role says what a watched peer is used for.
type Role uint8

// Roles of peers.
const (
	// Neighbour is a peer of the own region.
	Neighbour Role = iota
	// Backup is a peer of the own region that is asked only if no neighbour can be.
	// Gateways watch each other as backups: if they requested from each other as from
	// neighbours, their uploads would be shared by more requesters than those of
	// other agents.
	Backup
	// Remote is a peer of another region.
	Remote
)

// AddPeer starts to track a peer. It returns false if the peer is tracked already or
// the table is full.
func (t *Table) AddPeer(vm fleet.VM, role Role, now time.Time) bool {
	if _, ok := t.peers.Get(vm); ok {
		return false
	}
	for s := range maxPeers {
		free := false
		t.slots.Update(s, func(old fleet.VM, ok bool) (fleet.VM, bool) {
			if ok {
				return old, true
			}
			free = true
			return vm, true
		})
		if free {
			t.peers.Put(vm, peer{slot: s, local: role != Remote, backup: role == Backup, heardAt: now, watchedSince: now, ownChunk: now})
			return true
		}
	}
	return false
}

// RemovePeer stops tracking a peer. The caller must end its stream first.
func (t *Table) RemovePeer(vm fleet.VM) {
	p, ok := t.peers.Get(vm)
	if !ok {
		return
	}
	t.peers.Delete(vm)
	t.clearHolder(p.slot)
	t.slots.Delete(p.slot)
}

// clearHolder removes a peer from the holders of all chunks.
func (t *Table) clearHolder(slot int) {
	bit := uint64(1) << slot
	var held []int
	t.chunks.Range(func(c int, m missingChunk) bool {
		if m.holders&bit != 0 {
			held = append(held, c)
		}
		return true
	})
	for _, c := range held {
		t.updateMissing(c, func(m *missingChunk) { m.holders &^= bit })
	}
}

func (t *Table) updateMissing(c int, f func(*missingChunk)) {
	t.chunks.Update(c, func(m missingChunk, ok bool) (missingChunk, bool) {
		if ok {
			f(&m)
		}
		return m, ok
	})
}

func (t *Table) updatePeer(vm fleet.VM, f func(*peer)) {
	t.peers.Update(vm, func(p peer, ok bool) (peer, bool) {
		if ok {
			f(&p)
		}
		return p, ok
	})
}

// MarkAlive records a message on the stream of a peer.
func (t *Table) MarkAlive(vm fleet.VM, now time.Time) {
	t.updatePeer(vm, func(p *peer) { p.heardAt, p.disconnected, p.reported = now, false, true })
}

// PeersReported returns true once each peer of the region has reported its chunks or
// has had holdingsTimeout to do so. Before that a chunk may look missing in the whole
// region.
func (t *Table) PeersReported(now time.Time) bool {
	allReported := true
	t.peers.Range(func(_ fleet.VM, p peer) bool {
		allReported = !p.local || p.reported || now.Sub(p.watchedSince) > holdingsTimeout
		return allReported
	})
	return allReported
}

// MissingInRegion returns the number of chunks that no trusted peer of the region
// has, and the lowest of them or -1.
func (t *Table) MissingInRegion(now time.Time) (n, example int) {
	m := t.peerMasks(now, maxPeers)
	example = -1
	t.chunks.Range(func(c int, s missingChunk) bool {
		if s.holders&m.trusted == 0 {
			n++
			if example < 0 || c < example {
				example = c
			}
		}
		return true
	})
	return n, example
}

// MarkDisconnected records that the stream of a peer ended. The peer counts as having
// no chunks until it reports them again.
func (t *Table) MarkDisconnected(vm fleet.VM) {
	slot := -1
	t.updatePeer(vm, func(p *peer) { p.disconnected, p.reported, slot = true, true, p.slot })
	if slot >= 0 {
		t.clearHolder(slot)
	}
}

// AddHolder records that a peer has chunk c. ownChunk is set if the peer announced
// the chunk and owns it: the peer fetches it from an external source for its region.
func (t *Table) AddHolder(vm fleet.VM, c int, ownChunk bool, now time.Time) {
	slot := -1
	t.updatePeer(vm, func(p *peer) {
		slot = p.slot
		if ownChunk {
			p.ownChunk = now
		}
	})
	if slot >= 0 {
		t.updateMissing(c, func(m *missingChunk) { m.holders |= 1 << slot })
	}
}

// IdleTime returns the time since a gateway last announced a chunk that it owns, or
// since this agent began to watch it. It is zero for a gateway that is not watched.
func (t *Table) IdleTime(vm fleet.VM, now time.Time) time.Duration {
	p, ok := t.peers.Get(vm)
	if !ok {
		return 0
	}
	return now.Sub(p.ownChunk)
}

// IsUnreachable reports whether the stream of a watched peer ended or
// has carried no message within heartbeatTimeout.
func (t *Table) IsUnreachable(vm fleet.VM, now time.Time) bool {
	p, ok := t.peers.Get(vm)
	return ok && p.unreachable(now)
}

// distrusted reports whether the peer counts as having no chunks.
func (p peer) distrusted(now time.Time) bool {
	return p.corruptedInRow >= distrustThreshold && now.Before(p.avoidUntil)
}

func (p peer) unreachable(now time.Time) bool {
	return p.disconnected || now.Sub(p.heardAt) > heartbeatTimeout
}

// IsAvoided reports whether fetches from a peer are suspended after a fault.
func (t *Table) IsAvoided(vm fleet.VM, now time.Time) bool {
	p, ok := t.peers.Get(vm)
	return ok && now.Before(p.avoidUntil)
}

// Avoid suspends fetches from a peer until the given time.
func (t *Table) Avoid(vm fleet.VM, until time.Time) { t.avoidUntil(vm, until, until) }

// MarkCorrupted records that a peer sent a corrupted chunk and suspends fetches from
// it.
func (t *Table) MarkCorrupted(vm fleet.VM, now time.Time) {
	block := blockAfterCorruption
	t.updatePeer(vm, func(p *peer) {
		for range p.corruptedInRow {
			block = min(2*block, AvoidAfterCorruption)
		}
		p.corruptedInRow++
	})
	t.avoidUntil(vm, now.Add(AvoidAfterCorruption), now.Add(block))
}

// MarkVerified records that a peer sent a correct chunk.
func (t *Table) MarkVerified(vm fleet.VM) { t.updatePeer(vm, func(p *peer) { p.corruptedInRow = 0 }) }

// avoidUntil suspends fetches from a peer until the given time. From lastResort on it
// may be asked as a last resort.
func (t *Table) avoidUntil(vm fleet.VM, until, lastResort time.Time) {
	t.updatePeer(vm, func(p *peer) {
		if until.After(p.avoidUntil) {
			p.avoidUntil = until
		}
		if lastResort.After(p.lastResort) {
			p.lastResort = lastResort
		}
	})
}

// MarkRefused records that a peer did not send chunk c: it refused for now if
// hasChunk is set, and does not have the chunk otherwise.
func (t *Table) MarkRefused(vm fleet.VM, c int, hasChunk bool, now time.Time) {
	p, ok := t.peers.Get(vm)
	if !ok {
		return
	}
	t.updateMissing(c, func(m *missingChunk) {
		if !hasChunk {
			m.holders &^= 1 << p.slot
			return
		}
		m.refused |= 1 << p.slot
		m.refusedUntil = now.Add(refusalPause)
	})
}

// MarkProgress records that bytes of chunk c arrived.
func (t *Table) MarkProgress(c int, now time.Time) {
	t.updateMissing(c, func(m *missingChunk) { m.progressAt = now })
}

// EndFetch records the end of a fetch that PickLocal or PickExternal returned.
func (t *Table) EndFetch(f Fetch) {
	t.updateMissing(f.Chunk, func(m *missingChunk) { m.fetches-- })
	if !f.Origin {
		t.updatePeer(f.From, func(p *peer) { p.fetches = max(0, p.fetches-1) })
	}
}

// MarkHeld records that chunk c is verified and held. It returns false if the chunk
// was held before.
func (t *Table) MarkHeld(c int) bool { return t.chunks.Delete(c) }

// IsMissing reports whether chunk c is not yet held.
func (t *Table) IsMissing(c int) bool {
	_, ok := t.chunks.Get(c)
	return ok
}

// HeldCount returns the number of chunks held.
func (t *Table) HeldCount() int { return t.total - t.chunks.Len() }

// peerMasks is a snapshot of the peers. Each mask has a bit per slot; the arrays are
// indexed by slot.
type peerMasks struct {
	local        uint64 // peers of the own region
	trusted      uint64 // peers of the own region that are not distrusted
	backup       uint64 // peers with the role Backup
	usable       uint64 // peers from which a fetch may start
	lastResort   uint64 // peers from which a fetch may start at least as a last resort
	vms          [maxPeers]fleet.VM
	fetches      [maxPeers]int
	fetchesTotal [maxPeers]int
}

// peerMasks returns a snapshot of the peers. A peer with perPeer fetches in progress
// is not usable.
func (t *Table) peerMasks(now time.Time, perPeer int) peerMasks {
	var m peerMasks
	t.peers.Range(func(vm fleet.VM, p peer) bool {
		bit := uint64(1) << p.slot
		m.vms[p.slot], m.fetches[p.slot], m.fetchesTotal[p.slot] = vm, p.fetches, p.fetchesTotal
		if p.local {
			m.local |= bit
			if !p.distrusted(now) {
				m.trusted |= bit
			}
		}
		if p.backup {
			m.backup |= bit
		}
		if p.unreachable(now) || p.fetches >= perPeer || now.Before(p.lastResort) {
			return true
		}
		m.lastResort |= bit
		if !now.Before(p.avoidUntil) {
			m.usable |= bit
		}
		return true
	})
	return m
}

// leastLoaded returns the slot of the peer in set with the fewest fetches in
// progress and then the fewest fetches in total. Ties are broken at random.
func (m *peerMasks) leastLoaded(set uint64, rnd Rand) int {
	best, ties := -1, 0
	for ; set != 0; set &= set - 1 {
		s := bits.TrailingZeros64(set)
		switch {
		case best < 0 || m.lessLoaded(s, best):
			best, ties = s, 1
		case !m.lessLoaded(best, s):
			ties++
			if rnd(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// lessLoaded reports whether the peer in slot a is less loaded than the one in slot b.
func (m *peerMasks) lessLoaded(a, b int) bool {
	if m.fetches[a] != m.fetches[b] {
		return m.fetches[a] < m.fetches[b]
	}
	return m.fetchesTotal[a] < m.fetchesTotal[b]
}
