package directory

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/port"
)

// memberListTTL is the time for which Members returns a cached list, unless the
// table changes. An entry calls Members several times a second, and a copy of
// 2,790 records takes about 1 MB.
const memberListTTL = time.Second

// memberList is a cached result of Members.
type memberList struct {
	records   []port.MemberRecord
	createdAt time.Time
}

// Members implements port.Directory. The list includes this process. The slice
// and its records are shared and must not be modified.
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

// invalidateMemberLists makes the next call of Members read the table. A
// concurrent call may still cache the state before the change; subscribers woken
// by the change then see it within memberListTTL.
func (d *Directory) invalidateMemberLists() {
	d.memberLists.Delete(fleet.KindEntry)
	d.memberLists.Delete(fleet.KindAgent)
}
