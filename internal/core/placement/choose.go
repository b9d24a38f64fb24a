package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Query describes the target that a request needs.
type Query struct {
	Service fleet.Service
	Own     fleet.Domain
	// Cordoned says which failure domains take no new work.
	Cordoned func(fleet.Domain) bool
	// Allowed says which regions may serve the request; nil allows all.
	Allowed func(fleet.Region) bool
	// MinWeights is the oldest number of weights that may serve the request.
	MinWeights int64
	// NeedsWeights leaves out engines that hold none.
	NeedsWeights bool
	// Tried holds the targets that the request already went to.
	Tried map[fleet.Instance]bool
	// Processes is the number of processes that send to the same targets.
	Processes float64
	// Beyond is the number of requests that may wait at a target beyond its
	// places.
	Beyond int
	// ColdPerSecond bounds the requests of all processes to a cold target.
	ColdPerSecond float64
}

// Choice is a target for a request.
type Choice struct {
	Instance fleet.Instance
	Address  fleet.Address
	Domain   fleet.Domain
	// Estimate is the number of requests that the target probably held.
	Estimate float64
	// LoadAge is the age of the report behind the estimate; negative without one.
	LoadAge time.Duration
}

// Outcome says why Choose returned no target.
type Outcome uint8

// The outcomes of Choose.
const (
	// Chosen means that a target was found.
	Chosen Outcome = iota
	// NoTarget means that no target takes requests of this kind.
	NoTarget
	// AllFull means that all targets hold as much as they may.
	AllFull
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"chosen", "no_target", "all_full"}[o]
}

// ownDomainBonus is the number of requests by which a target of the own failure
// domain may exceed others. Half a request decides only between equals.
const ownDomainBonus = 0.5

// spread is the difference in load below which targets count as equal. Several
// processes that all took the emptiest target would fill it at once.
const spread = 1.0

// Choose takes a place at the target with the least load. The caller returns it
// with Done.
func (t *Table) Choose(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	for {
		c, out := t.best(q, now, intN)
		if out != Chosen || t.start(c.Instance, q, now) {
			return c, out
		}
	}
}

func (t *Table) best(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	var all []Choice
	var scores []float64
	full := false
	least := 0.0
	t.targets.Range(func(id fleet.Instance, s *state) bool {
		if !s.matches(&q) {
			return true
		}
		if !s.room(&q, now) {
			full = true
			return true
		}
		c := Choice{Instance: id, Address: s.Address, Domain: s.Domain, Estimate: s.estimate(now, q.Processes), LoadAge: -1}
		if !s.loadAt.IsZero() {
			c.LoadAge = now.Sub(s.loadAt)
		}
		score := c.Estimate
		if s.Domain != q.Own {
			score += ownDomainBonus
		}
		if len(all) == 0 || score < least {
			least = score
		}
		all, scores = append(all, c), append(scores, score)
		return true
	})
	if len(all) == 0 {
		if full {
			return Choice{}, AllFull
		}
		return Choice{}, NoTarget
	}
	near := all[:0]
	for i, c := range all {
		if scores[i] <= least+spread {
			near = append(near, c)
		}
	}
	return near[intN(len(near))], Chosen
}

func (s *state) matches(q *Query) bool {
	switch {
	case s.Service != q.Service, s.Draining, q.Tried[s.Instance]:
		return false
	case q.NeedsWeights && s.Weights == 0, s.Weights < q.MinWeights:
		return false
	case q.Cordoned != nil && q.Cordoned(s.Domain):
		return false
	}
	return q.Allowed == nil || q.Allowed(s.Region)
}

// room reports whether the target takes one more request now.
func (s *state) room(q *Query, now time.Time) bool {
	if now.Before(s.pausedUntil) || s.load.Loading && now.Sub(s.loadAt) <= reportMaxAge {
		return false
	}
	if s.estimate(now, q.Processes) >= float64(s.places()+q.Beyond) {
		return false
	}
	return !now.Before(s.ColdUntil) || s.coldRoom(q, now)
}

// coldShare is the part of the rate of a cold target that all processes
// together use. The rest covers requests that arrive closer together than they
// were sent.
const coldShare = 0.8

// coldRoom reports whether this process may send one more request to a cold
// target within the current second. Each process keeps to an equal share, at
// least one request, so that all together keep the rate without knowing of each
// other.
func (s *state) coldRoom(q *Query, now time.Time) bool {
	if q.ColdPerSecond <= 0 {
		return true
	}
	n := 0
	for _, at := range s.starts {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	return float64(n) < max(1, coldShare*q.ColdPerSecond/max(q.Processes, 1))
}

// start takes a place, unless the target has filled up since it was chosen.
func (t *Table) start(id fleet.Instance, q Query, now time.Time) bool {
	taken := false
	t.change(id, func(s *state) {
		if !s.matches(&q) || !s.room(&q, now) {
			return
		}
		taken = true
		s.own++
		if now.Before(s.ColdUntil) {
			s.starts = append(recent(s.starts, now), now)
		}
	})
	return taken
}

func recent(starts []time.Time, now time.Time) []time.Time {
	for len(starts) > 0 && now.Sub(starts[0]) >= time.Second {
		starts = starts[1:]
	}
	return starts
}
