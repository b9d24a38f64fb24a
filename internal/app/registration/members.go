package registration

import (
	"net/netip"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/port"
)

// Members maps the store key of each registration to the registered process.
// It is not safe for concurrent use; the lock of its owner guards it.
type Members map[string]port.StoredMember

// Apply updates the map with changes of registrations. A registration that cannot be
// decoded names no process; it is recorded in unreadable.
func (m Members) Apply(e follow.Event, decoder port.ItemDecoder, unreadable *follow.Unreadable) {
	unreadable.Begin(e)
	if e.Reset {
		clear(m)
	}
	for _, c := range e.Changes {
		if c.Removed {
			delete(m, c.Key)
			continue
		}
		item, err := decoder.Decode(c.StoreItem)
		unreadable.Record(c, err)
		if err != nil {
			delete(m, c.Key)
			continue
		}
		if member, ok := item.(port.MemberItem); ok {
			m[c.Key] = member.Member
		}
	}
}

// Readers returns the gateways that self asks for changes of the store, in the
// order in which it tries them.
func (m Members) Readers(self port.StoredMember) []feed.Member {
	return feed.Readers(feedMember(self), m.All())
}

// Rank returns the number of gateways of its failure domain that come before the gateway self as readers.
func (m Members) Rank(self port.StoredMember) int { return feed.Rank(feedMember(self), m.All()) }

// All returns all registered processes.
func (m Members) All() []feed.Member {
	all := make([]feed.Member, 0, len(m))
	for _, x := range m {
		all = append(all, feedMember(x))
	}
	return all
}

// UsageRecipients returns the gateways to which self states its usage.
func (m Members) UsageRecipients(self port.StoredMember) usage.Recipients {
	all := make([]feed.Member, 0, len(m))
	for _, x := range m {
		all = append(all, feedMember(x))
	}
	return usage.FindRecipients(feedMember(self), all)
}

func feedMember(m port.StoredMember) feed.Member {
	return feed.Member{ID: m.ID, Domain: m.Domain, Address: m.Address, Gateway: m.Kind == fleet.KindEntry.String()}
}

// LeaseOf returns the lease under which the process with an ID is registered, or port.NoLease if it is not.
func (m Members) LeaseOf(id string) port.LeaseID {
	for _, x := range m {
		if x.ID == id {
			return x.Lease
		}
	}
	return port.NoLease
}

// Has reports whether a process is registered at an address.
func (m Members) Has(addr fleet.Address) bool {
	for _, x := range m {
		if x.Address == addr {
			return true
		}
	}
	return false
}

// GatewayCount returns the number of registered gateways.
func (m Members) GatewayCount() (count int) {
	for _, x := range m {
		if x.Kind == fleet.KindEntry.String() {
			count++
		}
	}
	return count
}

// GatewaysByDomain returns the addresses of all gateways but the one with the ID self.
func (m Members) GatewaysByDomain(self string) map[fleet.Domain][]netip.AddrPort {
	out := map[fleet.Domain][]netip.AddrPort{}
	for _, x := range m {
		if x.Kind != fleet.KindEntry.String() || x.ID == self {
			continue
		}
		if a, err := netip.ParseAddrPort(string(x.Address)); err == nil {
			out[x.Domain] = append(out[x.Domain], a)
		}
	}
	return out
}
