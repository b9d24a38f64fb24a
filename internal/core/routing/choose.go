package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// affinitySlack is the load, relative to the limit, by which the target that
// holds a prompt's prefix may exceed another candidate before it loses the
// request. A cached prefix saves less than a quarter of a full target's queue.
const affinitySlack = 0.25

// Query describes the target that a request needs.
type Query struct {
	Pool Pool
	// Version is the declared version; empty for services.
	Version fleet.Version
	// OlderVersions lists versions that may serve until the declared one is loaded.
	OlderVersions map[fleet.Version]bool
	// OwnDomain is the failure domain of the entry.
	OwnDomain fleet.Domain
	// Prefix is the hash of the prompt's prefix; zero means no affinity.
	Prefix uint64
	// Cordoned says what the declaration takes out of service.
	Cordoned func(fleet.Domain, fleet.VM) bool
	// Tried holds the targets that the request already went to.
	Tried map[fleet.VM]bool
	// EntriesPerTarget is the expected number of entries that share a target.
	EntriesPerTarget float64
	// Probe also allows targets that seem full, but for those that have just
	// refused a request. The last report may be old, and a refusal brings a new
	// one.
	Probe bool
}

// spare reports whether a target seems to have room. This entry may use the
// whole places of its share of the limit whatever the report says of the
// others, so all entries that keep to their shares fill a target without a
// refusal. The part of a place that is left of its share lets it use one more
// that seems free. Beyond that it leaves one place free, so that it gives a
// borrowed place back to an entry that has less.
func (q *Query) spare(v *target) bool {
	share := 0.0
	if q.EntriesPerTarget >= 1 {
		share = float64(v.Limit) / q.EntriesPerTarget
	}
	if v.own < int(share) {
		return true
	}
	reserve := 0
	if float64(v.own) >= share && int(share) > 0 && int(share) < v.Limit {
		reserve = 1
	}
	return v.estimate() < v.Limit-reserve
}

// Choice is the result of Choose.
type Choice struct {
	VM      fleet.VM
	Address fleet.Address
}

// Outcome says why Choose returned no target.
type Outcome uint8

// The outcomes of Choose.
const (
	// Chosen means that a target was found.
	Chosen Outcome = iota
	// NoTarget means that no candidate takes work.
	NoTarget
	// AllFull means that every candidate seems to be full, so that it would
	// refuse the request.
	AllFull
)

type candidate struct {
	Choice
	tier int
	load float64
}

// The tiers of candidates, best first: the declared version before an older
// one, and the entry's own failure domain before others.
const (
	tierOtherDomain  = 1
	tierOlderVersion = 2
	numTiers         = 4
)

// Choose picks a target: in the first tier with spare capacity, the one with
// prefix affinity, or the better of two random candidates. The caller takes a
// place in it with Start.
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
		if c, ok := affine(tier, q.Prefix); ok {
			return c.Choice, Chosen
		}
	}
	return betterOfTwo(tier, intN).Choice, Chosen
}

// candidates returns the targets that may take the request, and whether some
// were left out only because they seem full.
func (t *Table) candidates(q Query, now time.Time) (out []candidate, full bool) {
	t.targets.Range(func(_ fleet.VM, v target) bool {
		if !v.matches(q, now) {
			return true
		}
		if v.own >= v.Limit || !now.After(v.fullUntil) || !q.Probe && !q.spare(&v) {
			full = true
			return true
		}
		c := candidate{load: float64(v.estimate()) / float64(v.Limit)}
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
	// The order of a map's range must not decide between equal candidates.
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.VM, b.VM) })
	return out, full
}

func (t *target) matches(q Query, now time.Time) bool {
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

func bestTier(all []candidate) []candidate {
	best := numTiers
	for _, c := range all {
		best = min(best, c.tier)
	}
	return slices.DeleteFunc(all, func(c candidate) bool { return c.tier != best })
}

// affine returns the target that ranks first for the prefix, unless it is
// clearly more loaded than the least loaded candidate.
func affine(cs []candidate, prefix uint64) (candidate, bool) {
	best, least := cs[0], cs[0].load
	for _, c := range cs[1:] {
		if score(prefix, string(c.VM)) > score(prefix, string(best.VM)) {
			best = c
		}
		least = min(least, c.load)
	}
	return best, best.load <= least+affinitySlack
}

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
