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
	// places. None may at one with weights older than Fading, which have to be out
	// of use soon.
	Beyond int
	Fading int64
	// Read is the time in which an engine reads the request's prompt, and Write
	// that in which a pass writes. Both are zero for plain services.
	Read, Write time.Duration
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
	// First is the time after which an engine probably sends the first event.
	First time.Duration
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

const (
	// requestCost is the time by which each request at an engine makes a new one
	// less welcome. It decides between engines that read nothing; a request holds
	// a place for about 1.3 s.
	requestCost = 4 * time.Millisecond
	// otherDomainCost is the same for a target of another failure domain, for the
	// longer way and the shared links between domains.
	otherDomainCost = 6 * time.Millisecond
	// staleAfter is the age from which a missing report makes an engine less
	// welcome, by the time that it is late: its machine or the way to it is in
	// trouble. Reports come at least every 400 ms.
	staleAfter = 600 * time.Millisecond
	// staleMost bounds that time, and is used for an engine that never reported.
	staleMost = 3 * time.Second
	// placeWait is the time after which a full engine has a free place.
	placeWait = 100 * time.Millisecond
)

// first returns the time after which the target probably sends the first event
// of an answer: the pass in progress ends, then the prompt is read and the first
// tokens are written. A full engine has to end another request before.
func (s *state) first(q *Query, estimate float64, now time.Time) time.Duration {
	d := s.unread(now) + q.Read + q.Write
	if beyond := estimate - float64(s.places()) + 1; beyond > 0 {
		d += time.Duration(beyond * float64(placeWait))
	}
	return d
}

// Choose takes a place at the target that probably answers first. The caller returns it
// with Done.
func (t *Table) Choose(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	for {
		c, out := t.best(q, now, intN)
		if out != Chosen || t.start(c.Instance, q, now) {
			return c, out
		}
	}
}

// Room reports whether some target would take the request now.
func (t *Table) Room(q Query, now time.Time) bool {
	found := false
	t.targets.Range(func(_ fleet.Instance, s *state) bool {
		found = s.matches(&q) && s.room(&q, now)
		return !found
	})
	return found
}

func (t *Table) best(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	var all []Choice
	full := false
	var least time.Duration
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
		c.First = s.first(&q, c.Estimate, now)
		score := c.First + time.Duration(c.Estimate*float64(requestCost))
		if s.Domain != q.Own {
			score += otherDomainCost
		}
		if q.NeedsWeights {
			score += s.stale(now) + s.lagging(now)
		}
		if len(all) == 0 || score < least {
			all, least = append(all[:0], c), score
		} else if score == least {
			all = append(all, c)
		}
		return true
	})
	if len(all) > 0 {
		return all[intN(len(all))], Chosen
	}
	if full {
		return Choice{}, AllFull
	}
	return Choice{}, NoTarget
}

// stale returns the time by which the report of an engine is late.
func (s *state) stale(now time.Time) time.Duration {
	if s.loadAt.IsZero() {
		return staleMost
	}
	return min(max(0, now.Sub(s.loadAt)-staleAfter), staleMost)
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
	beyond := q.Beyond
	if s.Weights < q.Fading {
		beyond = 0
	}
	if s.estimate(now, q.Processes) >= float64(s.places()+beyond) {
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
		s.sent(q.Read, now)
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
