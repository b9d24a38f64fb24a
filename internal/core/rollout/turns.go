package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// TurnPatience is the longest time that a machine waits for its turn to leave
// rotation. It bounds a rollout past members that never come back.
const TurnPatience = 30 * time.Second

// Peer is what is known of a member of a group that changes its version with
// overlap drain-first.
type Peer struct {
	VM fleet.VM
	// Serving is true while the member is in rotation.
	Serving bool
	// Updated is true once the member serves the target.
	Updated bool
}

// MayLeave reports whether self may leave rotation to load the target. At most
// half of the group is out of rotation at a time, in an order that all members
// compute alike, so that a change does not stop the whole group. Members whose
// views differ may go past the half for the time of one exchange.
func MayLeave(self fleet.VM, target fleet.Version, peers []Peer, waited time.Duration) bool {
	if waited >= TurnPatience {
		return true
	}
	out := 0
	var waiting []fleet.VM
	for _, p := range peers {
		switch {
		case !p.Serving:
			out++
		case !p.Updated:
			waiting = append(waiting, p.VM)
		}
	}
	slices.SortFunc(waiting, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(turnHash(a, target), turnHash(b, target)), cmp.Compare(a, b))
	})
	turn := slices.Index(waiting, self)
	return turn < max(1, len(peers)/2)-out
}

func turnHash(vm fleet.VM, v fleet.Version) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}
