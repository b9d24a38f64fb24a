package routing

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// StatusMaxAge is the age above which a reported status is ignored. Agents report
// every second, so one report may be lost.
const StatusMaxAge = 2500 * time.Millisecond

// FullPause is the time for which a target gets no requests after it refused one
// for lack of capacity, unless a response brings a newer load. It limits the refusals
// that one target sends to one entry to 100 per second.
const FullPause = 10 * time.Millisecond

// Pool identifies the targets that can serve a request: those of a group or those of
// a service. Exactly one field is set.
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

// TargetStatus is the state of a target as reported by its agent.
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

// target is the table's state of one VM.
type target struct {
	TargetStatus
	reportedAt time.Time
	// hasStatus is cleared when the status stream ends.
	hasStatus bool
	// ownInFlight is the number of this entry's requests in the target, and
	// ownAtReport its value at the time of the last load report.
	ownInFlight int
	ownAtReport int
	// fullUntil is the end of the pause after a refusal for lack of capacity.
	fullUntil time.Time
}

// estimatedInFlight estimates the number of requests in the target: the last reported
// number, adjusted by the change in this entry's own requests since.
func (t *target) estimatedInFlight() int {
	return max(t.InFlight+t.ownInFlight-t.ownAtReport, t.ownInFlight)
}

func (t *target) fresh(now time.Time) bool {
	return t.hasStatus && now.Sub(t.reportedAt) <= StatusMaxAge
}

// Table holds the reported state of the watched targets, sharded by VM, and the
// requests that wait for a change of that state, sharded by pool. No method holds a
// lock of each at the same time.
type Table struct {
	targets    *shard.Map[fleet.VM, target]
	waitQueues waitQueues
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{shard.New[fleet.VM, target](0), newWaitQueues()} }

// RecordStatus records a reported status and, if the target is usable, wakes a waiter.
func (t *Table) RecordStatus(r TargetStatus, now time.Time) {
	t.targets.Update(r.VM, func(v target, _ bool) (target, bool) {
		v.TargetStatus, v.reportedAt, v.hasStatus, v.ownAtReport = r, now, true, v.ownInFlight
		return v, true
	})
	if r.Usable {
		t.waitQueues.wake(r.Pool, nil)
	}
}

// RecordLoad records the load that a response stated. It wakes a waiter if the target
// has capacity.
func (t *Table) RecordLoad(vm fleet.VM, inFlight, limit int) {
	var p Pool
	free := false
	t.targets.Update(vm, func(v target, ok bool) (target, bool) {
		v.InFlight, v.Limit, v.ownAtReport, v.fullUntil = inFlight, limit, v.ownInFlight, time.Time{}
		p, free = v.Pool, v.estimatedInFlight() < v.Limit
		return v, ok
	})
	if free {
		t.waitQueues.wake(p, nil)
	}
}

// RecordFull records that a target refused a request for lack of capacity, and
// pauses the target. Without the pause, each request that reaches the head of the
// queue would be sent there and refused again. The caller has already called Release
// for the refused request, which the load does not include.
func (t *Table) RecordFull(vm fleet.VM, inFlight, limit int, now time.Time) {
	t.targets.Update(vm, func(v target, ok bool) (target, bool) {
		v.InFlight, v.Limit, v.ownAtReport, v.fullUntil = inFlight, limit, v.ownInFlight, now.Add(FullPause)
		return v, ok
	})
}

// Forget stops using a target whose status stream ended. The count of this entry's
// requests in it is kept until they end.
func (t *Table) Forget(vm fleet.VM) {
	t.targets.Update(vm, func(v target, _ bool) (target, bool) {
		v.hasStatus = false
		return v, v.ownInFlight > 0
	})
}

// Reserve counts a request of this entry in a target, until Release. It returns false
// and counts nothing if the requests of this entry alone reach the target's limit.
func (t *Table) Reserve(vm fleet.VM) bool {
	reserved := false
	t.targets.Update(vm, func(v target, ok bool) (target, bool) {
		if reserved = !v.hasStatus || v.ownInFlight < v.Limit; reserved {
			v.ownInFlight++
		}
		return v, ok || reserved
	})
	return reserved
}

// Release ends the count of one Reserve and wakes a waiter.
func (t *Table) Release(vm fleet.VM) {
	var p Pool
	t.targets.Update(vm, func(v target, _ bool) (target, bool) {
		v.ownInFlight--
		p = v.Pool
		return v, v.hasStatus || v.ownInFlight > 0
	})
	t.waitQueues.wake(p, nil)
}

// CheckUsable reports whether the table holds a fresh status of the VM, and whether
// the VM takes requests according to it.
func (t *Table) CheckUsable(vm fleet.VM, now time.Time) (usable, fresh bool) {
	v, _ := t.targets.Get(vm)
	fresh = v.fresh(now)
	return fresh && v.Usable, fresh
}

// IsPaused reports whether the VM is paused after a refusal for lack of capacity.
func (t *Table) IsPaused(vm fleet.VM, now time.Time) bool {
	v, _ := t.targets.Get(vm)
	return !now.After(v.fullUntil)
}

// Capacity is the total capacity of the usable targets of a pool.
type Capacity struct {
	Targets int
	// Limit is the sum of the targets' limits, OwnInFlight the number of this
	// entry's requests, and Free the estimated number of unused slots.
	Limit, OwnInFlight, Free int
}

// Capacity returns the capacity of a pool's usable targets with a fresh status.
func (t *Table) Capacity(p Pool, now time.Time) Capacity {
	var c Capacity
	t.targets.Range(func(_ fleet.VM, v target) bool {
		if v.Pool == p && v.fresh(now) && v.Usable {
			c.Targets++
			c.Limit += v.Limit
			c.OwnInFlight += v.ownInFlight
			c.Free += max(0, v.Limit-v.estimatedInFlight())
		}
		return true
	})
	return c
}

// Snapshot returns the fresh statuses, with estimated loads, for display to operators.
func (t *Table) Snapshot(now time.Time) []TargetStatus {
	var out []TargetStatus
	t.targets.Range(func(_ fleet.VM, v target) bool {
		if v.fresh(now) {
			r := v.TargetStatus
			r.InFlight = v.estimatedInFlight()
			out = append(out, r)
		}
		return true
	})
	return out
}
