// Package spread decides how a version of the weights spreads between agents:
// which agents talk to each other, which chunk an agent requests next and from
// whom, who may ask the origin, and which requests a peer serves.
package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// MaxNeighbours is the number of peers of the own region whose chunks an
	// agent watches.
	MaxNeighbours = 8
	// remoteNeighbours is the number of agents per other region that a gateway
	// watches.
	remoteNeighbours = 2
	// MaxGateways bounds the agents of a region that may ask the origin.
	MaxGateways = 16
	// OriginCopies is the budget of copies that the origin gives in all.
	OriginCopies = 4
	// maxDrawing is the number of regions that draw one chunk from the origin.
	maxDrawing = 3
	// OriginStep is the least time that a gateway waits for the owner of a
	// chunk before it takes the chunk over.
	OriginStep = 2 * time.Second
	// patienceFactor is the number of average origin fetches after which an
	// owner without progress counts as stalled. On a slow region link a chunk
	// may take much longer than OriginStep, and a takeover then costs a copy.
	patienceFactor = 4
)

// Member is an agent that is selected for a version or holds it.
type Member struct {
	VM      fleet.VM
	Region  fleet.Region
	Address fleet.Address
	// Suspect members stay neighbours but are no gateways.
	Suspect bool
}

func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// hash is FNV-1a over the parts with a final mix. All agents compute the same.
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

// byRegion groups the members and always contains the region of self.
func byRegion(self Member, ms []Member) map[fleet.Region][]Member {
	out := map[fleet.Region][]Member{self.Region: {self}}
	for _, m := range ms {
		if m.VM != self.VM {
			out[m.Region] = append(out[m.Region], m)
		}
	}
	return out
}

// ringNeighbours returns up to n other members at fixed distances on a ring by
// hash. With one ring in all views, each member is watched by as many peers as
// it watches, which keeps the load of uploads even. Members to avoid are
// replaced by the next ones on the ring.
func ringNeighbours(v fleet.Version, self Member, ms []Member, n int, avoid func(fleet.VM) bool) []Member {
	ring := sortByHash(ms, string(v))
	at := slices.IndexFunc(ring, func(m Member) bool { return m.VM == self.VM })
	var out []Member
	taken := map[fleet.VM]bool{self.VM: true}
	for _, d := range ringDistances(v, len(ring), n) {
		for i := range len(ring) {
			m := ring[(at+d+i)%len(ring)]
			if taken[m.VM] || avoid(m.VM) {
				continue
			}
			taken[m.VM] = true
			out = append(out, m)
			break
		}
	}
	return out
}

// ringDistances returns up to n distinct distances: the successor, so that the
// ring is connected, and others spread by hash over the whole ring.
func ringDistances(v fleet.Version, size, n int) []int {
	n = min(n, size-1)
	var out []int
	used := map[int]bool{0: true}
	for i := range n {
		// Each distance comes from its own section of the ring.
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
