// Package spread decides how a version of the weights is distributed between agents:
// which agents watch each other, which chunk an agent requests next and from which
// source, which agents may fetch from the origin, and which requests a peer serves.
package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// MaxNeighbours is the maximum number of peers of its own region whose chunks an
	// agent watches.
	MaxNeighbours = 8
	// remoteNeighbours is the number of agents that a gateway watches in each other
	// region.
	remoteNeighbours = 2
	// MaxGateways is the maximum number of agents of a region that may fetch from
	// the origin.
	MaxGateways = 16
	// OriginCopies is the number of copies of a version that the origin may send to
	// all regions together.
	OriginCopies = 4
	// maxOriginRegions is the number of regions that fetch the same chunk from the
	// origin.
	maxOriginRegions = 3
	// MinTakeoverDelay is the minimum time that a gateway waits for the owner of a
	// chunk before it takes the chunk over.
	MinTakeoverDelay = 2 * time.Second
	// takeoverFetches is the takeover delay in average fetch times from the origin.
	// On a slow region link a chunk may take much longer than MinTakeoverDelay, and a
	// premature takeover costs another copy of the chunk.
	takeoverFetches = 4
)

// Member is an agent that is selected for a version or holds it.
type Member struct {
	VM      fleet.VM
	Region  fleet.Region
	Address fleet.Address
	// Suspect is set if the directory suspects that the member failed. A suspect
	// member may be a neighbour but not a gateway.
	Suspect bool
}

// mix is the finalizer of SplitMix64, which spreads similar inputs over all bits.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// hash returns the FNV-1a hash of the parts with a final mix. Every agent computes
// the same value.
func hash(parts ...string) uint64 {
	h := uint64(14695981039346656037)
	for _, p := range parts {
		for i := range len(p) {
			h = (h ^ uint64(p[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	return mix(h)
}

// sortByHash returns the members in an order that depends on the salt and is the same
// on every agent.
func sortByHash(ms []Member, salt ...string) []Member {
	type ranked struct {
		m Member
		h uint64
	}
	rs := make([]ranked, 0, len(ms))
	for _, m := range ms {
		rs = append(rs, ranked{m, hash(append(salt, string(m.VM))...)})
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.h, b.h), cmp.Compare(a.m.VM, b.m.VM))
	})
	out := make([]Member, 0, len(rs))
	for _, r := range rs {
		out = append(out, r.m)
	}
	return out
}

// groupByRegion groups the members by region. The group of self's region always
// contains self.
func groupByRegion(self Member, ms []Member) map[fleet.Region][]Member {
	out := map[fleet.Region][]Member{self.Region: {self}}
	for _, m := range ms {
		if m.VM != self.VM {
			out[m.Region] = append(out[m.Region], m)
		}
	}
	return out
}

// ringNeighbours returns up to n other members at fixed distances on a ring that is
// ordered by hash. As all agents compute the same ring, each member is watched by as
// many peers as it watches, which balances the uploads. Members for which avoid
// returns true are replaced by the next ones on the ring.
func ringNeighbours(v fleet.Version, self Member, ms []Member, n int, avoid func(fleet.VM) bool) []Member {
	ring := sortByHash(ms, string(v))
	selfIndex := slices.IndexFunc(ring, func(m Member) bool { return m.VM == self.VM })
	var out []Member
	chosen := map[fleet.VM]bool{self.VM: true}
	for _, d := range ringDistances(v, len(ring), n) {
		for i := range len(ring) {
			m := ring[(selfIndex+d+i)%len(ring)]
			if chosen[m.VM] || avoid(m.VM) {
				continue
			}
			chosen[m.VM] = true
			out = append(out, m)
			break
		}
	}
	return out
}

// ringDistances returns up to n distinct distances on a ring: one to the successor,
// so that the ring is connected, and others spread by hash over the whole ring.
func ringDistances(v fleet.Version, size, n int) []int {
	n = min(n, size-1)
	var out []int
	used := map[int]bool{0: true}
	for i := range n {
		// Each distance is chosen from a separate section of the ring.
		low, high := 1+i*(size-1)/n, 1+(i+1)*(size-1)/n
		d := low
		if i > 0 && high > low {
			d = low + int(hash(string(v), "distance", string(rune(i)))%uint64(high-low))
		}
		if !used[d] {
			used[d] = true
			out = append(out, d)
		}
	}
	return out
}
