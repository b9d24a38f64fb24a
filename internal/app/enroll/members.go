package enroll

import (
	"net/netip"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Members are the registered processes by key. It has no lock of its own: its
// owner's guards it.
type Members map[string]port.StoredMember

// Apply takes in news of the entries.
func (m Members) Apply(e follow.Event, facts port.ItemDecoder, log *logging.Logger) {
	if e.Reset {
		clear(m)
	}
	for _, c := range e.Changes {
		if c.Removed {
			delete(m, c.Key)
			continue
		}
		fact, err := facts.Decode(c.StoreItem)
		if err != nil {
			log.Fault("entry of a process can't be read", err, logging.F("key", c.Key))
			continue
		}
		if f, ok := fact.(port.MemberItem); ok {
			m[c.Key] = f.Member
		}
	}
}

// Readers returns the gateways that a process asks for changes of the store.
func (m Members) Readers(self port.StoredMember) []feed.Member {
	all := make([]feed.Member, 0, len(m))
	for _, x := range m {
		all = append(all, feedMember(x))
	}
	return feed.Readers(feedMember(self), all)
}

func feedMember(x port.StoredMember) feed.Member {
	return feed.Member{ID: x.ID, Domain: x.Domain, Address: x.Address, Gateway: x.Kind == fleet.KindEntry.String()}
}

// Gateways returns the number of gateways, and the addresses of those that are
// not self.
func (m Members) Gateways(self string) (count int, others []netip.AddrPort) {
	others = []netip.AddrPort{}
	for _, x := range m {
		if x.Kind != fleet.KindEntry.String() {
			continue
		}
		count++
		if a, err := netip.ParseAddrPort(string(x.Address)); err == nil && x.ID != self {
			others = append(others, a)
		}
	}
	return count, others
}
