package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Query describes the target that a request needs.
type Query struct {
	Service   fleet.Service
	OwnDomain fleet.Domain
	// DomainCordoned says which failure domains take no new work.
	DomainCordoned func(fleet.Domain) bool
	// RegionAllowed says which regions may serve the request; nil allows all.
	RegionAllowed func(fleet.Region) bool
	// MinWeightsVersion is the oldest number of weights that may serve the request.
	MinWeightsVersion int64
	// NeedsWeights leaves out engines that hold none.
	NeedsWeights bool
	// Tried holds the targets that the request already went to.
	Tried map[fleet.Instance]bool
	// Processes is the number of processes that send to the same targets.
	Processes float64
	// MaxQueuedPerTarget is the number of requests that may wait at a target beyond its
	// places. None may at one with weights older than Fading, which have to be out
	// of use soon.
	MaxQueuedPerTarget     int
	MinQueueWeightsVersion int64
	// PrefillTime is the time in which an engine reads the request's prompt, and DecodeTime
	// that in which a pass writes. Both are zero for plain services.
	PrefillTime, DecodeTime time.Duration
	// ColdRequestsPerSecond bounds the requests of all processes to a cold target.
	ColdRequestsPerSecond float64
}

// Choice is a target for a request.
type Choice struct {
	Instance fleet.Instance
	Address  fleet.Address
	Domain   fleet.Domain
	// EstimatedInFlight is the number of requests that the target probably held.
	EstimatedInFlight float64
	// TimeToFirstEvent is the time after which an engine probably sends the first event.
	TimeToFirstEvent time.Duration
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
	// inFlightCost is the time by which each request at an engine makes a new one
	// less welcome. It decides between engines that read nothing; a request holds
	// a place for about 1.3 s.
	inFlightCost = 4 * time.Millisecond
	// crossDomainCost is the same for a target of another failure domain, for the
	// longer way and the shared links between domains.
	crossDomainCost = 6 * time.Millisecond
	// staleAfter is the age from which a missing report makes an engine less
	// welcome, by the time that it is late: its machine or the way to it is in
	// trouble. Reports come at least every 400 ms.
	staleAfter = 600 * time.Millisecond
	// maxStaleness bounds that time, and is used for an engine that never reported.
	maxStaleness = 3 * time.Second
	// slotWait is the time after which a full engine has a free place.
	slotWait = 100 * time.Millisecond
)

// timeToFirstEvent returns the time after which the target probably sends the timeToFirstEvent event
// of an answer: the pass in progress ends, then the prompt is read and the timeToFirstEvent
// tokens are written. A full engine has to end another request before.
func (s *targetState) timeToFirstEvent(q *Query, estimate float64, now time.Time) time.Duration {
	d := s.pendingPrefill(now) + q.PrefillTime + q.DecodeTime
	if beyond := estimate - float64(s.slots()) + 1; beyond > 0 {
		d += time.Duration(beyond * float64(slotWait))
	}
	return d
}

// Choose takes a place at the target that probably answers first. The caller returns it
// with Done.
func (t *Table) Choose(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	for {
		c, out := t.bestTarget(q, now, intN)
		if out != Chosen || t.reserve(c.Instance, q, now) {
			return c, out
		}
	}
}

// HasCapacity reports whether some target would take the request now.
func (t *Table) HasCapacity(q Query, now time.Time) bool {
	found := false
	t.targets.Range(func(_ fleet.Instance, s *targetState) bool {
		found = s.eligible(&q) && s.hasCapacity(&q, now)
		return !found
	})
	return found
}

func (t *Table) bestTarget(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	var all []Choice
	full := false
	var least time.Duration
	t.targets.Range(func(id fleet.Instance, s *targetState) bool {
		if !s.eligible(&q) {
			return true
		}
		if !s.hasCapacity(&q, now) {
			full = true
			return true
		}
		c := Choice{Instance: id, Address: s.Address, Domain: s.Domain, EstimatedInFlight: s.estimatedInFlight(now, q.Processes), LoadAge: -1}
		if !s.reportedAt.IsZero() {
			c.LoadAge = now.Sub(s.reportedAt)
		}
		c.TimeToFirstEvent = s.timeToFirstEvent(&q, c.EstimatedInFlight, now)
		score := c.TimeToFirstEvent + time.Duration(c.EstimatedInFlight*float64(inFlightCost))
		if s.Domain != q.OwnDomain {
			score += crossDomainCost
		}
		if q.NeedsWeights {
			score += s.staleness(now) + s.expectedLateness(now)
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

// staleness returns the time by which the report of an engine is late.
func (s *targetState) staleness(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return maxStaleness
	}
	return min(max(0, now.Sub(s.reportedAt)-staleAfter), maxStaleness)
}

func (s *targetState) eligible(q *Query) bool {
	switch {
	case s.Service != q.Service, s.Draining, q.Tried[s.Instance]:
		return false
	case q.NeedsWeights && s.WeightsVersion == 0, s.WeightsVersion < q.MinWeightsVersion:
		return false
	case q.DomainCordoned != nil && q.DomainCordoned(s.Domain):
		return false
	}
	return q.RegionAllowed == nil || q.RegionAllowed(s.Region)
}

// hasCapacity reports whether the target takes one more request now.
func (s *targetState) hasCapacity(q *Query, now time.Time) bool {
	if now.Before(s.pausedUntil) || s.load.Loading && now.Sub(s.reportedAt) <= maxReportAge {
		return false
	}
	beyond := q.MaxQueuedPerTarget
	if s.WeightsVersion < q.MinQueueWeightsVersion {
		beyond = 0
	}
	if s.estimatedInFlight(now, q.Processes) >= float64(s.slots()+beyond) {
		return false
	}
	return !now.Before(s.ColdUntil) || s.coldRateAllows(q, now)
}

// coldRateFraction is the part of the rate of a cold target that all processes
// together use. The rest covers requests that arrive closer together than they
// were sent.
const coldRateFraction = 0.8

// coldRateAllows reports whether this process may send one more request to a cold
// target within the current second. Each process keeps to an equal share, at
// least one request, so that all together keep the rate without knowing of each
// other.
func (s *targetState) coldRateAllows(q *Query, now time.Time) bool {
	if q.ColdRequestsPerSecond <= 0 {
		return true
	}
	n := 0
	for _, at := range s.coldRequests {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	return float64(n) < max(1, coldRateFraction*q.ColdRequestsPerSecond/max(q.Processes, 1))
}

// reserve takes a place, unless the target has filled up since it was chosen.
func (t *Table) reserve(id fleet.Instance, q Query, now time.Time) bool {
	taken := false
	t.update(id, func(s *targetState) {
		if !s.eligible(&q) || !s.hasCapacity(&q, now) {
			return
		}
		taken = true
		s.ownInFlight++
		s.addPrefill(q.PrefillTime, now)
		if now.Before(s.ColdUntil) {
			s.coldRequests = append(dropExpired(s.coldRequests, now), now)
		}
	})
	return taken
}

func dropExpired(starts []time.Time, now time.Time) []time.Time {
	for len(starts) > 0 && now.Sub(starts[0]) >= time.Second {
		starts = starts[1:]
	}
	return starts
}
