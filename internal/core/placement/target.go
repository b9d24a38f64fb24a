// Package placement selects the target that runs a request, or reports that no
// target can take it. It is designed for bursts in which there are more requests
// than the targets can finish, and for several processes that send to the same
// targets and learn of each other's requests only through the targets' load
// reports and the notices that accompany requests.
//
// The state of each target is guarded by the lock of its shard; no method holds
// two shard locks at once.
package placement

import (
	"math"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Target is the registry's description of one run of a target.
type Target struct {
	Instance fleet.Instance
	Service  fleet.Service
	Address  fleet.Address
	Domain   fleet.Domain
	Region   fleet.Region
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// ColdUntil is the end of the warm-up, during which the target can take only
	// a limited request rate, and ColdSince the time at which this process learned
	// of it.
	ColdSince, ColdUntil time.Time
	// Started identifies one start of the instance; it changes on a restart.
	Started int64
	// WeightsVersion is the version of the weights that the target holds, or zero
	// if it holds none.
	WeightsVersion int64
}

// Load is the load that a target reports.
type Load struct {
	Running, Waiting, Slots int
	// Loading is set while the target replaces or releases its weights and takes no requests.
	Loading bool
	// Memory is what an engine states of its memory for requests.
	Memory Memory
	// EnforcedWeights is the newest declared version of the weights for which the target's
	// loader takes older ones out of service in time, or zero.
	EnforcedWeights int64
}

// Memory is the memory of an engine for requests. Engines that do not state it are not known to lack any.
type Memory struct {
	Known bool
	// Free is the number of tokens that it can hold beside those of the requests in the engine.
	Free int
}

func (l Load) total() int { return l.Running + l.Waiting }

// targetState holds a target and the information needed to estimate its load.
type targetState struct {
	Target
	// ownInFlight is the number of this process's requests in the target.
	ownInFlight int
	// load is the last report, reportedAt its time, and ownAtReport the value of
	// ownInFlight at that time.
	load       Load
	reportedAt time.Time
	// heardAt is the last time at which the target itself showed that it runs: it sent a part of a
	// response, or opened a connection.
	heardAt     time.Time
	ownAtReport int
	// loaded is the newest statement about the weights. It is replaced, never changed.
	loaded    *loaderStatement
	announced announced
	// othersSinceReport is the number of requests that other processes have sent
	// since the report.
	othersSinceReport int
	// tokensSinceReport is the number of prompt tokens of the requests that all processes have sent since the
	// report, as far as this one knows.
	tokensSinceReport int
	// prefillUntil is the estimated time at which an engine finishes the prefill
	// of all prompts sent to it.
	prefillUntil time.Time
	// lateness is a moving average, as of latenessAt, of the time by which first
	// events arrived later than predicted.
	lateness   time.Duration
	latenessAt time.Time
	speed      speed
	// pausedUntil is the end of the pause after a failure or a refusal.
	pausedUntil time.Time
	// failures is the number of failures since the last success.
	failures int
	// coldRequests holds the times of the requests that this process sent to the
	// target while it was cold: the last one, and all within the second before it.
	coldRequests []time.Time
}

// maxReportAge is the age above which a load report is ignored. Reports arrive
// every 100 ms, so several in a row may be lost.
const maxReportAge = time.Second

// silentAfter is the time without a sign of an engine after which its machine probably stands still.
// Reports arrive at least every 500 ms.
const silentAfter = 700 * time.Millisecond

// silent reports whether neither the engine's loader nor the engine gave a sign recently. One of which
// no report ever arrived is not silent: its loader may be gone while the engine serves.
func (s *targetState) silent(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) > silentAfter && now.Sub(s.heardAt) > silentAfter
}

// estimatedInFlight estimates the number of requests in the target. Without a
// recent report it assumes that each of the given number of processes has as many
// requests there as this one.
func (s *targetState) estimatedInFlight(now time.Time, processes float64) float64 {
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= maxReportAge {
		return float64(max(s.ownInFlight, s.load.total()+s.ownInFlight-s.ownAtReport+s.othersSinceReport))
	}
	return float64(s.ownInFlight) * max(processes, 1)
}

// hasMemory reports whether the memory that the engine stated suffices for the prompt, behind those that were
// sent since. A report that is too old says nothing.
func (s *targetState) hasMemory(q *Query, now time.Time) bool {
	m := s.load.Memory
	return !m.Known || now.Sub(s.reportedAt) > maxReportAge || s.tokensSinceReport+q.PromptTokens <= m.Free
}

// pendingPrefill returns the time that an engine still needs for the prefill of
// the prompts already sent to it.
func (s *targetState) pendingPrefill(now time.Time) time.Duration {
	return max(0, s.prefillUntil.Sub(now))
}

// addPrefill adds the prefill time of a prompt that is sent to the target.
func (s *targetState) addPrefill(prefill time.Duration, now time.Time) {
	if prefill > 0 {
		s.prefillUntil = now.Add(s.pendingPrefill(now) + prefill)
	}
}

const (
	// latenessHalfLife is the half-life of the lateness. The decay lets an engine
	// that was slow be tried again.
	latenessHalfLife = 1500 * time.Millisecond
	// latenessSampleWeight is the weight of a new sample in the moving average. It
	// is below 1 because a single late event may be chance.
	latenessSampleWeight = 0.4
	// latenessTolerance is subtracted from each sample. It covers the engine
	// iteration in progress and requests of other processes whose notice has not
	// arrived yet.
	latenessTolerance = 250 * time.Millisecond
	// maxLateness bounds a sample; a request that is later than this counts as lost.
	maxLateness = 3 * time.Second
)

// expectedLateness estimates by how much the next first event will be later than
// predicted, which is the case for a slow engine or a slow link.
func (s *targetState) expectedLateness(now time.Time) time.Duration {
	if s.lateness == 0 {
		return 0
	}
	halfLives := now.Sub(s.latenessAt).Seconds() / latenessHalfLife.Seconds()
	return time.Duration(float64(s.lateness) * math.Exp2(-halfLives))
}

func (s *targetState) recordLateness(sample time.Duration, now time.Time) {
	average := s.expectedLateness(now)
	sample = min(max(sample-latenessTolerance, 0), maxLateness)
	s.lateness = average + time.Duration(latenessSampleWeight*float64(sample-average))
	s.latenessAt = now
}

// maxSlots bounds the slots of a target, so that sums don't overflow. Targets have dozens.
const maxSlots = 1 << 20

// slots returns the reported number of slots, or the registered one before the
// first report. It is from 1 to maxSlots.
func (s *targetState) slots() int {
	n := s.Slots
	if s.load.Slots > 0 {
		n = s.load.Slots
	}
	return min(max(n, 1), maxSlots)
}
