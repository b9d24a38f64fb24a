package spread

import (
	"math/bits"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Fetch is a chunk to fetch and the source to fetch it from.
type Fetch struct {
	Chunk int
	// From is the peer to fetch from, unless Origin is set.
	From   fleet.VM
	Origin bool
}

// maxClaimAttempts bounds the attempts to pick a fetch if another goroutine claims
// the picked chunk first.
const maxClaimAttempts = 3

// PickLocal picks the chunk that the fewest peers of the region have and a peer of
// the region to fetch it from, and claims it. Ties are broken at random, so that
// agents with the same view request different chunks. Peers that recently sent a
// corrupted chunk are asked only if lastResort is true, because they may be the only
// ones in a small region.
func (t *Table) PickLocal(now time.Time, l Limits, lastResort bool, rnd Rand) (Fetch, bool) {
	for range maxClaimAttempts {
		m := t.peerMasks(now, l.PerPeer)
		c, set, ok := t.rarestChunk(now, &m, m.usable&m.local&^m.backup, rnd)
		if !ok && m.backup != 0 {
			c, set, ok = t.rarestChunk(now, &m, m.usable&m.local, rnd)
		}
		if !ok && lastResort {
			c, set, ok = t.rarestChunk(now, &m, m.lastResort&m.local, rnd)
		}
		if !ok {
			return Fetch{}, false
		}
		f := Fetch{Chunk: c, From: m.vms[m.leastLoaded(set, rnd)]}
		if t.claim(f, now) {
			return f, true
		}
	}
	return Fetch{}, false
}

// rarestChunk returns the fetchable chunk with the fewest holders in the region, among
// those that a usable peer has, and the mask of these peers.
func (t *Table) rarestChunk(now time.Time, m *peerMasks, usable uint64, rnd Rand) (chunk int, set uint64, ok bool) {
	rarity, ties := 0, 0
	t.chunks.Range(func(c int, s missingChunk) bool {
		available := s.availableHolders(now, usable)
		if available == 0 || !s.fetchable(now) {
			return true
		}
		// Second fetches rank after all first fetches.
		n := bits.OnesCount64(s.holders&m.local) + s.fetches*maxPeers
		switch {
		case !ok || n < rarity:
			chunk, set, rarity, ties, ok = c, available, n, 1, true
		case n == rarity:
			ties++
			if rnd(ties) == 0 {
				chunk, set = c, available
			}
		}
		return true
	})
	return chunk, set, ok
}

// availableHolders returns the usable holders that did not refuse the chunk recently.
func (s missingChunk) availableHolders(now time.Time, usable uint64) uint64 {
	set := s.holders & usable
	if now.Before(s.refusedUntil) {
		set &^= s.refused
	}
	return set
}

// fetchable reports whether a first fetch of the chunk may start, or a second one
// because the first makes no progress.
func (s missingChunk) fetchable(now time.Time) bool {
	return s.fetches == 0 || s.fetches == 1 && now.Sub(s.progressAt) > hedgeDelay
}

// claim records the start of a fetch. It returns false if the chunk is not fetchable
// any more.
func (t *Table) claim(f Fetch, now time.Time) bool {
	claimed := false
	t.updateMissing(f.Chunk, func(m *missingChunk) {
		if !m.fetchable(now) {
			return
		}
		if !now.Before(m.refusedUntil) {
			m.refused = 0
		}
		m.fetches++
		m.progressAt = now
		claimed = true
	})
	if claimed && !f.Origin {
		t.updatePeer(f.From, func(p *peer) {
			p.fetches++
			p.fetchesTotal++
		})
	}
	return claimed
}

// ExternalPolicy says which chunks may be fetched from external sources.
type ExternalPolicy struct {
	// MayFetch reports whether this agent may fetch chunk c, and whether it may fetch
	// the chunk from the origin.
	MayFetch func(c int) (fetch, origin bool)
	// OriginReady is false during the backoff after a failed fetch from the origin,
	// and while the quota is exhausted.
	OriginReady bool
}

// PickExternal picks a random chunk that no trusted peer of the region has, and
// claims it. The source is the origin where the policy permits, and otherwise a peer
// of another region that has the chunk. blocked reports that some chunk could be
// fetched only from the origin, which is not permitted now.
func (t *Table) PickExternal(now time.Time, o ExternalPolicy, rnd Rand) (f Fetch, ok, blocked bool) {
	for range maxClaimAttempts {
		m := t.peerMasks(now, maxPeers)
		var fetchable []int
		t.chunks.Range(func(c int, s missingChunk) bool {
			if s.holders&m.trusted == 0 && s.fetchable(now) {
				fetchable = append(fetchable, c)
			}
			return true
		})
		f, ok, blocked = t.pickFetchable(now, &m, fetchable, o, rnd)
		if !ok || t.claim(f, now) {
			return f, ok, blocked
		}
	}
	return Fetch{}, false, blocked
}

// pickFetchable picks one of the given chunks at random, and its source.
func (t *Table) pickFetchable(now time.Time, m *peerMasks, fetchable []int, o ExternalPolicy, rnd Rand) (Fetch, bool, bool) {
	var best Fetch
	found, blocked, ties := false, false, 0
	for _, c := range fetchable {
		fetch, origin := o.MayFetch(c)
		if !fetch {
			continue
		}
		s, _ := t.chunks.Get(c)
		set := s.availableHolders(now, m.usable&^m.local)
		f := Fetch{Chunk: c, Origin: origin && o.OriginReady}
		if !f.Origin {
			if set == 0 {
				blocked = true
				continue
			}
			f.From = m.vms[m.leastLoaded(set, rnd)]
		}
		ties++
		if rnd(ties) == 0 {
			best, found = f, true
		}
	}
	return best, found, blocked
}
