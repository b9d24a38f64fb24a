// Package chain decides from whom each member of a small fleet fetches the chunks
// of a version, so that each chunk leaves the origin once, crosses to each other
// region once, and every member sends about as much as it receives.
//
// For each chunk the members of a region form a chain that starts at another
// member. The first of the chain fetches the chunk from the first of an earlier
// region, or from the origin if its region comes first; all others fetch it from
// the first. A member that does not work towards the version, or fails, is
// skipped by those behind it. It is made for tens of members: one member sends a
// chunk to all others of its region.
package chain

import (
	"cmp"
	"slices"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Member is a process that holds or fetches the version.
type Member struct {
	VM      fleet.VM
	Region  fleet.Region
	Address fleet.Address
}

// plan is what a member derives from the set of members.
type plan struct {
	self    Member
	regions []fleet.Region
	rings   map[fleet.Region][]Member
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

// at returns the members of a region in the order of chunk c's chain. Chunks of
// which the regions come in the same order are dealt to the ring in turn.
func (p *plan) at(r fleet.Region, c int) []Member {
	ring := p.rings[r]
	k := (c / len(p.regions)) % len(ring)
	return append(slices.Clone(ring[k:]), ring[:k]...)
}

// sources returns the members that self asks for chunk c, in order. The origin
// follows after the last one.
func (p *plan) sources(c int) []Member {
	var out []Member
	for _, m := range p.at(p.self.Region, c) {
		if m.VM == p.self.VM {
			break
		}
		out = append(out, m)
	}
	k := c % len(p.regions)
	for i := range p.regions {
		r := p.regions[(k+i)%len(p.regions)]
		if r == p.self.Region {
			break
		}
		out = append(out, p.at(r, c)...)
	}
	return out
}

// Before returns the members that self asks for what belongs to the version as a
// whole, such as its manifest, in order.
func Before(self Member, ms []Member) []Member {
	return newPlan(self, ms).sources(0)
}
