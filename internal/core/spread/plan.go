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
	// Gateways are the agents of the own region that may fetch from external sources:
	// the origin and peers of other regions.
	Gateways []Member
	// Gateway is set if this agent is one of Gateways.
	Gateway bool

	version fleet.Version
	// originRegion is the region of the origin, or empty if the origin is in none of
	// the regions.
	originRegion fleet.Region
	chunks       int
	ringCount    int // number of ring neighbours, which come first in Neighbours
	regions      []fleet.Region
	owners       []uint8 // index into Gateways by chunk
	ownerSalts   []uint64
}

// NewPlan returns the plan of self for a version of the given number of chunks.
// originRegion may be empty. Members for which avoid returns true are not chosen as
// neighbours.
func NewPlan(
	v fleet.Version, chunks int, self Member, ms []Member, originRegion fleet.Region, avoid func(fleet.VM) bool,
) *Plan {
	groups := groupByRegion(self, ms)
	p := &Plan{Self: self, version: v, originRegion: originRegion, chunks: chunks, regions: slices.Sorted(maps.Keys(groups))}
	own := groups[self.Region]
	p.Gateways = p.selectGateways(self.Region, own)
	p.Gateway = slices.ContainsFunc(p.Gateways, func(m Member) bool { return m.VM == self.VM })
	for _, g := range p.Gateways {
		p.ownerSalts = append(p.ownerSalts, hash(string(v), "owner", string(g.VM)))
	}
	p.assignOwners()
	p.Neighbours = ringNeighbours(v, self, own, MaxNeighbours, avoid)
	p.ringCount = len(p.Neighbours)
	if p.Gateway {
		p.addGatewayNeighbours(groups, avoid)
	}
	return p
}

// addGatewayNeighbours makes the gateways of a region watch each other, so that they
// notice when an owner announces no more chunks and take over, and makes them watch
// some gateways of other regions. Gateways of the origin's region are not watched,
// because a fetch from them loads that region's link as much as a fetch from the
// origin.
func (p *Plan) addGatewayNeighbours(groups map[fleet.Region][]Member, avoid func(fleet.VM) bool) {
	add := func(m Member) {
		known := slices.ContainsFunc(p.Neighbours, func(n Member) bool { return n.VM == m.VM })
		if m.VM != p.Self.VM && !known {
			p.Neighbours = append(p.Neighbours, m)
		}
	}
	for _, g := range p.Gateways {
		add(g)
	}
	for _, r := range p.regions {
		if r == p.Self.Region || r == p.originRegion {
			continue
		}
		remaining := remoteNeighbours
		for _, m := range sortByHash(p.selectGateways(r, groups[r]), string(p.Self.VM)) {
			if remaining > 0 && !avoid(m.VM) {
				add(m)
				remaining--
			}
		}
	}
}

// selectGateways returns the gateways of region r, chosen from its members that are
// not suspect. If the version has too few chunks for a gateway in each region, only a
// region that fetches chunks from the origin has one.
func (p *Plan) selectGateways(r fleet.Region, ms []Member) []Member {
	live := slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.Suspect && m.VM != p.Self.VM })
	n := gatewayCount(p.chunks, len(p.regions), len(live))
	if n == 0 && p.regionUsesOrigin(r) {
		n = 1
	}
	return sortByHash(live, string(p.version), string(r))[:min(n, len(live))]
}

// gatewayCount returns the largest number of gateways, up to MaxGateways, with which
// each gateway's quota exceeds its even share of the chunks, so that the others can
// replace a lost gateway. It is zero if the version has too few chunks for one
// gateway in each region.
func gatewayCount(chunks, regions, live int) int {
	limit := min(MaxGateways, live)
	originChunks := chunks * min(maxOriginRegions, regions) / regions
	for g := limit; g > 0; g-- {
		if gatewayQuota(chunks, regions, g) > (originChunks+g-1)/g {
			return g
		}
	}
	return min(limit, OriginCopies*chunks/regions)
}

// gatewayQuota returns the number of chunks that each gateway may fetch from the
// origin, so that all gateways together fetch at most OriginCopies copies.
func gatewayQuota(chunks, regions, gateways int) int {
	return OriginCopies * chunks / (regions * max(1, gateways))
}

// Quota returns the number of chunks that this agent may fetch from the origin when
// its region lacks the given number of chunks. A gateway that joins later thus gets
// a share of only those chunks that are still missing.
func (p *Plan) Quota(missing int) int {
	if !p.Gateway || missing <= 0 {
		return 0
	}
	return max(1, gatewayQuota(missing, len(p.regions), len(p.Gateways)))
}

// FetchesFromOrigin reports whether the own region fetches chunk c from the origin
// rather than from another region.
func (p *Plan) FetchesFromOrigin(c int) bool { return p.regionFetchesFromOrigin(p.Self.Region, c) }

// regionFetchesFromOrigin reports whether region r fetches chunk c from the origin.
// If the origin is in a region, each chunk leaves that region once, to one other
// region, which passes it on to the rest.
func (p *Plan) regionFetchesFromOrigin(r fleet.Region, c int) bool {
	maxRegions := maxOriginRegions
	if p.originRegion != "" {
		maxRegions = 1
	}
	if r == p.originRegion || len(p.regions) <= maxRegions {
		return true
	}
	rank := p.originRank(r, c)
	ahead := 0
	for _, o := range p.regions {
		if o != r && o != p.originRegion && p.originRank(o, c) < rank {
			ahead++
		}
	}
	return ahead < maxRegions
}

// originRank orders the regions for chunk c. The lowest ranks fetch it from the origin.
func (p *Plan) originRank(r fleet.Region, c int) uint64 {
	return mix(hash(string(p.version), "draw", string(r)) + uint64(c))
}

// regionUsesOrigin reports whether region r fetches any chunk from the origin.
func (p *Plan) regionUsesOrigin(r fleet.Region) bool {
	for c := range p.chunks {
		if p.regionFetchesFromOrigin(r, c) {
			return true
		}
	}
	return false
}

// assignOwners assigns each chunk to the gateway that ranks first among those with
// fewer chunks than an even share. Plain rendezvous hashing would give some gateways
// more chunks than their quota.
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
			if load[g] < share && (best < 0 || p.ownerRank(g, c) < p.ownerRank(best, c)) {
				best = g
			}
		}
		p.owners[c] = uint8(best)
		load[best]++
	}
}

// ownerRank orders the gateways as owners of chunk c, the lowest rank first.
func (p *Plan) ownerRank(g, c int) uint64 { return mix(p.ownerSalts[g] + uint64(c)) }

// Owner returns the gateway of the own region that fetches chunk c from an external
// source.
func (p *Plan) Owner(c int) (fleet.VM, bool) {
	if c >= len(p.owners) {
		return "", false
	}
	return p.Gateways[p.owners[c]].VM, true
}

// GatewayView is what a gateway knows of the other gateways of its region.
type GatewayView struct {
	// IdleTime returns the time since a gateway last announced a chunk of its own.
	IdleTime func(fleet.VM) time.Duration
	// Unreachable reports whether the stream of a gateway ended or missed its
	// heartbeats. A gateway that has all of its own chunks is idle but reachable, and
	// keeps its place in the order of takeovers.
	Unreachable func(fleet.VM) bool
	// FetchTime is the average time of this agent's fetches from the origin.
	FetchTime time.Duration
}

// MayTakeOver reports whether this gateway, which does not own chunk c, may fetch it
// from an external source because the owner is idle. The k-th gateway after the
// owner waits k times the takeover delay; unreachable gateways are not counted.
func (p *Plan) MayTakeOver(c int, s GatewayView) bool {
	owner, ok := p.Owner(c)
	if !ok || !p.Gateway {
		return false
	}
	delay := max(MinTakeoverDelay, takeoverFetches*s.FetchTime)
	idleTime := s.IdleTime(owner)
	if idleTime < delay {
		return false
	}
	selfIndex := slices.IndexFunc(p.Gateways, func(m Member) bool { return m.VM == p.Self.VM })
	steps := 1
	for g, m := range p.Gateways {
		if m.VM != owner && g != selfIndex && p.ownerRank(g, c) < p.ownerRank(selfIndex, c) && !s.Unreachable(m.VM) {
			steps++
		}
	}
	return idleTime >= time.Duration(steps)*delay
}

// ExtensionDelay returns the time without a new chunk after which this gateway may
// fetch a chunk from the origin beyond its quota. The k-th of the reachable gateways
// waits k times minExtensionDelay, so that one of them does so for the region.
func (p *Plan) ExtensionDelay(unreachable func(fleet.VM) bool) time.Duration {
	position := 1
	for _, g := range p.Gateways {
		if g.VM == p.Self.VM {
			break
		}
		if !unreachable(g.VM) {
			position++
		}
	}
	return time.Duration(position) * minExtensionDelay
}

// singleFetchGateways is the number of gateways in a region at which each of them is
// limited to one fetch from external sources at a time.
const singleFetchGateways = 4

// ExternalLimit returns the number of concurrent fetches from external sources that
// this agent may have, at most limit. Many gateways share the link of their region;
// with fewer concurrent fetches each chunk is complete, and passed on, earlier.
func (p *Plan) ExternalLimit(limit int) int {
	if len(p.Gateways) >= singleFetchGateways {
		return min(1, limit)
	}
	return limit
}

// Role returns the role of member m, which must be one of Neighbours.
func (p *Plan) Role(m Member) Role {
	index := slices.IndexFunc(p.Neighbours, func(n Member) bool { return n.VM == m.VM })
	switch {
	case m.Region != p.Self.Region:
		return Remote
	case index >= p.ringCount:
		return Backup
	default:
		return Neighbour
	}
}

// ManifestSources returns the other members of the region in the order in which they
// ask the origin for the manifest, and the rank of self: the number of members
// before it.
func ManifestSources(v fleet.Version, self Member, ms []Member) (others []Member, rank int) {
	ring := sortByHash(groupByRegion(self, ms)[self.Region], string(v), "manifest")
	rank = slices.IndexFunc(ring, func(m Member) bool { return m.VM == self.VM })
	return slices.Delete(ring, rank, rank+1), rank
}
