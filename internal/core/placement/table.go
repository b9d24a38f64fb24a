package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// Table holds the targets of all services.
type Table struct {
	targets *shard.Map[fleet.Instance, *targetState]
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{targets: shard.New[fleet.Instance, *targetState](0)}
}

// Set adds or changes a target. What is known of its load stays, unless the
// instance has started again.
func (t *Table) Set(x Target) {
	t.targets.Update(x.Instance, func(s *targetState, ok bool) (*targetState, bool) {
		if !ok || s.Started != x.Started {
			own := 0
			if ok {
				own = s.ownInFlight
			}
			return &targetState{Target: x, ownInFlight: own}, true
		}
		s.Target = x
		return s, true
	})
}

// Remove forgets a target.
func (t *Table) Remove(id fleet.Instance) { t.targets.Delete(id) }

// Retain forgets all targets that keep does not name.
func (t *Table) Retain(keep map[fleet.Instance]bool) {
	var gone []fleet.Instance
	t.targets.Range(func(id fleet.Instance, _ *targetState) bool {
		if !keep[id] {
			gone = append(gone, id)
		}
		return true
	})
	for _, id := range gone {
		t.targets.Delete(id)
	}
}

// RecordLoad records a target's own count of its load.
func (t *Table) RecordLoad(id fleet.Instance, l Load, now time.Time) {
	t.update(id, func(s *targetState) {
		s.load, s.reportedAt, s.ownAtReport, s.othersSinceReport = l, now, s.ownInFlight, 0
	})
}

// RecordRemoteRequest records a request that another process has sent to a target, and the time
// that the target needs to read it.
func (t *Table) RecordRemoteRequest(id fleet.Instance, read time.Duration, now time.Time) {
	t.update(id, func(s *targetState) {
		s.othersSinceReport++
		s.addPrefill(read, now)
	})
}

// InstanceAt returns the newest run of a target at an address.
func (t *Table) InstanceAt(addr fleet.Address) (fleet.Instance, bool) {
	var best fleet.Instance
	var started int64 = -1
	t.targets.Range(func(id fleet.Instance, s *targetState) bool {
		if s.Address == addr && s.Started > started {
			best, started = id, s.Started
		}
		return true
	})
	return best, best != ""
}

// Release records that a request of this process has left the target.
func (t *Table) Release(id fleet.Instance) {
	t.update(id, func(s *targetState) { s.ownInFlight = max(0, s.ownInFlight-1) })
}

func (t *Table) update(id fleet.Instance, f func(*targetState)) {
	t.targets.Update(id, func(s *targetState, ok bool) (*targetState, bool) {
		if ok {
			f(s)
		}
		return s, ok
	})
}

const (
	// busyPause is the time for which a target that refused a request is left
	// alone. An engine ends about one request in this time.
	busyPause = 100 * time.Millisecond
	// failurePause is the first pause after a lost request; it doubles with each
	// further one, up to failPauseMax.
	failurePause    = 250 * time.Millisecond
	maxFailurePause = 4 * time.Second
	// addressLostPause is the pause after a refusal by another instance at the same
	// address. The registry removes the entry in the meantime.
	addressLostPause = 5 * time.Second
)

// RecordBusy records a refusal for lack of room.
func (t *Table) RecordBusy(id fleet.Instance, now time.Time) {
	t.update(id, func(s *targetState) { s.pausedUntil = now.Add(busyPause) })
}

// RecordAddressLost records that the instance no longer has its address.
func (t *Table) RecordAddressLost(id fleet.Instance, now time.Time) {
	t.update(id, func(s *targetState) { s.pausedUntil = now.Add(addressLostPause) })
}

// RecordFailure records a request that was lost at the target.
func (t *Table) RecordFailure(id fleet.Instance, now time.Time) {
	t.update(id, func(s *targetState) {
		pause := min(failurePause<<min(s.failures, 8), maxFailurePause)
		s.failures++
		s.pausedUntil = now.Add(pause)
	})
}

// RecordFirstEvent records the time after which a target sent its first event, and the
// one that was predicted.
func (t *Table) RecordFirstEvent(id fleet.Instance, after, predicted time.Duration, now time.Time) {
	t.update(id, func(s *targetState) { s.recordLateness(after-predicted, now) })
}

// RecordSuccess records a request that was answered.
func (t *Table) RecordSuccess(id fleet.Instance) {
	t.update(id, func(s *targetState) { s.failures = 0 })
}

// Usage is what the targets of a service take and hold.
type Usage struct {
	// Targets counts those that take new requests.
	Targets int
	// Slots is the number of requests that these work on at once.
	Slots int
	// Requests is the number that they probably hold.
	Requests float64
}

// Usage returns the usage by service. processes is the number of processes that
// send to the same targets.
func (t *Table) Usage(now time.Time, processes float64) map[fleet.Service]Usage {
	out := map[fleet.Service]Usage{}
	t.targets.Range(func(_ fleet.Instance, s *targetState) bool {
		u := out[s.Service]
		if !s.Draining && !now.Before(s.pausedUntil) {
			u.Targets++
			u.Slots += s.slots()
			u.Requests += s.estimatedInFlight(now, processes)
		}
		out[s.Service] = u
		return true
	})
	return out
}
