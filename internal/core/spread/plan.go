package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Plan is what one agent derives from the members of a version. It is
// immutable; a change of the members makes a new plan.
type Plan struct {
	Self Member
	// Neighbours are the members whose chunks this agent watches.
	Neighbours []Member
	// Gateways are the agents of the own region that may fetch from outside.
	Gateways []Member
	// Gateway reports whether this agent is one of them.
	Gateway bool

	version fleet.Version
	// home is the region of the origin, or empty if the origin stands outside
	// all regions.
	home    fleet.Region
	chunks  int
	ring    int // the first of Neighbours are neighbours on the ring
	regions []fleet.Region
	owners  []uint8 // index into Gateways by chunk
	salts   []uint64
}

// NewPlan returns the plan of self for a version of the given number of
// chunks. home is the region of the origin, if it stands in one. Avoided
// members are not chosen as neighbours.
func NewPlan(
	v fleet.Version, chunks int, self Member, ms []Member, home fleet.Region, avoid func(fleet.VM) bool,
) *Plan {
	groups := byRegion(self, ms)
	p := &Plan{Self: self, version: v, home: home, chunks: chunks, regions: slices.Sorted(maps.Keys(groups))}
	own := groups[self.Region]
	p.Gateways = p.gatewaysOf(self.Region, own)
	p.Gateway = slices.ContainsFunc(p.Gateways, func(m Member) bool { return m.VM == self.VM })
	for _, g := range p.Gateways {
		p.salts = append(p.salts, hash(string(v), "owner", string(g.VM)))
	}
	p.assignOwners()
	p.Neighbours = ringNeighbours(v, self, own, MaxNeighbours, avoid)
	p.ring = len(p.Neighbours)
	if p.Gateway {
		p.addGatewayNeighbours(groups, avoid)
	}
	return p
}

// addGatewayNeighbours lets gateways of a region watch each other, so that a
// takeover follows from what the owner announces, and watch some gateways of
// other regions. Gateways of the origin's region are not watched: fetching from
// them costs that region's link as much as fetching from the origin.
func (p *Plan) addGatewayNeighbours(groups map[fleet.Region][]Member, avoid func(fleet.VM) bool) {
	add := func(m Member) {
		has := slices.ContainsFunc(p.Neighbours, func(n Member) bool { return n.VM == m.VM })
		if m.VM != p.Self.VM && !has {
			p.Neighbours = append(p.Neighbours, m)
		}
	}
	for _, g := range p.Gateways {
		add(g)
	}
	for _, r := range p.regions {
		if r == p.Self.Region || r == p.home {
			continue
		}
		left := remoteNeighbours
		for _, m := range sortByHash(p.gatewaysOf(r, groups[r]), string(p.Self.VM)) {
			if left > 0 && !avoid(m.VM) {
				add(m)
				left--
			}
		}
	}
}

func (p *Plan) gatewaysOf(r fleet.Region, ms []Member) []Member {
	live := slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.Suspect && m.VM != p.Self.VM })
	n := gatewayCount(p.chunks, len(p.regions), len(live))
	if n == 0 && p.drawsAny(r) {
		n = 1
	}
	return sortByHash(live, string(p.version), string(r))[:min(n, len(live))]
}

// gatewayCount returns the largest set, up to MaxGateways, in which each
// gateway's quota exceeds its even share, so that the others can replace a
// lost gateway. It is zero if the version has too few chunks for one gateway
// in each region.
func gatewayCount(chunks, regions, live int) int {
	most := min(MaxGateways, live)
	drawn := chunks * min(maxDrawing, regions) / regions
	for g := most; g > 0; g-- {
		if quota(chunks, regions, g) > (drawn+g-1)/g {
			return g
		}
	}
	return min(most, OriginCopies*chunks/regions)
}

func quota(chunks, regions, gateways int) int {
	return OriginCopies * chunks / (regions * max(1, gateways))
}

// Quota returns the number of chunks that this agent may draw from the origin
// when its region lacks the given number of chunks. A gateway that joins later
// is given a share of what is still missing only.
func (p *Plan) Quota(missing int) int {
	if !p.Gateway || missing <= 0 {
		return 0
	}
	return max(1, quota(missing, len(p.regions), len(p.Gateways)))
}

// Draws reports whether the own region draws chunk c from the origin rather
// than from another region.
func (p *Plan) Draws(c int) bool { return p.regionDraws(p.Self.Region, c) }

// regionDraws reports whether region r draws chunk c from the origin. If the
// origin stands in a region, each chunk leaves that region once, to one other
// region, which passes it on to the rest.
func (p *Plan) regionDraws(r fleet.Region, c int) bool {
	draw := maxDrawing
	if p.home != "" {
		draw = 1
	}
	if r == p.home || len(p.regions) <= draw {
		return true
	}
	mine := p.drawRank(r, c)
	ahead := 0
	for _, o := range p.regions {
		if o != r && o != p.home && p.drawRank(o, c) < mine {
			ahead++
		}
	}
	return ahead < draw
}

func (p *Plan) drawRank(r fleet.Region, c int) uint64 {
	return mix(hash(string(p.version), "draw", string(r)) + uint64(c))
}

func (p *Plan) drawsAny(r fleet.Region) bool {
	for c := range p.chunks {
		if p.regionDraws(r, c) {
			return true
		}
	}
	return false
}

// assignOwners gives each chunk to the gateway that ranks first among those
// with fewer than an even share. Plain rendezvous hashing would give some
// gateways more chunks than their quota.
func (p *Plan) assignOwners() {
	if len(p.Gateways) == 0 {
		return
	}
	share := (p.chunks + len(p.Gateways) - 1) / len(p.Gateways)
	load := make([]int, len(p.Gateways))
	p.owners = make([]uint8, p.chunks)
	for c := range p.chunks {
		best := -1
		for g := range p.Gateways {
			if load[g] < share && (best < 0 || p.rank(g, c) < p.rank(best, c)) {
				best = g
			}
		}
		p.owners[c] = uint8(best)
		load[best]++
	}
}

func (p *Plan) rank(g, c int) uint64 { return mix(p.salts[g] + uint64(c)) }

// Owner returns the gateway of the own region that fetches chunk c from
// outside.
func (p *Plan) Owner(c int) (fleet.VM, bool) {
	if c >= len(p.owners) {
		return "", false
	}
	return p.Gateways[p.owners[c]].VM, true
}

// Sight is what a gateway sees of the others.
type Sight struct {
	// Idle returns the time since a gateway last announced a chunk of its own.
	Idle func(fleet.VM) time.Duration
	// Lost reports whether a gateway cannot be heard. A gateway that has all of
	// its own chunks is idle but not lost, and still takes over before others.
	Lost func(fleet.VM) bool
	// Fetch is the time that an origin fetch takes here.
	Fetch time.Duration
}

// MayTakeOver reports whether this gateway, which does not own chunk c, may
// fetch it from outside. The k-th gateway after the owner waits k times the
// patience; lost ones are not counted.
func (p *Plan) MayTakeOver(c int, s Sight) bool {
	owner, ok := p.Owner(c)
	if !ok || !p.Gateway {
		return false
	}
	patience := max(OriginStep, patienceFactor*s.Fetch)
	quiet := s.Idle(owner)
	if quiet < patience {
		return false
	}
	me := slices.IndexFunc(p.Gateways, func(m Member) bool { return m.VM == p.Self.VM })
	steps := 1
	for g, m := range p.Gateways {
		if m.VM != owner && g != me && p.rank(g, c) < p.rank(me, c) && !s.Lost(m.VM) {
			steps++
		}
	}
	return quiet >= time.Duration(steps)*patience
}

// ExtendAfter returns the standstill after which this gateway may draw a chunk
// beyond its allowance. The k-th of the gateways that can be heard waits k times
// the least one, so that one of them does it for the region.
func (p *Plan) ExtendAfter(lost func(fleet.VM) bool) time.Duration {
	turn := 1
	for _, g := range p.Gateways {
		if g.VM == p.Self.VM {
			break
		}
		if !lost(g.VM) {
			turn++
		}
	}
	return time.Duration(turn) * standstill
}

// soloGateways is the number of gateways from which each fetches one chunk at a
// time from outside.
const soloGateways = 4

// OutsideLimit returns the number of fetches from outside that this agent may
// have in progress, at most most. Many gateways share the link of their region;
// with fewer fetches at a time each chunk is complete, and passed on, earlier.
func (p *Plan) OutsideLimit(most int) int {
	if len(p.Gateways) >= soloGateways {
		return min(1, most)
	}
	return most
}

// Role returns what a neighbour of the plan is used for.
func (p *Plan) Role(m Member) Role {
	at := slices.IndexFunc(p.Neighbours, func(n Member) bool { return n.VM == m.VM })
	switch {
	case m.Region != p.Self.Region:
		return Remote
	case at >= p.ring:
		return Spare
	default:
		return Neighbour
	}
}

// ManifestSources returns the other members of the region in the order in which
// they ask the origin for the manifest, and the number of them before self.
func ManifestSources(v fleet.Version, self Member, ms []Member) (others []Member, rank int) {
	ring := sortByHash(byRegion(self, ms)[self.Region], string(v), "manifest")
	rank = slices.IndexFunc(ring, func(m Member) bool { return m.VM == self.VM })
	return slices.Delete(ring, rank, rank+1), rank
}
