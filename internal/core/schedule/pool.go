package schedule

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

const (
	// firstLowerClass is the first class of the lower band. The upper band, status
	// and order, has strict priority over summary and draft, except for the
	// minimum share of the lower band.
	firstLowerClass = fleet.ClassSummary
	// lowerBandInterval reserves every 20th grant, 5%, for the lower band while it
	// has waiting requests.
	lowerBandInterval = 20
	// secondClassInterval reserves every fourth grant of a band for its second
	// class while it has waiting requests, so that status requests do not starve
	// orders (such as check logs), and summaries do not starve drafts.
	secondClassInterval = 4
	// lateDeviations is the number of mean deviations above the mean hold time for
	// which a request must have time left. Two mean deviations cover about 95% of
	// requests.
	lateDeviations = 2
	// holdTimeWeight is the weight of a new sample in the moving averages of the hold
	// time and its deviation.
	holdTimeWeight = 0.1
)

// pool is the queue and the permits of one group or service. It is guarded by the
// lock of its shard.
type pool struct {
	capacity int
	inUse    int
	classes  [fleet.NumClasses]classQueue
	// upperBandRun counts consecutive grants to the upper band while the lower band
	// has waiting requests.
	upperBandRun int
	// firstClassRun counts, per band, consecutive grants to the first class while the
	// second has waiting requests.
	firstClassRun [2]int
	// meanHoldTime is the mean time for which a permit is held, or zero before the
	// first sample, and holdTimeDeviation the mean deviation from it.
	meanHoldTime, holdTimeDeviation time.Duration
}

func newPool() *pool {
	p := &pool{capacity: 1}
	for i := range p.classes {
		p.classes[i].flows = map[fleet.Customer]*flow{}
	}
	return p
}

func (p *pool) queued() int {
	n := 0
	for i := range p.classes {
		n += p.classes[i].size
	}
	return n
}

// refusalReason returns the reason why the request must not be queued, or nil.
func (p *pool) refusalReason(r Request, now time.Time, maxQueued int) error {
	if p.inUse < p.capacity {
		return nil
	}
	wait := p.expectedWait(r)
	if p.queued() >= maxQueued {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "queue is full").WithRetryAfter(max(wait, retryAfter))
	}
	if now.Add(wait).After(r.Deadline) {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"expected wait of %v passes the deadline", wait).WithRetryAfter(max(wait, retryAfter))
	}
	return nil
}

// expectedWait estimates the wait of a new request from the number of requests ahead
// of it: all in higher classes and, depending on its customer's share, some in its
// own class.
func (p *pool) expectedWait(r Request) time.Duration {
	requestsAhead := 1
	for c := range r.Class {
		requestsAhead += p.classes[c].size
	}
	requestsAhead += p.classes[r.Class].requestsAhead(r)
	return p.meanHoldTime * time.Duration(requestsAhead) / time.Duration(p.capacity)
}

func (p *pool) push(t *Ticket) { p.classes[t.req.Class].push(t) }

// release removes a waiting request or returns the permit of a running one.
func (p *pool) release(t *Ticket, now time.Time) {
	switch t.state {
	case stateWaiting:
		p.classes[t.req.Class].remove(t)
	case stateRunning:
		p.inUse--
		p.recordHoldTime(now.Sub(t.grantedAt))
	}
	t.state = stateEnded
}

// recordHoldTime adds a sample to the moving averages of the hold time and its
// deviation.
func (p *pool) recordHoldTime(d time.Duration) {
	if p.meanHoldTime == 0 {
		p.meanHoldTime = d
		return
	}
	p.holdTimeDeviation += time.Duration(holdTimeWeight * float64((d-p.meanHoldTime).Abs()-p.holdTimeDeviation))
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(d-p.meanHoldTime))
}

// dispatch grants free permits to waiting requests. It never blocks, since the grant
// channels are buffered and receive only one value.
func (p *pool) dispatch(now time.Time) {
	for p.inUse < p.capacity {
		c, ok := p.nextClass()
		if !ok {
			return
		}
		t := p.classes[c].pop()
		if p.isLate(t, now) {
			t.state = stateEnded
			t.grant <- verdict.New(verdict.NotRun, verdict.CodeOverloaded,
				"deadline cannot be met after waiting").WithRetryAfter(retryAfter)
			continue
		}
		p.recordGrant(c)
		p.inUse++
		t.state, t.grantedAt = stateRunning, now
		t.grant <- nil
	}
}

// isLate reports whether a request has too little time left to finish. Under steady
// overload most requests reach the head of the queue with just about the required
// time left. If the mean hold time were required, half of them would be cut off after
// they used a target; hence the allowance for the deviation. The estimate applies
// only while other requests are queued. Otherwise the request runs, and its sample
// can correct an estimate that is too high.
func (p *pool) isLate(t *Ticket, now time.Time) bool {
	remaining := t.req.Deadline.Sub(now)
	return remaining <= 0 || p.queued() > 0 && remaining < p.meanHoldTime+lateDeviations*p.holdTimeDeviation
}

// nextClass returns the class that gets the next permit, and false if no request
// waits.
func (p *pool) nextClass() (fleet.Class, bool) {
	upper, upperOK := p.nextInBand(0)
	lower, lowerOK := p.nextInBand(firstLowerClass)
	if upperOK && (!lowerOK || p.upperBandRun < lowerBandInterval-1) {
		return upper, true
	}
	return lower, lowerOK
}

// nextInBand returns the class that gets the next permit within the band that starts
// with the class first, and false if no request of the band waits.
func (p *pool) nextInBand(first fleet.Class) (fleet.Class, bool) {
	firstWaits, secondWaits := p.classes[first].size > 0, p.classes[first+1].size > 0
	switch {
	case firstWaits && (!secondWaits || p.firstClassRun[bandOf(first)] < secondClassInterval-1):
		return first, true
	case secondWaits:
		return first + 1, true
	}
	return first, false
}

// bandOf returns 0 for a class of the upper band and 1 for one of the lower band.
func bandOf(c fleet.Class) int {
	if c < firstLowerClass {
		return 0
	}
	return 1
}

// recordGrant updates the run lengths by which the minimum shares are enforced.
func (p *pool) recordGrant(c fleet.Class) {
	band := bandOf(c)
	_, lowerWaits := p.nextInBand(firstLowerClass)
	if band == 0 && lowerWaits {
		p.upperBandRun++
	} else {
		p.upperBandRun = 0
	}
	first := fleet.Class(band) * firstLowerClass
	if c == first && p.classes[first+1].size > 0 {
		p.firstClassRun[band]++
	} else {
		p.firstClassRun[band] = 0
	}
}
