package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// MaxTurnWait is the longest time that a member waits for its turn to leave
// rotation. It lets a rollout proceed if members never return to rotation.
const MaxTurnWait = 30 * time.Second

// Peer is the state of a member of a group that changes its version with the overlap
// drain-first.
type Peer struct {
	VM fleet.VM
	// Serving is true while the member is in rotation.
	Serving bool
	// Updated is true once the member serves the target.
	Updated bool
}

// MayLeaveRotation reports whether self may leave rotation to load the target. At
// most half of the group, but at least one member, is out of rotation at a time, so
// that a change does not stop the whole group. All members compute the same order
// of turns. More than half may be out for the time of one exchange while members
// have different information.
func MayLeaveRotation(self fleet.VM, target fleet.Version, peers []Peer, waited time.Duration) bool {
	if waited >= MaxTurnWait {
		return true
	}
	outOfRotation := 0
	var waiting []fleet.VM
	for _, p := range peers {
		switch {
		case !p.Serving:
			outOfRotation++
		case !p.Updated:
			waiting = append(waiting, p.VM)
		}
	}
	slices.SortFunc(waiting, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(turnRank(a, target), turnRank(b, target)), cmp.Compare(a, b))
	})
	turn := slices.Index(waiting, self)
	return turn < max(1, len(peers)/2)-outOfRotation
}

// turnRank is the hash by which the turns of a rollout are ordered.
func turnRank(vm fleet.VM, v fleet.Version) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}
