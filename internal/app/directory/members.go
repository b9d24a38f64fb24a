package directory

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/port"
)

// listFor is the longest time for which an answer of Members is used again. An
// entry asks several times a second, and a copy of 2,790 records takes about
// 1 MB. A change of the table ends the time at once.
const listFor = time.Second

// memberList is an answer of Members.
type memberList struct {
	records []port.MemberRecord
	made    time.Time
}

// Members implements port.Directory. The slice and the records are shared and
// must not be modified. The process itself is among them.
func (d *Directory) Members(k fleet.Kind) []port.MemberRecord {
	now := d.deps.Clock.Now()
	if l, ok := d.lists.Get(k); ok && now.Sub(l.made) < listFor {
		return l.records
	}
	var out []port.MemberRecord
	d.table.Range(now, func(s membership.ObservedRecord[port.MemberRecord]) bool {
		if s.Kind == k && !s.ConfirmedDead {
			out = append(out, fromCore(s))
		}
		return true
	})
	d.lists.Put(k, memberList{out, now})
	return out
}

// forgetLists makes the next call of Members look at the table. A call that is
// under way may still store what it saw before the change; subscribers that
// were woken by that change see the next one within listFor.
func (d *Directory) forgetLists() {
	d.lists.Delete(fleet.KindEntry)
	d.lists.Delete(fleet.KindAgent)
}
