package retrytime

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// TestAfterBounds guards against delays that a caller can't follow: negative ones, ones
// longer than the useful part of its time, and ones of more than one and a half times the
// longest mean.
func TestAfterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.Int64().Draw(t, "interval"))
		left := time.Duration(rapid.Int64().Draw(t, "left"))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		got := After(interval, left, rng.IntN)
		if got < 0 || got > maxMeanDelay*3/2 || left > 0 && got > left/3+1 || left <= 0 && got > 0 {
			t.Fatalf("delay %v for interval %v and remaining time %v", got, interval, left)
		}
	})
}

// TestAfterFollowsDrain guards against delays that don't depend on how fast places become
// free, and against callers that all return at the same moment.
func TestAfterFollowsDrain(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for interval, want := range map[time.Duration]time.Duration{
		0: time.Second, time.Microsecond: 15 * time.Millisecond, 8 * time.Millisecond: 24 * time.Millisecond,
		100 * time.Millisecond: 300 * time.Millisecond, time.Minute: time.Second,
	} {
		least, most := time.Duration(math.MaxInt64), time.Duration(0)
		for range 1000 {
			d := After(interval, time.Hour, rng.IntN)
			least, most = min(least, d), max(most, d)
		}
		if least < want/2 || least > want*6/10 || most > want*3/2 || most < want*14/10 {
			t.Errorf("interval %v: delays from %v to %v, want half to one and a half times %v", interval, least, most, want)
		}
	}
}

// TestDrainInterval guards against an interval that counts places of another service, places
// freed long ago, or only those of this process.
func TestDrainInterval(t *testing.T) {
	base := time.Unix(0, 0)
	d := NewDrain(base)
	for i := range 50 {
		d.RecordFreed("model", base.Add(time.Duration(i)*20*time.Millisecond))
	}
	now := base.Add(time.Second)
	if got := d.Interval("model", 5, now); got != 4*time.Millisecond {
		t.Errorf("interval %v with 50 places of each of 5 processes in a second, want 4ms", got)
	}
	if got := d.Interval("other", 5, now); got != 0 {
		t.Errorf("interval %v of a service without requests, want 0", got)
	}
	if got := d.Interval("model", 5, now.Add(1200*time.Millisecond)); got != 0 {
		t.Errorf("interval %v more than a second after the last place, want 0", got)
	}
}

// burst is the load of a heavy day: 170 requests a second for engines that finish 125.
type burst struct {
	requestsPerSecond, seconds float64
	places                     int
	// hold is the mean time for which a request holds a place, first the mean time from its
	// start to its first event.
	hold, first time.Duration
	// objective is the time from the caller's first attempt to the first event, budget the
	// time that the caller waits. A caller returns once.
	objective, budget time.Duration
	processes         int
}

var heavyDay = burst{
	requestsPerSecond: 170, seconds: 20, places: 14 * 16, hold: 1790 * time.Millisecond, first: 200 * time.Millisecond,
	objective: 400 * time.Millisecond, budget: 6 * time.Second, processes: 8,
}

// result counts the callers of a burst.
type result struct{ callers, served, inTime, refused int }

// event is an attempt of a caller, or a place that becomes free at a process.
type event struct {
	at      time.Duration
	arrived time.Duration
	attempt int // from 1; 0 for a place that becomes free
	process int
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// play plays the burst. delay returns a refused caller's delay from the drain and the
// caller's remaining time.
func (b burst) play(seed uint64, delay func(interval, left time.Duration, intN func(int) int) time.Duration) (out result) {
	rng := rand.New(rand.NewPCG(seed, 2))
	base := time.Unix(0, 0)
	drains := make([]*Drain, b.processes)
	for i := range drains {
		drains[i] = NewDrain(base)
	}
	var q eventQueue
	for at := 0.0; at < b.seconds; at += rng.ExpFloat64() / b.requestsPerSecond {
		t := time.Duration(at * float64(time.Second))
		heap.Push(&q, event{at: t, arrived: t, attempt: 1})
		out.callers++
	}
	const service = fleet.Service("model")
	varied := func(mean time.Duration) time.Duration { return mean/2 + time.Duration(rng.Int64N(int64(mean))) }
	busy := 0
	for q.Len() > 0 {
		e := heap.Pop(&q).(event)
		now := base.Add(e.at)
		process := rng.IntN(b.processes)
		switch {
		case e.attempt == 0:
			busy--
			drains[e.process].RecordFreed(service, now)
		case busy < b.places:
			busy++
			out.served++
			if e.at-e.arrived+varied(b.first) <= b.objective {
				out.inTime++
			}
			heap.Push(&q, event{at: e.at + varied(b.hold), process: process})
		case e.attempt == 1:
			wait := delay(drains[process].Interval(service, float64(b.processes), now), b.budget-(e.at-e.arrived), rng.IntN)
			heap.Push(&q, event{at: e.at + wait, arrived: e.arrived, attempt: 2})
		default:
			out.refused++
		}
	}
	return out
}

// TestOverloadServedInTime guards against callers of a burst that are served late because
// they were told to return late, and against fewer callers served than with a fixed second.
func TestOverloadServedInTime(t *testing.T) {
	for seed := range uint64(10) {
		got := heavyDay.play(seed, After)
		fixed := heavyDay.play(seed, func(_, _ time.Duration, _ func(int) int) time.Duration { return time.Second })
		t.Logf("seed %d: %+v, with a fixed second %+v", seed, got, fixed)
		if share := float64(got.inTime) / float64(got.served); share < 0.95 {
			t.Errorf("seed %d: %.2f of the served callers in time, want 0.95", seed, share)
		}
		// With the fixed second, the last callers return in the second after the burst.
		if lost, most := fixed.served-got.served, int(float64(heavyDay.places)/heavyDay.hold.Seconds()); lost > most {
			t.Errorf("seed %d: %d callers are served with a fixed second only, want at most the %d places of a second", seed, lost, most)
		}
	}
}
