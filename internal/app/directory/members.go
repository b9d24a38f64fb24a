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
const memberListTTL = time.Second

// memberList is an answer of Members.
type memberList struct {
	records   []port.MemberRecord
	createdAt time.Time
}

// Members implements port.Directory. The slice and the records are shared and
// must not be modified. The process itself is among them.
func (d *Directory) Members(k fleet.Kind) []port.MemberRecord {
	now := d.deps.Clock.Now()
	if l, ok := d.memberLists.Get(k); ok && now.Sub(l.createdAt) < memberListTTL {
		return l.records
	}
	var out []port.MemberRecord
	d.table.Range(now, func(rec membership.ObservedRecord[port.MemberRecord]) bool {
		if rec.Kind == k && !rec.ConfirmedDead {
			out = append(out, fromCore(rec))
		}
		return true
	})
	d.memberLists.Put(k, memberList{out, now})
	return out
}

// forgetLists makes the next call of Members look at the table. A call that is
// under way may still store what it saw before the change; subscribers that
// were woken by that change see the next one within listFor.
func (d *Directory) invalidateMemberLists() {
	d.memberLists.Delete(fleet.KindEntry)
	d.memberLists.Delete(fleet.KindAgent)
}
