package routing

import "github.com/masticwing/masticwing/internal/core/fleet"

const (
	// MaxWatchedAgents bounds the agents that an entry watches for one group or
	// service.
	MaxWatchedAgents = 32
	// maxOwn leaves room for agents of other failure domains, so that an entry
	// still has targets at once when its own domain leaves service.
	maxOwn = 24
)

// Agent is an agent that an entry may watch.
type Agent struct {
	VM      fleet.VM
	Domain  fleet.Domain
	Address fleet.Address
}

// Subset returns the agents of one group that an entry watches. Agents of the
// entry's own domain come first; the rest are ranked by rendezvous hash of
// (entry, agent), which spreads the watches of many entries evenly.
func Subset(entry string, own fleet.Domain, agents []Agent) []Agent {
	byID := make(map[string]Agent, len(agents))
	var near, far []string
	for _, a := range agents {
		byID[string(a.VM)] = a
		if a.Domain == own {
			near = append(near, string(a.VM))
		} else {
			far = append(far, string(a.VM))
		}
	}
	key := Hash("watch", entry)
	near, far = RendezvousRank(key, near), RendezvousRank(key, far)
	ownCount := min(len(near), max(maxOwn, MaxWatchedAgents-len(far)), MaxWatchedAgents)
	farCount := min(len(far), MaxWatchedAgents-ownCount)
	out := make([]Agent, 0, ownCount+farCount)
	for _, id := range append(near[:ownCount:ownCount], far[:farCount]...) {
		out = append(out, byID[id])
	}
	return out
}
