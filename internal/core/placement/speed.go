package placement

import (
	"math"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// UsualSpeed is the factor of a target on which work takes as long as usual; with 2 it takes twice as long.
const UsualSpeed = 1.0

const (
	// minFactor and maxFactor limit stated factors, so that none decides alone.
	minFactor, maxFactor = 0.1, 10
	// statedHalfLife is the half-life of a stated factor. VMs are slow for 0.6 s at a time. In the load test
	// 800 ms had a lower p99 than 150 to 400 ms, and 1,500 ms was no better.
	statedHalfLife = 800 * time.Millisecond
	// meanHalfLife is the half-life of the mean and the deviation of stated factors. It spans several slow
	// periods.
	meanHalfLife = 20 * time.Second
	// silenceHalfLife is the half-life of both while nothing is stated, so that a target that was slow for
	// long is tried again: after 10 s at 2.5 within 17 s. In a trial, 10 s here took 37 s and 4 s took 13 s.
	silenceHalfLife = 4 * time.Second
	// oldDeviations is the number of deviations by which a target counts as slower than its mean once its
	// figure is old.
	oldDeviations = 2
	// statedInFlightCost replaces inFlightCost where a speed is stated: a request does not slow down others
	// while slots are free. What is left spreads requests among equal targets. Trials of the load test at 420
	// requests a second had a mean of 80.7 ms with a half, 78.6 with a quarter and 79.8 with nothing.
	statedInFlightCost = inFlightCost / 4
	// noticeFactor and noticeAge are the difference and the age from which other processes are notified of a figure.
	// In a trial of the load test, telling all figures, 73 a second instead of 30, lowered the p99 by 2%.
	noticeFactor = 0.25
	noticeAge    = 50 * time.Millisecond
	// badSpeedInterval is the time between two log lines about bad figures of a target.
	badSpeedInterval = 10 * time.Second
)

// Where no factor is stated, it is learned from service times.
const (
	// learnedWeight is the weight of one service time. Service times vary by half, and one in a hundred is
	// five times as long, so that a single one says little.
	learnedWeight = 0.05
	// learnedHalfLife is the half-life of a learned factor, after which a slow target is measured again.
	learnedHalfLife = 10 * time.Second
	// learnedTolerance is the excess of a learned factor that counts as none: three standard errors of a mean
	// with learnedWeight.
	learnedTolerance = 0.3
	// maxLearnedFactor bounds what a learned factor can cost.
	maxLearnedFactor = 2
	// maxSampleRatio bounds the ratio of one service time to the mean.
	maxSampleRatio = 3
	// workWeight is the weight of one service time in the mean of a service.
	workWeight = 0.02
)

// speed is what is known of the speed of a target.
type speed struct {
	// stated is the last stated factor, as of statedAt. mean is a moving average of all, and deviation that
	// of their distance from it.
	stated, mean, deviation float64
	statedAt                time.Time
	// learned is a moving average of service times relative to the mean of the service, as of learnedAt.
	learned   float64
	learnedAt time.Time
	// badLoggedAt is the time of the last log line about a bad figure.
	badLoggedAt time.Time
}

// record adds a stated factor. It reports whether other processes are to be notified.
func (s *speed) record(factor float64, now time.Time) (notify bool) {
	if !(factor > 0) || now.Before(s.statedAt) {
		return false
	}
	factor = min(max(factor, minFactor), maxFactor)
	age := now.Sub(s.statedAt)
	notify = s.statedAt.IsZero() || age >= noticeAge || math.Abs(factor-s.stated) > noticeFactor
	if s.statedAt.IsZero() {
		s.mean = UsualSpeed
	} else {
		// The last figure counts for at most two half-lives: what followed it is not known.
		weight := 1 - left(min(age, 2*statedHalfLife), meanHalfLife)
		known := left(age, silenceHalfLife)
		s.mean = UsualSpeed + (s.mean-UsualSpeed)*known
		s.deviation *= known
		s.deviation += weight * (math.Abs(s.stated-s.mean) - s.deviation)
		s.mean += weight * (s.stated - s.mean)
	}
	s.stated, s.statedAt = factor, now
	return notify
}

// learn adds a service time relative to the mean of the service.
func (s *speed) learn(ratio float64, now time.Time) {
	before := s.learnedFactor(now)
	s.learned, s.learnedAt = before+learnedWeight*(min(ratio, maxSampleRatio)-before), now
}

func (s *speed) learnedFactor(now time.Time) float64 {
	if s.learnedAt.IsZero() {
		return UsualSpeed
	}
	return UsualSpeed + (s.learned-UsualSpeed)*left(now.Sub(s.learnedAt), learnedHalfLife)
}

// expected returns the factor of a request that is sent now. An old figure fades to the target's mean plus
// oldDeviations: a target that is known to be fast now goes before one that only is so on average, which also
// keeps the figures of the targets in use young. The factor is at least UsualSpeed, since all processes would
// choose a target that is faster than usual.
func (s *speed) expected(now time.Time) float64 {
	if s.statedAt.IsZero() {
		return min(max(UsualSpeed, s.learnedFactor(now)-learnedTolerance), maxLearnedFactor)
	}
	age := now.Sub(s.statedAt)
	old := UsualSpeed + (s.mean+oldDeviations*s.deviation-UsualSpeed)*left(age, silenceHalfLife)
	return max(UsualSpeed, old+(s.stated-old)*left(age, statedHalfLife))
}

// left returns the part of a value that is left after an age.
func left(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / halfLife.Seconds())
}

// addSpeed adds the expected speed to the choice of a plain service's target, and returns what it adds to the
// score: the work ahead of the end of the request, times the excess of the factor. work is the time that one
// request takes at the usual speed. It is zero as long as nothing is known of the speed. Engines are left
// out: expectedLateness covers them.
func (s *targetState) addSpeed(c *Choice, q *Query, work time.Duration, now time.Time) (cost time.Duration) {
	c.Speed, c.SpeedAge = UsualSpeed, -1
	if q.NeedsWeights {
		return 0
	}
	c.Speed = s.speed.expected(now)
	cost = time.Duration((c.Speed - UsualSpeed) * float64(work+c.TimeToFirstEvent))
	if !s.speed.statedAt.IsZero() {
		c.SpeedAge = now.Sub(s.speed.statedAt)
		cost -= time.Duration(c.EstimatedInFlight * float64(inFlightCost-statedInFlightCost))
	}
	return cost
}

// RecordSpeed records that a target has stated a factor. It reports whether other processes are to be notified.
func (t *Table) RecordSpeed(id fleet.Instance, factor float64, now time.Time) (notify bool) {
	t.update(id, func(s *targetState) { notify = s.speed.record(factor, now) })
	return notify
}

// RecordBadSpeed reports whether a log line about a bad figure of a target is due, and takes it as written.
func (t *Table) RecordBadSpeed(id fleet.Instance, now time.Time) (due bool) {
	t.update(id, func(s *targetState) {
		if due = s.speed.badLoggedAt.IsZero() || now.Sub(s.speed.badLoggedAt) >= badSpeedInterval; due {
			s.speed.badLoggedAt = now
		}
	})
	return due
}

// RecordServiceTime records the time that a target of a plain service took for a request that found a free
// slot there.
func (t *Table) RecordServiceTime(id fleet.Instance, service fleet.Service, took time.Duration, now time.Time) {
	factor := UsualSpeed
	t.update(id, func(s *targetState) { factor = s.speed.expected(now) })
	var mean float64
	t.work.Update(service, func(w float64, ok bool) (float64, bool) {
		sample := took.Seconds() / factor
		if !ok {
			w = sample
		}
		mean = w + workWeight*(min(sample, maxSampleRatio*w)-w)
		return mean, true
	})
	if mean > 0 {
		t.update(id, func(s *targetState) { s.speed.learn(took.Seconds()/mean, now) })
	}
}

// workOf returns the mean time that a plain service takes for a request at the usual speed, or zero.
func (t *Table) workOf(s fleet.Service) time.Duration {
	w, _ := t.work.Get(s)
	return time.Duration(w * float64(time.Second))
}

// slowFactor is the factor from which Usage counts a target as slow.
const slowFactor = 1.5
