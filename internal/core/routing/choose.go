package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// affinitySlack is how much higher the load of the target that holds a prompt's
// prefix may be than that of the least loaded candidate, as a fraction of the limit.
// A cached prefix saves less than a quarter of a full target's queue.
const affinitySlack = 0.25

// Query holds the requirements of a request on its target.
type Query struct {
	Pool Pool
	// Version is the declared version, or empty for services.
	Version fleet.Version
	// OlderVersions holds the versions that may serve until the declared one is loaded.
	OlderVersions map[fleet.Version]bool
	// OwnDomain is the failure domain of the entry, whose targets are preferred.
	OwnDomain fleet.Domain
	// Prefix is the hash of the prompt's prefix, or zero for no affinity.
	Prefix uint64
	// Cordoned reports whether a VM or its failure domain is cordoned; nil means that
	// none is.
	Cordoned func(fleet.Domain, fleet.VM) bool
	// Tried holds the targets that the request was already sent to.
	Tried map[fleet.VM]bool
	// EntriesPerTarget is the expected number of entries that send to each target.
	// Below 1 it is unknown.
	EntriesPerTarget float64
	// Probe also allows targets that appear full, except those paused after a
	// refusal. Their last report may be outdated, and a refusal brings a newer
	// load.
	Probe bool
}

// hasSpareCapacity reports whether this entry may send one more request to a target.
// The entry may use its share of the limit, rounded down, whatever load is reported,
// so that entries that keep to their shares fill the target without refusals. The
// fraction that rounding cut off entitles it to one more slot if one appears free.
// Beyond its share it leaves one slot free, so that it returns borrowed slots
// to entries that are below their shares.
func (q *Query) hasSpareCapacity(v *target) bool {
	share := 0.0
	if q.EntriesPerTarget >= 1 {
		share = float64(v.Limit) / q.EntriesPerTarget
	}
	if v.ownInFlight < int(share) {
		return true
	}
	reserve := 0
	if float64(v.ownInFlight) >= share && int(share) > 0 && int(share) < v.Limit {
		reserve = 1
	}
	return v.estimatedInFlight() < v.Limit-reserve
}

// Choice is the target selected for a request.
type Choice struct {
	VM      fleet.VM
	Address fleet.Address
}

// Outcome tells whether Choose found a target and, if not, why.
type Outcome uint8

// The outcomes of Choose.
const (
	// Chosen means that a target was found.
	Chosen Outcome = iota
	// NoTarget means that no target is eligible for the request.
	NoTarget
	// AllFull means that all eligible targets appear full and would refuse the
	// request.
	AllFull
)

// candidate is an eligible target; load is relative to its limit.
type candidate struct {
	Choice
	tier int
	load float64
}

// Tiers of candidates. The tier of a candidate is the sum of the penalties that
// apply, and lower tiers are preferred. The declared version takes precedence over
// the entry's own failure domain.
const (
	tierOtherDomain  = 1
	tierOlderVersion = 2
	numTiers         = 4
)

// Choose selects a target of the best tier with spare capacity: the one with prefix
// affinity, or the less loaded of two random candidates. The caller reserves a slot
// there with Reserve.
func (t *Table) Choose(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	all, full := t.candidates(q, now)
	if len(all) == 0 {
		if full {
			return Choice{}, AllFull
		}
		return Choice{}, NoTarget
	}
	tier := bestTier(all)
	if q.Prefix != 0 {
		if c, ok := affinityTarget(tier, q.Prefix); ok {
			return c.Choice, Chosen
		}
	}
	return betterOfTwo(tier, intN).Choice, Chosen
}

// candidates returns the targets that may take the request, and whether others were
// excluded only because they appear full.
func (t *Table) candidates(q Query, now time.Time) (out []candidate, full bool) {
	t.targets.Range(func(_ fleet.VM, v target) bool {
		if !v.eligible(q, now) {
			return true
		}
		if v.ownInFlight >= v.Limit || !now.After(v.fullUntil) || !q.Probe && !q.hasSpareCapacity(&v) {
			full = true
			return true
		}
		c := candidate{load: float64(v.estimatedInFlight()) / float64(v.Limit)}
		c.VM, c.Address = v.VM, v.Address
		if v.Domain != q.OwnDomain {
			c.tier += tierOtherDomain
		}
		if v.Version != q.Version {
			c.tier += tierOlderVersion
		}
		out = append(out, c)
		return true
	})
	// The iteration order of the map must not decide between equal candidates.
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.VM, b.VM) })
	return out, full
}

// eligible reports whether the target may serve the request, whatever its load.
func (t *target) eligible(q Query, now time.Time) bool {
	switch {
	case t.Pool != q.Pool, !t.Usable, !t.fresh(now), q.Tried[t.VM]:
		return false
	case t.Version != q.Version && !q.OlderVersions[t.Version]:
		return false
	case q.Pool.Group != "" && t.Version == "":
		return false
	}
	return q.Cordoned == nil || !q.Cordoned(t.Domain, t.VM)
}

// bestTier keeps the candidates of the best tier.
func bestTier(all []candidate) []candidate {
	best := numTiers
	for _, c := range all {
		best = min(best, c.tier)
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return c.tier != best })
}

// affinityTarget returns the candidate that ranks first for the prefix, and whether
// its load is within affinitySlack of the least loaded one.
func affinityTarget(cs []candidate, prefix uint64) (candidate, bool) {
	best, least := cs[0], cs[0].load
	for _, c := range cs[1:] {
		if score(prefix, string(c.VM)) > score(prefix, string(best.VM)) {
			best = c
		}
		least = min(least, c.load)
	}
	return best, best.load <= least+affinitySlack
}

// betterOfTwo returns the less loaded of two random candidates.
func betterOfTwo(cs []candidate, intN func(int) int) candidate {
	i := intN(len(cs))
	if len(cs) == 1 {
		return cs[i]
	}
	j := intN(len(cs) - 1)
	if j >= i {
		j++
	}
	if cs[j].load < cs[i].load {
		return cs[j]
	}
	return cs[i]
}
