package usage

import (
	"cmp"
	"slices"

	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// candidatesPerDomain is the number of gateways of a domain that may become the holder of the duties.
const candidatesPerDomain = 2

// Recipients are the gateways to which one gateway states its figures.
type Recipients struct {
	// Candidate is set if the gateway itself may become the holder.
	Candidate bool
	// Own are the other candidates of its domain, and Others those of each other domain.
	Own    []feed.Member
	Others [][]feed.Member
	// Domain are all other gateways of its domain.
	Domain []feed.Member
	// Gateways are the IDs of all gateways, with its own.
	Gateways []string
}

// FindRecipients returns the recipients of the gateway self. The candidates of a domain are its first
// gateways by ID, in the order in which readers of the store are chosen.
func FindRecipients(self feed.Member, members []feed.Member) Recipients {
	domains := map[fleet.Domain][]feed.Member{self.Domain: {self}}
	for _, m := range members {
		if m.Gateway && m.ID != self.ID {
			domains[m.Domain] = append(domains[m.Domain], m)
		}
	}
	var r Recipients
	for d, ms := range domains {
		if d != self.Domain {
			r.Others = append(r.Others, nil)
		}
		slices.SortFunc(ms, func(a, b feed.Member) int { return cmp.Compare(a.ID, b.ID) })
		for i, m := range ms {
			r.Gateways = append(r.Gateways, m.ID)
			candidate := i < candidatesPerDomain
			switch {
			case m.ID == self.ID:
				r.Candidate = candidate
				continue
			case d == self.Domain:
				r.Domain = append(r.Domain, m)
			}
			if candidate && d == self.Domain {
				r.Own = append(r.Own, m)
			} else if candidate {
				others := &r.Others[len(r.Others)-1]
				*others = append(*others, m)
			}
		}
	}
	return r
}
