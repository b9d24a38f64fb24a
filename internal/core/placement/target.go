// Package placement decides on which target a request runs next and when a
// request is refused instead. It answers the load of a burst: more requests
// than the targets can finish, sent by several processes that see each other's
// requests only through the targets' reports.
//
// The state of each target is guarded by the lock of its shard; no method takes
// two of them at once.
package placement

import (
	"math"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Target is what the registry says of one run of a target.
type Target struct {
	Instance fleet.Instance
	Service  fleet.Service
	Address  fleet.Address
	Domain   fleet.Domain
	Region   fleet.Region
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// ColdUntil is the end of the time in which the target bears little load.
	ColdUntil time.Time
	// Started identifies the start of the target; an instance may start again.
	Started int64
	// WeightsVersion is the number of the weights that the target holds, or zero.
	WeightsVersion int64
}

// Load is a target's own count of its requests.
type Load struct {
	Running, Waiting, Slots int
	// Loading means that the target takes nothing while it changes its weights.
	Loading bool
}

func (l Load) total() int { return l.Running + l.Waiting }

// targetState is what is known of a target. own counts the requests of this process.
type targetState struct {
	Target
	ownInFlight int
	// load is the last report, loadAt its time and ownThen the value of own at
	// that time.
	load        Load
	reportedAt  time.Time
	ownAtReport int
	// othersSinceReport counts the requests that other processes sent since the report.
	othersSinceReport int
	// prefillUntil is the time at which an engine has probably read all prompts that
	// were sent to it.
	prefillUntil time.Time
	// lateness is the time by which first events came later than predicted, at lagAt.
	lateness   time.Duration
	latenessAt time.Time
	// pausedUntil is set after a failure or a refusal.
	pausedUntil time.Time
	failures    int
	// coldRequests holds the times of the requests sent to a cold target within the
	// last second.
	coldRequests []time.Time
}

// maxReportAge is the age from which a report no longer counts. Reports come
// every 100 ms; several in a row may be lost.
const maxReportAge = time.Second

// estimatedInFlight returns the number of requests that the target probably holds, of
// which shares processes send about the same number.
func (s *targetState) estimatedInFlight(now time.Time, shares float64) float64 {
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= maxReportAge {
		return float64(max(s.ownInFlight, s.load.total()+s.ownInFlight-s.ownAtReport+s.othersSinceReport))
	}
	return float64(s.ownInFlight) * max(shares, 1)
}

// pendingPrefill returns the time for which an engine will read prompts that it already
// has.
func (s *targetState) pendingPrefill(now time.Time) time.Duration {
	return max(0, s.prefillUntil.Sub(now))
}

// addPrefill records a prompt that is on its way to the target.
func (s *targetState) addPrefill(read time.Duration, now time.Time) {
	if read > 0 {
		s.prefillUntil = now.Add(s.pendingPrefill(now) + read)
	}
}

const (
	// latenessHalfLife is the time in which half of a lag is forgotten, so that an engine
	// that was slow is tried again.
	latenessHalfLife = 1500 * time.Millisecond
	// latenessSampleWeight is the weight of a new lag. A single late event may be chance.
	latenessSampleWeight = 0.4
	// latenessTolerance is the lateness that is no sign of trouble: the pass in progress,
	// and requests that a notice has not told of yet.
	latenessTolerance = 250 * time.Millisecond
	// maxLateness bounds a lag; a longer one is a lost request.
	maxLateness = 3 * time.Second
)

// expectedLateness returns the time by which the next first event will probably come later
// than predicted, as of a slow engine or a narrow link.
func (s *targetState) expectedLateness(now time.Time) time.Duration {
	if s.lateness == 0 {
		return 0
	}
	half := now.Sub(s.latenessAt).Seconds() / latenessHalfLife.Seconds()
	return time.Duration(float64(s.lateness) * math.Exp2(-half))
}

func (s *targetState) recordLateness(late time.Duration, now time.Time) {
	old := s.expectedLateness(now)
	late = min(max(late-latenessTolerance, 0), maxLateness)
	s.lateness = old + time.Duration(latenessSampleWeight*float64(late-old))
	s.latenessAt = now
}

// slots returns the number of requests that the target works on at once.
func (s *targetState) slots() int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return max(s.Slots, 1)
}
