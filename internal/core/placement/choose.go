package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/weightsbound"
)

// Query holds the requirements of a request on its target.
type Query struct {
	Service fleet.Service
	// OwnDomain is the failure domain of this process; targets in it are preferred.
	OwnDomain fleet.Domain
	// DomainCordoned reports whether a failure domain takes no new requests; nil
	// means that none is cordoned.
	DomainCordoned func(fleet.Domain) bool
	// RegionAllowed reports whether a region may serve the request; nil allows all.
	RegionAllowed func(fleet.Region) bool
	// MinWeightsVersion is the oldest version of the weights that may serve the
	// request.
	MinWeightsVersion int64
	// NeedsWeights excludes engines that hold no weights.
	NeedsWeights bool
	// ExcludeSilent excludes engines that show no sign of running. It is set if the request may have
	// run before: an engine that stands still would run it once more, after its caller has left.
	ExcludeSilent bool
	// PromptTokens is the number of tokens of the prompt, for which an engine needs memory.
	PromptTokens int
	// NeedsMemory excludes engines without memory for the prompt, which are the last choice otherwise: they
	// may refuse the request. It is set if the request runs at another target meanwhile.
	NeedsMemory bool
	// Tried holds the targets that the request was already sent to.
	Tried map[fleet.Instance]bool
	// Processes is the number of processes that send to the same targets.
	Processes float64
	// MaxQueuedPerTarget is the number of requests that may wait at a target in
	// addition to those in its slots.
	MaxQueuedPerTarget int
	// MinQueueWeightsVersion is the oldest version of the weights with which a
	// request may wait at a target. Older weights may become too old to serve the
	// request while it waits.
	MinQueueWeightsVersion int64
	// WeightsLimit returns for how long requests may still start on a version of the weights,
	// or false if there is no limit; nil means no limit for all versions.
	WeightsLimit func(version int64) (weightsbound.Limit, bool)
	// FirstEventBy is the time at which the caller leaves if no event has arrived; zero means
	// that it doesn't leave.
	FirstEventBy time.Time
	// InTimeBy is the time by which the first event has to be predicted, or zero for no such bound.
	InTimeBy time.Time
	// Prefill is the time that an engine needs for the prefill of the
	// request's prompt, and Decode the time that one iteration spends on
	// decoding. Both are zero for plain services.
	Prefill, Decode time.Duration
	// ColdRequestsPerSecond bounds the request rate of all processes together to a
	// cold target; zero means no bound.
	ColdRequestsPerSecond float64
	// UnseenRequests is set if this process does not learn at once of the requests that processes
	// of other domains send, and gets the load of targets there less often.
	UnseenRequests bool
	// ColdPhase is a fraction below 1 that each process draws at random. It spreads
	// the first requests of many processes to a target that has become cold.
	ColdPhase float64
	// DrainBound is the time after which a target that has announced that it leaves must get no
	// further requests. Before, it gets those that no other target may serve.
	DrainBound time.Duration
	// useLeaving makes Choose select among the leaving targets too.
	useLeaving bool
}

// Choice is the target selected for a request.
type Choice struct {
	Instance fleet.Instance
	// Started identifies the start of the instance.
	Started int64
	Address fleet.Address
	Domain  fleet.Domain
	// WeightsVersion is the version of the target's weights, or zero if it holds none.
	WeightsVersion int64
	// EstimatedInFlight is the estimated number of requests in the target before
	// this one.
	EstimatedInFlight float64
	// TimeToFirstEvent is the predicted time to the first event of the response.
	TimeToFirstEvent time.Duration
	// ExpectedLateness is the time by which the first event is probably later than
	// predicted.
	ExpectedLateness time.Duration
	// Silent is set if the target is an engine that shows no sign of running. The request may be sent
	// to it only over a new connection, which shows whether its machine stands still.
	Silent bool
	// LoadAge is the age of the last load report, or negative if there is none.
	LoadAge time.Duration
	// Speed is the factor that is expected of a target of a plain service, and SpeedAge the age of the one
	// that it stated last, or negative if it stated none.
	Speed    float64
	SpeedAge time.Duration
	// Leaving is set if the target has announced that it leaves, and no other may serve the request.
	Leaving bool
	// Passed counts the targets that were passed over because of what they announced. It is also set if
	// no target was chosen.
	Passed PassedTargets
}

// PassedTargets counts targets that may serve a request but have announced that they want none.
type PassedTargets struct {
	Leaving, Paused int
	// PauseLeft is the time until the first of the paused ones takes requests again.
	PauseLeft time.Duration
}

// Outcome tells whether Choose found a target and, if not, why.
type Outcome uint8

// The outcomes of Choose.
const (
	// Chosen means that a target was found.
	Chosen Outcome = iota
	// NoTarget means that no target takes requests of this kind.
	NoTarget
	// AllFull means that suitable targets exist but none has capacity now.
	AllFull
	// AllPaused means that all suitable targets have asked for a pause.
	AllPaused
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"chosen", "no_target", "all_full", "all_paused"}[o]
}

const (
	// inFlightCost is added to the score of a target for each request in it. It
	// decides between engines without pending prefill. A request holds a slot for
	// about 1.3 s.
	inFlightCost = 4 * time.Millisecond
	// crossDomainCost is added to the score of a target in another failure domain,
	// for the longer network path and the shared links between domains.
	crossDomainCost = 6 * time.Millisecond
	// unseenDomainCost replaces it for engines whose load this process sees late: it is a part of
	// the prefill of a prompt, so that engines of the own domain are preferred until they are
	// clearly busier.
	unseenDomainCost = 30 * time.Millisecond
	// unseenAgeCost times the age of the last report is added for such engines. All processes that
	// have the same late figure would choose the same engine.
	unseenAgeCost = 0.1
	// staleAfter is the age of an engine's last report above which the excess age
	// is added to its score. Reports arrive at least every 400 ms; a missing one
	// suggests a fault of the machine or of the network path to it.
	staleAfter = 600 * time.Millisecond
	// noMemoryCost is added for an engine without memory for the prompt, so that all others are
	// preferred. It may have got some since its report.
	noMemoryCost = 3 * time.Second
	// maxStaleness bounds the amount added, and applies to engines that never reported.
	maxStaleness = 3 * time.Second
	// slotWait is the time after which an engine without a free slot frees one.
	slotWait = 100 * time.Millisecond
)

// timeToFirstEvent predicts the time to the first event of a response: the pending
// prefill, the prefill of this prompt, and one iteration of decoding. If all slots
// are taken, the request first waits for others to finish.
func (s *targetState) timeToFirstEvent(q *Query, inFlight float64, now time.Time) time.Duration {
	d := s.pendingPrefill(now) + q.Prefill + q.Decode
	if excess := inFlight - float64(s.slots()) + 1; excess > 0 {
		d += time.Duration(excess * float64(slotWait))
	}
	return d
}

// Choose selects the target with the best score, mainly the predicted time to the
// first event, and reserves a slot there. The caller returns the slot with Release.
func (t *Table) Choose(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	for {
		c, out := t.bestTarget(q, now, intN)
		if (out == NoTarget || out == AllPaused) && c.Passed.Leaving > 0 && !q.useLeaving {
			q.useLeaving = true
			continue
		}
		if out != Chosen || t.reserve(c.Instance, q, now) {
			return c, out
		}
	}
}

// HasCapacity reports whether any target could take the request now.
func (t *Table) HasCapacity(q Query, now time.Time) bool {
	found := false
	t.targets.Range(func(_ fleet.Instance, s *targetState) bool {
		found = s.eligible(&q) && s.hasCapacity(&q, now)
		return !found
	})
	return found
}

// bestTarget returns the eligible target with capacity and the lowest score, or one of the
// lowest for a large fleet of engines; ties are broken at random.
func (t *Table) bestTarget(q Query, now time.Time, intN func(int) int) (Choice, Outcome) {
	var best candidates
	var passed PassedTargets
	full, tried := false, false
	work := t.workOf(q.Service)
	t.targets.Range(func(id fleet.Instance, s *targetState) bool {
		if !s.suits(&q) {
			return true
		}
		if s.leaves(&q, now) || s.announced.pauseLeft(now) > 0 {
			passed.add(s, &q, now)
			return true
		}
		if q.Tried[id] {
			tried = true
			return true
		}
		if !s.hasCapacity(&q, now) {
			full = true
			return true
		}
		c, score := s.choice(&q, now)
		score += s.addSpeed(&c, &q, work, now)
		best.add(c, score)
		return true
	})
	if best.count > 0 {
		c := best.pick(q.NeedsWeights, intN)
		c.Passed = passed
		return c, Chosen
	}
	switch {
	case full:
		return Choice{Passed: passed}, AllFull
	case passed.Paused > 0 && !tried:
		return Choice{Passed: passed}, AllPaused
	}
	return Choice{Passed: passed}, NoTarget
}

// choice describes the target for a request and returns its score. The lowest one is chosen.
func (s *targetState) choice(q *Query, now time.Time) (c Choice, score time.Duration) {
	c = Choice{
		Instance: s.Instance, Started: s.Started, Address: s.Address, Domain: s.Domain, WeightsVersion: s.weights(),
		EstimatedInFlight: s.estimatedInFlight(now, q.Processes), ExpectedLateness: s.expectedLateness(now), LoadAge: -1,
		Silent: q.NeedsWeights && s.silent(now), Leaving: !s.announced.leavingSince.IsZero(),
	}
	if !s.reportedAt.IsZero() {
		c.LoadAge = now.Sub(s.reportedAt)
	}
	c.TimeToFirstEvent = s.timeToFirstEvent(q, c.EstimatedInFlight, now)
	score = c.TimeToFirstEvent + time.Duration(c.EstimatedInFlight*float64(inFlightCost))
	if s.Domain != q.OwnDomain {
		score += s.otherDomainCost(q, now)
	}
	if q.NeedsWeights {
		score += s.staleness(now) + c.ExpectedLateness
		if !s.hasMemory(q, now) {
			score += noMemoryCost
		}
	}
	return c, score
}

// add counts a target that was passed over.
func (p *PassedTargets) add(s *targetState, q *Query, now time.Time) {
	if s.leaves(q, now) {
		p.Leaving++
		return
	}
	if left := s.announced.pauseLeft(now); p.Paused == 0 || left < p.PauseLeft {
		p.PauseLeft = left
	}
	p.Paused++
}

// otherDomainCost returns the cost of a target in another domain than this process's.
func (s *targetState) otherDomainCost(q *Query, now time.Time) time.Duration {
	if !q.UnseenRequests || !q.NeedsWeights {
		return crossDomainCost
	}
	age := staleAfter
	if !s.reportedAt.IsZero() {
		age = min(age, now.Sub(s.reportedAt))
	}
	return unseenDomainCost + time.Duration(unseenAgeCost*float64(age))
}

// staleness returns the time by which the next report of an engine is overdue, at
// most maxStaleness.
func (s *targetState) staleness(now time.Time) time.Duration {
	if s.reportedAt.IsZero() || s.silent(now) {
		return maxStaleness
	}
	return min(max(0, now.Sub(s.reportedAt)-staleAfter), maxStaleness)
}

// eligible reports whether the request may be sent to the target, whatever its load.
func (s *targetState) eligible(q *Query) bool { return !q.Tried[s.Instance] && s.suits(q) }

// suits reports whether the target may serve the request, whatever its load and whether it was tried.
func (s *targetState) suits(q *Query) bool {
	switch {
	case s.Service != q.Service, s.Draining:
		return false
	case q.NeedsWeights && s.WeightsVersion == 0, s.weights() < q.MinWeightsVersion:
		return false
	case q.DomainCordoned != nil && q.DomainCordoned(s.Domain):
		return false
	}
	return q.RegionAllowed == nil || q.RegionAllowed(s.Region)
}

// hasCapacity reports whether the target can take one more request now.
func (s *targetState) hasCapacity(q *Query, now time.Time) bool {
	if s.leaves(q, now) || s.announced.pauseLeft(now) > 0 || !s.rampAllows(now) {
		return false
	}
	if now.Before(s.pausedUntil) || s.load.Loading && now.Sub(s.reportedAt) <= maxReportAge || q.NeedsWeights && s.mayBeDamaged() || q.ExcludeSilent && s.silent(now) || q.NeedsMemory && !s.hasMemory(q, now) {
		return false
	}
	maxQueued := q.MaxQueuedPerTarget
	if s.weights() < q.MinQueueWeightsVersion {
		maxQueued = 0
	}
	inFlight := s.estimatedInFlight(now, q.Processes)
	if inFlight >= float64(s.slots()+maxQueued) || !s.startsInTime(q, inFlight, now) || !s.answersInTime(q, inFlight, now) {
		return false
	}
	return !now.Before(s.ColdUntil) || s.coldRateAllows(q, now)
}

// startTimeFactor multiplies the predicted time to the first event where a request must start
// before the target's weights are too old: requests that other processes send at the same
// moment are not in the prediction yet.
const startTimeFactor = 1.5

// startsInTime reports whether a request that is sent now starts before the weights of the
// target may no longer serve requests.
func (s *targetState) startsInTime(q *Query, inFlight float64, now time.Time) bool {
	if q.WeightsLimit == nil {
		return true
	}
	limit, limited := q.WeightsLimit(s.weights())
	switch {
	case !limited:
		return true
	case limit.Left < enforcedTime && !s.enforces(limit.Declared, now):
		return false
	}
	predicted := s.timeToFirstEvent(q, inFlight, now) + s.expectedLateness(now)
	return limit.Left >= time.Duration(startTimeFactor*float64(predicted))
}

// firstEventFactor multiplies the predicted time to the first event where the caller leaves
// without one. While links of engines were full, 10 of 95 requests that were sent again with more
// than a third of the caller's time predicted were answered.
const firstEventFactor = 3

// answersInTime reports whether the first event of a request that is sent now probably arrives in time,
// where that is required, and before the caller leaves. The engine would work on a request whose caller
// has left in vain, and beyond that time if the cancellation is as late as the request.
func (s *targetState) answersInTime(q *Query, inFlight float64, now time.Time) bool {
	if q.FirstEventBy.IsZero() && q.InTimeBy.IsZero() {
		return true
	}
	predicted := s.timeToFirstEvent(q, inFlight, now) + s.expectedLateness(now)
	if own := q.Prefill + q.Decode; !q.InTimeBy.IsZero() && q.InTimeBy.Sub(now) < own+q.Decode+inTimeWaitFactor*(predicted-own) {
		return false
	}
	return q.FirstEventBy.IsZero() || q.FirstEventBy.Sub(now) >= firstEventFactor*predicted
}

// inTimeWaitFactor multiplies the predicted wait in the target where the response has to be in time, and one
// more iteration is added for the one in progress. The prediction lacks requests of other processes whose
// notices have not arrived. In the model of core/overload with engines that prefill between their steps,
// 0.71 to 0.73 of the possible responses are in time after an outage without these margins, and 0.77 to
// 0.83 with them. Twice the whole prediction gives 0.85, but serves the largest tenth of the prompts 0.3
// times as often as all.
const inTimeWaitFactor = 3

// enforcedTime is the time before the end of a version's use in which a target with it gets
// requests only if its loader enforces that end. Until then a request that is delayed on its way
// or in the target's queue starts in time or has been given up: callers of streams leave after
// 3.2 s without an event.
const enforcedTime = 4 * time.Second

// enforces reports whether the target's loader keeps it from starting requests on weights that
// a declaration has replaced. A report that is too old says nothing: the loader may have stopped.
func (s *targetState) enforces(declared int64, now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= maxReportAge && s.load.EnforcedWeights >= declared
}

// coldRateFraction is the fraction of a cold target's request rate that all
// processes together use. The rest is headroom for requests that arrive closer
// together than they were sent.
const coldRateFraction = 0.8

// maxColdInterval bounds the interval between a process's requests to a cold target, which
// may be too long for a duration. It is longer than any warm-up.
const maxColdInterval = 24 * time.Hour

// coldRateAllows reports whether this process may send one more request to a cold
// target. Each process limits itself to an equal share of the rate, so that together
// they keep to the rate without coordination. A share below one request per second
// becomes an interval between requests, and the phase spreads the first ones.
func (s *targetState) coldRateAllows(q *Query, now time.Time) bool {
	if q.ColdRequestsPerSecond <= 0 {
		return true
	}
	share := coldRateFraction * q.ColdRequestsPerSecond / max(q.Processes, 1)
	if share < 1 {
		interval := time.Duration(min(float64(time.Second)/share, float64(maxColdInterval)))
		first := s.ColdSince.Add(time.Duration(q.ColdPhase * float64(interval)))
		return !now.Before(first) && (len(s.coldRequests) == 0 || now.Sub(s.coldRequests[len(s.coldRequests)-1]) >= interval)
	}
	n := 0
	for _, at := range s.coldRequests {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	return float64(n) < share
}

// reserve takes a slot, unless the target has become ineligible or full since it
// was selected.
func (t *Table) reserve(id fleet.Instance, q Query, now time.Time) bool {
	reserved := false
	t.update(id, func(s *targetState) {
		if !s.eligible(&q) || !s.hasCapacity(&q, now) {
			return
		}
		reserved = true
		s.ownInFlight++
		s.addPrefill(q.Prefill, now)
		s.tokensSinceReport += q.PromptTokens
		if now.Before(s.ColdUntil) {
			s.coldRequests = append(dropExpired(s.coldRequests, now), now)
		}
	})
	return reserved
}

// dropExpired removes the times that are at least a second old from the front.
func dropExpired(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= time.Second {
		times = times[1:]
	}
	return times
}
