// Package retrytime decides when a refused caller should return. It answers the load of a
// burst in which more requests arrive than the targets can finish.
//
// While an overload lasts, a later return has no better chance: the callers that are refused
// in the meantime return as well. It only makes the response late, and a late response takes
// the place of one that would be in time. So callers return as soon as a place has probably
// become free, each at a slightly different time.
package retrytime

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/window"
)

const (
	// placesAwaited is the number of places that become free on average before a caller
	// returns. If they become free at random, at least one does with a probability of 95%.
	placesAwaited = 3
	// minMeanDelay is the shortest mean delay. A caller needs a few milliseconds to return,
	// so shorter delays only differ in their cost.
	minMeanDelay = 15 * time.Millisecond
	// maxMeanDelay is the longest mean delay, also used if no place became free recently.
	maxMeanDelay = time.Second
	// maxTimeShare is the greatest part of a caller's remaining time that passes before it
	// returns. It needs the rest for its response, and clients ignore a longer delay.
	maxTimeShare = 1.0 / 3
)

// After returns the delay after which a refused caller should return: uniformly distributed
// from half to one and a half times the mean. timeLeft is the remaining time of the caller,
// and interval the mean time between two places that become free, or zero if none did.
func After(interval, timeLeft time.Duration, intN func(int) int) time.Duration {
	mean := maxMeanDelay
	if interval > 0 && interval < maxMeanDelay/placesAwaited {
		mean = max(placesAwaited*interval, minMeanDelay)
	}
	delay := mean/2 + time.Duration(intN(int(mean)+1))
	return max(0, min(delay, time.Duration(maxTimeShare*float64(timeLeft))))
}

// drainWindow is the time over which freed places are counted. It is about the time for
// which a request holds a place, and a process of 40 still counts several in it.
const drainWindow = time.Second

// Drain counts the places that this process's requests free at targets, by service.
type Drain struct {
	base     time.Time
	services *shard.Map[fleet.Service, *window.Counter]
}

// NewDrain returns counts of zero. base must be before any use.
func NewDrain(base time.Time) *Drain {
	return &Drain{base: base, services: shard.New[fleet.Service, *window.Counter](4)}
}

// RecordFreed counts a place that became free.
func (d *Drain) RecordFreed(s fleet.Service, now time.Time) {
	d.update(s, now, func(c *window.Counter, bucket int64) { c.Add(bucket, 1) })
}

// Interval returns the mean time between two places of a service that become free, or zero
// if none did in the last second. processes is the number of processes that send to the same
// targets; each is assumed to free as many places as this one.
func (d *Drain) Interval(s fleet.Service, processes float64, now time.Time) time.Duration {
	freed := 0
	d.update(s, now, func(c *window.Counter, bucket int64) { freed = c.Sum(bucket) })
	if freed == 0 {
		return 0
	}
	return time.Duration(float64(drainWindow) / (float64(freed) * max(processes, 1)))
}

func (d *Drain) update(s fleet.Service, now time.Time, f func(c *window.Counter, bucket int64)) {
	bucket := window.Bucket(d.base, now, drainWindow)
	d.services.Update(s, func(c *window.Counter, ok bool) (*window.Counter, bool) {
		if !ok {
			c = &window.Counter{}
		}
		f(c, bucket)
		return c, true
	})
}
