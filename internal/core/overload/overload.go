// Package overload decides which requests are admitted while there is too little room for all, and
// when refused callers return. It answers the return of many callers at once after the targets of a
// service were unavailable for seconds.
//
// A request is late if no target can answer it within the latency objective of its caller, counted from
// the caller's first attempt. A late response takes a place that a request in time would use, and all
// callers that were refused during an outage return late. So late requests only get the places that those
// in time leave: the slots of all targets less the arrivals in time multiplied by the time for which a
// request holds a place. The other ones are refused at once.
//
// Each process knows its own arrivals, its own late requests and the callers that it refused. It takes all
// processes together to have as many times more as they sent requests in the last half minute, which the
// notices of requests tell, or assumes that each has as many if it doesn't get all notices.
package overload

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/window"
)

const (
	// memory is the time after the last request that was refused
	// for lack of room for which late requests are limited.
	// Callers return after at most a third of their time, which is 2 s, and then need their places.
	memory = 4 * time.Second
	// arrivalWindow is the time over which arrivals are counted. A process of 18 gets about 15 requests a
	// second, whose number varies by a quarter; over 3 s it varies by a seventh.
	arrivalWindow = 3 * time.Second
	// shareWindow is the time over which this process's share of the requests is counted. It is longer than
	// an outage, in which nothing is sent.
	shareWindow = 30 * time.Second
	// minShareCount is the number of own requests from which on the share is used: its standard deviation
	// is a seventh then.
	minShareCount = 50
	// initialHold is the assumed time for which a request holds a place, before one has ended.
	initialHold = time.Second
	// holdSampleWeight is the weight of a new sample in the mean of that time.
	holdSampleWeight = 0.05
	// maxReturnShare is the greatest part of a caller's remaining time after which it returns. Clients
	// ignore a longer delay.
	maxReturnShare = 1.0 / 3
)

// Attempt is a caller's attempt that is to be sent to a target.
type Attempt struct {
	// Query holds the requirements on the target. InTimeBy is not set.
	Query placement.Query
	// ObjectiveLeft is the time until the first event is late, or negative if it is late already.
	ObjectiveLeft time.Duration
}

// Admission tells how an attempt was admitted or refused.
type Admission uint8

// The admissions.
const (
	// Normal means that the attempt was decided by the choice of the target alone.
	Normal Admission = iota
	// Late means that the attempt has taken a place for late requests. ReleaseLate must follow.
	Late
	// Refused means that the attempt can't be in time, and that there is no place for late requests.
	Refused
)

// String returns the name used in logs.
func (a Admission) String() string { return [...]string{"normal", "late", "refused_late"}[a] }

// serviceState is what a process knows of a service. It is guarded by the lock of its shard.
type serviceState struct {
	// inTime counts the attempts that arrive while their response can still be in time.
	inTime window.Counter
	// own and remote count the requests that this process and the others have sent.
	own, remote window.Counter
	// hold is the mean time for which a request holds a place.
	hold time.Duration
	// late is the number of late requests that hold a place.
	late int
	// shortUntil is the time until which late requests are limited.
	shortUntil time.Time
	// nextReturn is the time at which the next refused caller finds a place for late requests.
	nextReturn time.Time
}

// Control holds the state of all services. Its methods may be called concurrently.
type Control struct {
	base     time.Time
	services *shard.Map[fleet.Service, *serviceState]
}

// New returns a control that limits nothing until a request is refused. base must be before any use.
func New(base time.Time) *Control {
	return &Control{base: base, services: shard.New[fleet.Service, *serviceState](4)}
}

func (c *Control) update(s fleet.Service, f func(x *serviceState)) {
	c.services.Update(s, func(x *serviceState, ok bool) (*serviceState, bool) {
		if !ok {
			x = &serviceState{hold: initialHold}
		}
		f(x)
		return x, true
	})
}

func (c *Control) bucket(now time.Time) int64 { return window.Bucket(c.base, now, arrivalWindow) }

// Choose selects the target of an attempt. Before a request was refused for lack of room it does nothing
// else than Table.Choose. For some time after that, requests get only targets that can answer in time,
// unless there is a place for late requests.
func (c *Control) Choose(
	t *placement.Table, a Attempt, now time.Time, intN func(int) int,
) (placement.Choice, placement.Outcome, Admission) {
	s := a.Query.Service
	short := false
	c.update(s, func(x *serviceState) {
		if a.ObjectiveLeft > 0 {
			x.inTime.Add(c.bucket(now), 1)
		}
		short = now.Before(x.shortUntil)
	})
	if !short {
		return c.chooseAny(t, &a, Normal, now, intN)
	}
	if a.ObjectiveLeft > 0 {
		q := a.Query
		q.InTimeBy = now.Add(a.ObjectiveLeft)
		choice, out := t.Choose(q, now, intN)
		if out == placement.Chosen {
			c.recordSent(s, now)
		}
		if out != placement.AllFull {
			return choice, out, Normal
		}
	}
	if c.admitLate(t, &a, now, intN) {
		return c.chooseAny(t, &a, Late, now, intN)
	}
	if !t.HasCapacity(a.Query, now) {
		// The outcome tells why there is none.
		return c.chooseAny(t, &a, Normal, now, intN)
	}
	return placement.Choice{}, placement.AllFull, Refused
}

// chooseAny selects any target with room. A request that finds none limits the late ones after it.
func (c *Control) chooseAny(
	t *placement.Table, a *Attempt, as Admission, now time.Time, intN func(int) int,
) (placement.Choice, placement.Outcome, Admission) {
	choice, out := t.Choose(a.Query, now, intN)
	if out == placement.Chosen {
		c.recordSent(a.Query.Service, now)
		return choice, out, as
	}
	if as == Late {
		c.ReleaseLate(a.Query.Service)
	}
	c.update(a.Query.Service, func(x *serviceState) { x.shortUntil = now.Add(memory) })
	return choice, out, Normal
}

func (c *Control) recordSent(s fleet.Service, now time.Time) {
	c.update(s, func(x *serviceState) { x.own.Add(c.shareBucket(now), 1) })
}

// RecordRemote counts a request that another process has sent to a target of a service.
func (c *Control) RecordRemote(s fleet.Service, now time.Time) {
	if s != "" {
		c.update(s, func(x *serviceState) { x.remote.Add(c.shareBucket(now), 1) })
	}
}

func (c *Control) shareBucket(now time.Time) int64 { return window.Bucket(c.base, now, shareWindow) }

// multiple returns how many times more requests all processes together have than this one.
func (x *serviceState) multiple(q *placement.Query, bucket int64) float64 {
	own := x.own.Sum(bucket)
	if q.UnseenRequests || own < minShareCount {
		return max(q.Processes, 1)
	}
	return float64(own+x.remote.Sum(bucket)) / float64(own)
}

// lateRoom returns the number of late requests of this process for which there is room. slots is the
// number of slots of all targets, and multiple the requests of all processes in relation to those of this one.
func (x *serviceState) lateRoom(slots int, multiple float64, bucket int64) float64 {
	inTime := float64(x.inTime.Sum(bucket)) / arrivalWindow.Seconds()
	return max(0, float64(slots)/multiple-inTime*x.hold.Seconds())
}

// admitLate reports whether a late request may take a place now, and counts it if so.
func (c *Control) admitLate(t *placement.Table, a *Attempt, now time.Time, intN func(int) int) bool {
	u := t.Usage(now, a.Query.Processes)[a.Query.Service]
	slots := float64(u.Slots)
	// A process often has room for less than one late request. The random fraction makes the number
	// right on average.
	fraction := float64(intN(fractions)) / fractions
	admitted := false
	c.update(a.Query.Service, func(x *serviceState) {
		multiple := x.multiple(&a.Query, c.shareBucket(now))
		room := x.lateRoom(u.Slots, multiple, c.bucket(now))
		ample := u.Requests < ampleUse*slots && room*multiple > ampleRoom*slots
		if admitted = ample || float64(x.late)+fraction < room; admitted {
			x.late++
		}
	})
	return admitted
}

const (
	// ampleUse is the share of the slots in use below which, and ampleRoom the share of the slots that
	// those in time leave above which a process does not keep to its share of the late requests. The
	// counts of a process vary by a fifth. With 450 of those in time in 700 slots of 58 engines, 35 slots
	// and a waiting request at each engine are left for a burst, four standard deviations of their number.
	ampleUse, ampleRoom = 0.95, 0.35
)

// fractions is the resolution of a random fraction.
const fractions = 1 << 20

// ReleaseLate ends a late request.
func (c *Control) ReleaseLate(s fleet.Service) {
	c.update(s, func(x *serviceState) { x.late = max(0, x.late-1) })
}

// RecordHold records the time for which a request that has ended held its place.
func (c *Control) RecordHold(s fleet.Service, d time.Duration) {
	c.update(s, func(x *serviceState) { x.hold += time.Duration(holdSampleWeight * float64(d-x.hold)) })
}

// ReturnAfter returns the delay after which a refused caller returns. soon is the delay after which a
// place has probably become free, which is used if the response can then still be in time.
//
// Other callers each get the next of the times at which a place for late requests becomes free, within a
// third of the remaining time, which is the longest delay that clients follow. If there is no such time,
// or no target takes requests, the caller returns at a random time in the second half of that third. An
// outage has most probably ended then, and the callers that were refused in it don't return together.
func (c *Control) ReturnAfter(
	t *placement.Table, a Attempt, out placement.Outcome, soon, timeLeft time.Duration, now time.Time, intN func(int) int,
) time.Duration {
	if soon+a.Query.Prefill+a.Query.Decode < a.ObjectiveLeft {
		return soon
	}
	longest := max(0, time.Duration(maxReturnShare*float64(timeLeft)))
	delay := longest - time.Duration(intN(int(longest/2)+1))
	if out != placement.AllFull {
		return delay
	}
	slots := t.Usage(now, a.Query.Processes)[a.Query.Service].Slots
	c.update(a.Query.Service, func(x *serviceState) {
		room := x.lateRoom(slots, x.multiple(&a.Query, c.shareBucket(now)), c.bucket(now))
		if room <= 0 {
			return
		}
		interval := time.Duration(min(x.hold.Seconds()/room, timeLeft.Seconds()) * float64(time.Second))
		next := x.nextReturn
		if next.Before(now) {
			next = now
		}
		if d := next.Add(interval).Sub(now); d <= longest {
			x.nextReturn, delay = next.Add(interval), d
		}
	})
	return delay
}

// Status describes the limit of late requests of a service.
type Status struct {
	// Limited is set if late requests are limited now.
	Limited bool
	// Late is the number of requests of this process that hold a place for late ones.
	Late int
	// Hold is the mean time for which a request holds a place.
	Hold time.Duration
}

// Status returns the status of each service.
func (c *Control) Status(now time.Time) map[fleet.Service]Status {
	out := map[fleet.Service]Status{}
	c.services.Range(func(s fleet.Service, x *serviceState) bool {
		out[s] = Status{now.Before(x.shortUntil), x.late, x.hold}
		return true
	})
	return out
}
