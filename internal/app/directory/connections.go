package directory

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/port"
)

// connectionCheckInterval is the time between two checks of the connections to members that have left.
const connectionCheckInterval = time.Second

// connectionLoop closes idle connections to dead members until ctx ends. One whose machine stands still or
// is cut off closes none itself, and the next call would first find out.
func (d *Directory) connectionLoop(ctx context.Context) {
	for d.sleep(ctx, connectionCheckInterval) {
		dead := d.deadAddresses()
		if len(dead) == 0 {
			continue
		}
		for _, c := range d.deps.Connections {
			c.Retain(func(a fleet.Address) bool { return !dead[a] })
		}
	}
}

// deadAddresses returns the addresses of members that are dead, without those that a live member uses.
func (d *Directory) deadAddresses() map[fleet.Address]bool {
	now, dead := d.deps.Clock.Now(), map[fleet.Address]bool{}
	each := func(f func(a fleet.Address, isDead bool)) {
		d.table.Range(now, func(rec membership.ObservedRecord[port.MemberRecord]) bool {
			f(rec.Address, rec.ConfirmedDead)
			return true
		})
	}
	each(func(a fleet.Address, isDead bool) {
		if isDead {
			dead[a] = true
		}
	})
	if len(dead) > 0 {
		each(func(a fleet.Address, isDead bool) {
			if !isDead {
				delete(dead, a)
			}
		})
	}
	return dead
}
