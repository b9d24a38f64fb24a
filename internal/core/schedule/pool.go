package schedule

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

const (
	// firstLower is the first class of the lower band. Status and order go
	// strictly before summary and draft, but for the minimum share.
	firstLower = fleet.ClassSummary
	// lowerEvery gives each 20th grant, 5%, to the lower band if it waits.
	lowerEvery = 20
	// secondEvery gives each fourth grant of a band to its second class, so
	// that check logs are not starved by status reads, nor drafts by summaries.
	secondEvery = 4
	// lateSpreads is the number of mean deviations that a request may take
	// longer than the mean. Twice the mean deviation covers about 95 in 100.
	lateSpreads = 2
	// holdWeight is the weight of the newest sample in the mean hold time.
	holdWeight = 0.1
)

// pool is the queue and the permits of one group or service. The lock of its
// shard guards it.
type pool struct {
	capacity int
	inUse    int
	classes  [fleet.NumClasses]classQueue
	// upperRun counts grants to the upper band while the lower band waits.
	upperRun int
	// firstRun counts grants to the first class of each band while its second
	// class waits.
	firstRun [2]int
	// hold is the mean time that a permit is held, zero before the first, and
	// spread the mean deviation from it.
	hold, spread time.Duration
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

// refuse returns an error if the request must not be queued.
func (p *pool) refuse(r Request, now time.Time, maxQueued int) error {
	if p.inUse < p.capacity {
		return nil
	}
	wait := p.estimate(r)
	if p.queued() >= maxQueued {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "queue is full").WithRetryAfter(max(wait, retryAfter))
	}
	if now.Add(wait).After(r.Deadline) {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"expected wait of %v passes the deadline", wait).WithRetryAfter(max(wait, retryAfter))
	}
	return nil
}

// estimate is the expected wait of a new request: those ahead of it in higher
// classes and, by its customer's share, in its own class.
func (p *pool) estimate(r Request) time.Duration {
	ahead := 1
	for c := range r.Class {
		ahead += p.classes[c].size
	}
	ahead += p.classes[r.Class].ahead(r)
	return p.hold * time.Duration(ahead) / time.Duration(p.capacity)
}

func (p *pool) push(t *Ticket) { p.classes[t.req.Class].push(t) }

func (p *pool) leave(t *Ticket, now time.Time) {
	switch t.state {
	case waiting:
		p.classes[t.req.Class].remove(t)
	case running:
		p.inUse--
		p.sample(now.Sub(t.granted))
	}
	t.state = ended
}

func (p *pool) sample(d time.Duration) {
	if p.hold == 0 {
		p.hold = d
		return
	}
	p.spread += time.Duration(holdWeight * float64((d-p.hold).Abs()-p.spread))
	p.hold += time.Duration(holdWeight * float64(d-p.hold))
}

// dispatch grants permits while there are any. Grant channels have room for
// the only value that they receive, so sends never block.
func (p *pool) dispatch(now time.Time) {
	for p.inUse < p.capacity {
		c, ok := p.nextClass()
		if !ok {
			return
		}
		t := p.classes[c].pop()
		if p.late(t, now) {
			t.state = ended
			t.grant <- verdict.New(verdict.NotRun, verdict.CodeOverloaded,
				"deadline cannot be met after waiting").WithRetryAfter(retryAfter)
			continue
		}
		p.count(c)
		p.inUse++
		t.state, t.granted = running, now
		t.grant <- nil
	}
}

// late reports whether a request has too little time left to finish. Under a
// steady overload most requests reach the head of the queue with just this
// time left, so a request that is merely as slow as the mean must not be
// started: half of those would be cut after they used a target. The estimate
// applies only while others wait for the permit, so that an estimate
// that is too high is corrected by the requests that still run.
func (p *pool) late(t *Ticket, now time.Time) bool {
	left := t.req.Deadline.Sub(now)
	return left <= 0 || p.queued() > 0 && left < p.hold+lateSpreads*p.spread
}

func (p *pool) nextClass() (fleet.Class, bool) {
	upper, upperOK := p.inBand(0)
	lower, lowerOK := p.inBand(firstLower)
	if upperOK && (!lowerOK || p.upperRun < lowerEvery-1) {
		return upper, true
	}
	return lower, lowerOK
}

// inBand returns the next class of the band that starts at first.
func (p *pool) inBand(first fleet.Class) (fleet.Class, bool) {
	a, b := p.classes[first].size > 0, p.classes[first+1].size > 0
	switch {
	case a && (!b || p.firstRun[band(first)] < secondEvery-1):
		return first, true
	case b:
		return first + 1, true
	}
	return first, false
}

func band(c fleet.Class) int {
	if c < firstLower {
		return 0
	}
	return 1
}

// count keeps the runs of grants that the minimum shares are derived from.
func (p *pool) count(c fleet.Class) {
	b := band(c)
	_, lowerWaits := p.inBand(firstLower)
	if b == 0 && lowerWaits {
		p.upperRun++
	} else {
		p.upperRun = 0
	}
	first := fleet.Class(b) * firstLower
	if c == first && p.classes[first+1].size > 0 {
		p.firstRun[b]++
	} else {
		p.firstRun[b] = 0
	}
}
