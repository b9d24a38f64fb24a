package routing

import "github.com/masticwing/masticwing/internal/core/fleet"

const (
	// MaxWatchedAgents is the maximum number of agents that an entry watches for one
	// group or service.
	MaxWatchedAgents = 32
	// maxOwnDomainAgents is the maximum number of watched agents in the entry's own
	// failure domain, if there are enough others. The rest are in other domains, so
	// that the entry has targets at once when its own domain goes out of service.
	maxOwnDomainAgents = 24
)

// Agent is an agent whose status an entry may watch.
type Agent struct {
	VM      fleet.VM
	Domain  fleet.Domain
	Address fleet.Address
}

// Subset returns the agents of one group that an entry watches. Agents in the
// entry's own domain come first. Within the own and the other domains, agents are
// selected by rendezvous hashing of (entry, agent), which distributes the watches of
// many entries evenly.
func Subset(entry string, ownDomain fleet.Domain, agents []Agent) []Agent {
	byID := make(map[string]Agent, len(agents))
	var ownIDs, otherIDs []string
	for _, a := range agents {
		byID[string(a.VM)] = a
		if a.Domain == ownDomain {
			ownIDs = append(ownIDs, string(a.VM))
		} else {
			otherIDs = append(otherIDs, string(a.VM))
		}
	}
	key := Hash("watch", entry)
	ownIDs, otherIDs = RendezvousRank(key, ownIDs), RendezvousRank(key, otherIDs)
	ownCount := min(len(ownIDs), max(maxOwnDomainAgents, MaxWatchedAgents-len(otherIDs)), MaxWatchedAgents)
	otherCount := min(len(otherIDs), MaxWatchedAgents-ownCount)
	out := make([]Agent, 0, ownCount+otherCount)
	for _, id := range append(ownIDs[:ownCount:ownCount], otherIDs[:otherCount]...) {
		out = append(out, byID[id])
	}
	return out
}
