// Package chain decides from which source each member of a small fleet fetches
// each chunk of a version, so that each chunk leaves the origin once, enters each
// other region once, and every member sends about as much as it receives.
//
// For each chunk the members of a region are ordered in a chain, whose head
// differs from chunk to chunk. The head fetches the chunk from the head of an
// earlier region, or from the origin if its region is the first for this chunk.
// Within the chain each member passes the chunk on to up to three others. A member
// that does not fetch the version, or that fails, is skipped by the members after
// it.
package chain

import (
	"cmp"
	"math"
	"slices"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Member is a process that may hold or fetch the version.
type Member struct {
	VM      fleet.VM
	Region  fleet.Region
	Address fleet.Address
}

// plan is the order of sources that self derives from the set of members. All
// members with the same set derive matching plans.
type plan struct {
	self    Member
	regions []fleet.Region
	rings   map[fleet.Region][]Member // members in the order of their VM names
}

func newPlan(self Member, ms []Member) *plan {
	p := &plan{self: self, rings: map[fleet.Region][]Member{}}
	for _, m := range ms {
		if m.VM != self.VM {
			p.rings[m.Region] = append(p.rings[m.Region], m)
		}
	}
	p.rings[self.Region] = append(p.rings[self.Region], self)
	for r, ring := range p.rings {
		slices.SortFunc(ring, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
		p.regions = append(p.regions, r)
	}
	slices.Sort(p.regions)
	return p
}

// chainOrder returns the members of region r in the order of the chain of chunk c.
// The golden ratio spreads the heads of the chains evenly over the ring for any
// number of chunks, so that each member passes on about the same number.
func (p *plan) chainOrder(r fleet.Region, c int) []Member {
	ring := p.rings[r]
	_, frac := math.Modf(float64(c) * math.Phi)
	k := int(frac * float64(len(ring)))
	return append(slices.Clone(ring[k:]), ring[:k]...)
}

// sources returns the members that self asks for chunk c, in order. If all of them
// are skipped, the origin is asked.
func (p *plan) sources(c int) []Member {
	ring := p.chainOrder(p.self.Region, c)
	selfIndex := slices.IndexFunc(ring, func(m Member) bool { return m.VM == p.self.VM })
	return append(upstream(ring, selfIndex), p.earlierRegions(c)...)
}

// earlierRegions returns the members of the regions that chunk c reaches before
// the region of self.
func (p *plan) earlierRegions(c int) []Member {
	var out []Member
	k := c % len(p.regions)
	for i := range p.regions {
		r := p.regions[(k+i)%len(p.regions)]
		if r == p.self.Region {
			break
		}
		out = append(out, p.chainOrder(r, c)...)
	}
	return out
}

// priority returns how urgently self should fetch chunk c: 0 if self is the head of
// the chain, 1 if it passes the chunk on to others, 2 if it does not.
func (p *plan) priority(c int) int {
	ring := p.chainOrder(p.self.Region, c)
	selfIndex := slices.IndexFunc(ring, func(m Member) bool { return m.VM == p.self.VM })
	switch {
	case selfIndex == 0:
		return 0
	case selfIndex*fanOut+1 < len(ring):
		return 1
	default:
		return 2
	}
}

// fanOut is the number of members to which one member passes a chunk on. With
// three, the last of 30 members has a chunk after three steps of three transfers
// each, instead of after 29 transfers by the head.
const fanOut = 3

// upstream returns the members of a chain before selfIndex: first the ones on the
// path from the head, nearest first, then the others.
func upstream(ring []Member, selfIndex int) []Member {
	var out []Member
	onPath := map[int]bool{}
	for i := selfIndex; i > 0; {
		i = (i - 1) / fanOut
		onPath[i] = true
		out = append(out, ring[i])
	}
	for i := range selfIndex {
		if !onPath[i] {
			out = append(out, ring[i])
		}
	}
	return out
}

// ManifestSources returns the members that self asks for the manifest, or other
// data of the version as a whole, in order, and the rank of self in its region, which
// is 0 for the head. This data is small, so the head of a region sends it to all other
// members.
func ManifestSources(self Member, ms []Member) (sources []Member, rank int) {
	p := newPlan(self, ms)
	ring := p.chainOrder(self.Region, 0)
	rank = slices.IndexFunc(ring, func(m Member) bool { return m.VM == self.VM })
	return append(slices.Clone(ring[:rank]), p.earlierRegions(0)...), rank
}
