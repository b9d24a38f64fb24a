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
	// Places is the number of requests that the target works on at once.
	Places int
	// Draining targets take no new requests.
	Draining bool
	// ColdUntil is the end of the time in which the target bears little load.
	ColdUntil time.Time
	// Started identifies the start of the target; an instance may start again.
	Started int64
	// Weights is the number of the weights that the target holds, or zero.
	Weights int64
}

// Load is a target's own count of its requests.
type Load struct {
	Running, Waiting, Places int
	// Loading means that the target takes nothing while it changes its weights.
	Loading bool
}

func (l Load) total() int { return l.Running + l.Waiting }

// state is what is known of a target. own counts the requests of this process.
type state struct {
	Target
	own int
	// load is the last report, loadAt its time and ownThen the value of own at
	// that time.
	load    Load
	loadAt  time.Time
	ownThen int
	// others counts the requests that other processes sent since the report.
	others int
	// readUntil is the time at which an engine has probably read all prompts that
	// were sent to it.
	readUntil time.Time
	// lag is the time by which first events came later than predicted, at lagAt.
	lag   time.Duration
	lagAt time.Time
	// pausedUntil is set after a failure or a refusal.
	pausedUntil time.Time
	failures    int
	// starts holds the times of the requests sent to a cold target within the
	// last second.
	starts []time.Time
}

// reportMaxAge is the age from which a report no longer counts. Reports come
// every 100 ms; several in a row may be lost.
const reportMaxAge = time.Second

// estimate returns the number of requests that the target probably holds, of
// which shares processes send about the same number.
func (s *state) estimate(now time.Time, shares float64) float64 {
	if !s.loadAt.IsZero() && now.Sub(s.loadAt) <= reportMaxAge {
		return float64(max(s.own, s.load.total()+s.own-s.ownThen+s.others))
	}
	return float64(s.own) * max(shares, 1)
}

// unread returns the time for which an engine will read prompts that it already
// has.
func (s *state) unread(now time.Time) time.Duration { return max(0, s.readUntil.Sub(now)) }

// sent records a prompt that is on its way to the target.
func (s *state) sent(read time.Duration, now time.Time) {
	if read > 0 {
		s.readUntil = now.Add(s.unread(now) + read)
	}
}

const (
	// lagHalf is the time in which half of a lag is forgotten, so that an engine
	// that was slow is tried again.
	lagHalf = 1500 * time.Millisecond
	// lagWeight is the weight of a new lag. A single late event may be chance.
	lagWeight = 0.4
	// lagUsual is the lateness that is no sign of trouble: the pass in progress,
	// and requests that a notice has not told of yet.
	lagUsual = 250 * time.Millisecond
	// lagMost bounds a lag; a longer one is a lost request.
	lagMost = 3 * time.Second
)

// lagging returns the time by which the next first event will probably come later
// than predicted, as of a slow engine or a narrow link.
func (s *state) lagging(now time.Time) time.Duration {
	if s.lag == 0 {
		return 0
	}
	half := now.Sub(s.lagAt).Seconds() / lagHalf.Seconds()
	return time.Duration(float64(s.lag) * math.Exp2(-half))
}

func (s *state) learn(late time.Duration, now time.Time) {
	old := s.lagging(now)
	late = min(max(late-lagUsual, 0), lagMost)
	s.lag = old + time.Duration(lagWeight*float64(late-old))
	s.lagAt = now
}

// places returns the number of requests that the target works on at once.
func (s *state) places() int {
	if s.load.Places > 0 {
		return s.load.Places
	}
	return max(s.Places, 1)
}
