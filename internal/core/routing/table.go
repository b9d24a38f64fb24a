package routing

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// StatusMaxAge is the age after which a reported status is not used. Agents
// report each second, so it allows one report to be lost.
const StatusMaxAge = 2500 * time.Millisecond

// FullPause is the time in which a target that refused a request for lack of
// room gets no other one, unless an answer brings a newer load. It bounds the
// refusals that one target gives to one entry to 100 a second.
const FullPause = 10 * time.Millisecond

// Pool names the targets that can serve a request: those of a group or those
// of a service. Exactly one field is set.
type Pool struct {
	Group   fleet.Group
	Service fleet.Service
}

// String returns the name of the pool for metrics.
func (p Pool) String() string {
	if p.Service != "" {
		return "service/" + string(p.Service)
	}
	return "group/" + string(p.Group)
}

// TargetStatus is the state of a target as its agent reports it.
type TargetStatus struct {
	VM       fleet.VM
	Domain   fleet.Domain
	Address  fleet.Address
	Pool     Pool
	Version  fleet.Version
	InFlight int
	Limit    int
	Usable   bool
}

// target is what the table holds of one VM. own counts the requests of this
// entry in the target; ownSeen is own at the time of the last load report.
type target struct {
	TargetStatus
	at      time.Time
	known   bool
	own     int
	ownSeen int
	// fullUntil is the end of the pause after a refusal for lack of room.
	fullUntil time.Time
}

// estimate is the number of requests in the target: the reported number plus
// those that this entry started since.
func (t *target) estimate() int { return max(t.InFlight+t.own-t.ownSeen, t.own) }

func (t *target) fresh(now time.Time) bool { return t.known && now.Sub(t.at) <= StatusMaxAge }

// Table holds the reported state of the watched targets, sharded by VM, and
// the requests that wait for a change of it, sharded by pool. No method holds
// the locks of both at once.
type Table struct {
	targets *shard.Map[fleet.VM, target]
	lines   lines
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{shard.New[fleet.VM, target](0), newLines()} }

// RecordStatus records a status of a target.
func (t *Table) RecordStatus(r TargetStatus, now time.Time) {
	t.targets.Update(r.VM, func(v target, _ bool) (target, bool) {
		v.TargetStatus, v.at, v.known, v.ownSeen = r, now, true, v.own
		return v, true
	})
	if r.Usable {
		t.lines.wake(r.Pool, nil)
	}
}

// RecordLoad records a load that came with an answer.
func (t *Table) RecordLoad(vm fleet.VM, inFlight, limit int) {
	var p Pool
	room := false
	t.targets.Update(vm, func(v target, ok bool) (target, bool) {
		v.InFlight, v.Limit, v.ownSeen, v.fullUntil = inFlight, limit, v.own, time.Time{}
		p, room = v.Pool, v.estimate() < v.Limit
		return v, ok
	})
	if room {
		t.lines.wake(p, nil)
	}
}

// RecordFull records that a target refused a request for lack of room. Without the
// pause, each place that becomes free in the queue would be spent on the same
// refusal. Done was called for the request, which the load does not include.
func (t *Table) RecordFull(vm fleet.VM, inFlight, limit int, now time.Time) {
	t.targets.Update(vm, func(v target, ok bool) (target, bool) {
		v.InFlight, v.Limit, v.ownSeen, v.fullUntil = inFlight, limit, v.own, now.Add(FullPause)
		return v, ok
	})
}

// Forget stops using a target whose status stream ended. Its count of own
// requests is kept until they end.
func (t *Table) Forget(vm fleet.VM) {
	t.targets.Update(vm, func(v target, _ bool) (target, bool) {
		v.known = false
		return v, v.own > 0
	})
}

// Reserve counts a request of this entry in a target. It returns false and
// counts nothing if the requests of this entry alone fill the target. Done
// ends the count.
func (t *Table) Reserve(vm fleet.VM) bool {
	started := false
	t.targets.Update(vm, func(v target, ok bool) (target, bool) {
		if started = !v.known || v.own < v.Limit; started {
			v.own++
		}
		return v, ok || started
	})
	return started
}

// Release ends the count of one Start.
func (t *Table) Release(vm fleet.VM) {
	var p Pool
	t.targets.Update(vm, func(v target, _ bool) (target, bool) {
		v.own--
		p = v.Pool
		return v, v.known || v.own > 0
	})
	t.lines.wake(p, nil)
}

// CheckUsable reports whether a fresh status of the VM is held, and whether it says
// that the target takes work.
func (t *Table) CheckUsable(vm fleet.VM, now time.Time) (usable, fresh bool) {
	v, _ := t.targets.Get(vm)
	fresh = v.fresh(now)
	return fresh && v.Usable, fresh
}

// IsPaused reports whether the VM has just refused a request for lack of room.
func (t *Table) IsPaused(vm fleet.VM, now time.Time) bool {
	v, _ := t.targets.Get(vm)
	return !now.After(v.fullUntil)
}

// Capacity is what the usable targets of a pool can bear.
type Capacity struct {
	Targets int
	// Limit is the sum of the targets' limits, OwnInFlight what this entry uses of it,
	// and Free what seems unused.
	Limit, OwnInFlight, Free int
}

// Capacity sums over a pool's usable targets.
func (t *Table) Capacity(p Pool, now time.Time) Capacity {
	var c Capacity
	t.targets.Range(func(_ fleet.VM, v target) bool {
		if v.Pool == p && v.fresh(now) && v.Usable {
			c.Targets++
			c.Limit += v.Limit
			c.OwnInFlight += v.own
			c.Free += max(0, v.Limit-v.estimate())
		}
		return true
	})
	return c
}

// Snapshot returns the fresh reports, for operators.
func (t *Table) Snapshot(now time.Time) []TargetStatus {
	var out []TargetStatus
	t.targets.Range(func(_ fleet.VM, v target) bool {
		if v.fresh(now) {
			r := v.TargetStatus
			r.InFlight = v.estimate()
			out = append(out, r)
		}
		return true
	})
	return out
}
