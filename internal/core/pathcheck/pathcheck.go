// Package pathcheck tells whether the network path to another failure domain was open recently. It answers the
// load after a cut between two regions: everything that waited is sent at once, the link is full for seconds,
// and a request that is written to a kept connection then reaches its target after its caller has left.
package pathcheck

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// maxAge is the time for which a path counts as open after something that was sent then has arrived. On a link
// that takes in twice what it carries, the delay is then at most twice as long: a request must not reach a
// target more than 0.5 s after its caller has left.
const maxAge = 250 * time.Millisecond

// Paths holds for each failure domain when something was last sent there that is known to have arrived.
type Paths struct {
	own  fleet.Domain
	sent *shard.Map[fleet.Domain, time.Time]
}

// New returns paths of a process in the domain own, of which nothing is known.
func New(own fleet.Domain) *Paths {
	return &Paths{own: own, sent: shard.New[fleet.Domain, time.Time](4)}
}

// RecordArrival records that what was sent to a domain at a time has arrived there: it was answered, or the
// connection that was requested then is open.
func (p *Paths) RecordArrival(d fleet.Domain, sentAt time.Time) {
	if d == p.own {
		return
	}
	p.sent.Update(d, func(last time.Time, ok bool) (time.Time, bool) {
		if ok && last.After(sentAt) {
			return last, true
		}
		return sentAt, true
	})
}

// Open reports whether the path to a domain is known to have been open within maxAge. The own domain has no
// link that others can fill, so its path always counts as open.
func (p *Paths) Open(d fleet.Domain, now time.Time) bool {
	if d == p.own {
		return true
	}
	at, ok := p.sent.Get(d)
	return ok && now.Sub(at) <= maxAge
}
