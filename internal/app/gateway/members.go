package gateway

import (
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/duty"
	"github.com/masticwing/masticwing/internal/core/fanout"
	"github.com/masticwing/masticwing/internal/port"
)

// applyMembers updates the gateway count, the notice addresses and the readers from an
// event of the registered processes.
func (v *view) applyMembers(e follow.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members.Apply(e, v.decoder, v.unreadable.members)
	count := v.members.GatewayCount()
	readers := v.members.Readers(v.self)
	v.readers.Store(&readers)
	v.readerRank.Store(int64(v.members.Rank(v.self)))
	recipients := v.members.UsageRecipients(v.self)
	v.usageRecipients.Store(&recipients)
	candidates := duty.Candidates(v.members.All())
	v.dutyCandidates.Store(&candidates)
	n := int64(count)
	v.setGateways(fanout.New(v.self.Domain, v.members.GatewaysByDomain(v.self.ID)))
	if old := v.gatewayCount.Swap(max(1, n)); old != max(1, n) {
		v.log.StateChange("number of gateways changed", port.F("count", n))
	}
	if e.Reset {
		v.membersListed.Store(true)
	}
}

// listedLease returns the lease under which this process is listed, or port.NoLease if it is not.
func (v *view) listedLease() port.LeaseID {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members.LeaseOf(v.self.ID)
}
