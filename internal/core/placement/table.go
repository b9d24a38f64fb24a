package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// Table holds the targets of all services and what is known of their load.
type Table struct {
	targets *shard.Map[fleet.Instance, *targetState]
	// instancesAt holds the start times of the instances at each address. Each load report and
	// notice names its target by address, hundreds a second.
	instancesAt *shard.Map[fleet.Address, map[fleet.Instance]int64]
	// statements holds what is known of the weights of the target at each address.
	statements *shard.Map[fleet.Address, loaderStatement]
	// announced holds what targets have announced in their responses.
	announced *shard.Map[fleet.Instance, announced]
	// work holds the mean seconds that a plain service takes for a request at the usual speed.
	work *shard.Map[fleet.Service, float64]
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		targets: shard.New[fleet.Instance, *targetState](0), instancesAt: shard.New[fleet.Address, map[fleet.Instance]int64](0),
		statements: shard.New[fleet.Address, loaderStatement](0), announced: shard.New[fleet.Instance, announced](0),
		work: shard.New[fleet.Service, float64](4),
	}
}

// Set adds or updates a target. The known load is kept unless the instance has
// restarted; the number of this process's requests in it is always kept.
func (t *Table) Set(x Target) {
	var before fleet.Address
	statement := t.statementAt(x)
	t.targets.Update(x.Instance, func(s *targetState, ok bool) (*targetState, bool) {
		if ok {
			before = s.Address
		}
		if !ok || s.Started != x.Started {
			ownInFlight := 0
			if ok {
				ownInFlight = s.ownInFlight
			}
			return &targetState{Target: x, ownInFlight: ownInFlight, loaded: &statement}, true
		}
		if s.ColdUntil.After(x.ColdSince) {
			x.ColdSince = s.ColdSince
		}
		s.Target = x
		return s, true
	})
	if before != "" && before != x.Address {
		t.removeAddress(before, x.Instance)
	}
	t.instancesAt.Update(x.Address, func(m map[fleet.Instance]int64, ok bool) (map[fleet.Instance]int64, bool) {
		if !ok {
			m = map[fleet.Instance]int64{}
		}
		m[x.Instance] = x.Started
		return m, true
	})
	t.adoptStatement(x)
	t.adoptAnnounced(x.Instance)
}

func (t *Table) removeAddress(addr fleet.Address, id fleet.Instance) {
	t.instancesAt.Update(addr, func(m map[fleet.Instance]int64, _ bool) (map[fleet.Instance]int64, bool) {
		delete(m, id)
		return m, len(m) > 0
	})
}

// Remove deletes a target.
func (t *Table) Remove(id fleet.Instance) {
	var addr fleet.Address
	t.update(id, func(s *targetState) { addr = s.Address })
	t.targets.Delete(id)
	t.removeAddress(addr, id)
}

// Retain deletes all targets that are not in keep.
func (t *Table) Retain(keep map[fleet.Instance]bool) {
	var removed []fleet.Instance
	t.targets.Range(func(id fleet.Instance, _ *targetState) bool {
		if !keep[id] {
			removed = append(removed, id)
		}
		return true
	})
	for _, id := range removed {
		t.Remove(id)
	}
}

// RecordLoad records a load report of a target.
func (t *Table) RecordLoad(id fleet.Instance, l Load, now time.Time) {
	t.update(id, func(s *targetState) {
		s.load, s.reportedAt, s.ownAtReport, s.othersSinceReport, s.tokensSinceReport = l, now, s.ownInFlight, 0, 0
	})
}

// RecordRemoteRequest records a request that another process has sent to a target, the tokens of its
// prompt and the time that the target needs for its prefill. It returns the service of the target, or
// nothing if the target is not known.
func (t *Table) RecordRemoteRequest(id fleet.Instance, promptTokens int, prefill time.Duration, now time.Time) (service fleet.Service) {
	t.update(id, func(s *targetState) {
		service = s.Service
		s.othersSinceReport++
		s.tokensSinceReport += promptTokens
		s.addPrefill(prefill, now)
	})
	return service
}

// InstanceAt returns the instance at an address. If several are registered there,
// it returns the one that started last.
func (t *Table) InstanceAt(addr fleet.Address) (fleet.Instance, bool) {
	var newest fleet.Instance
	var newestStart int64 = -1
	t.instancesAt.Update(addr, func(m map[fleet.Instance]int64, ok bool) (map[fleet.Instance]int64, bool) {
		for id, started := range m {
			if started > newestStart {
				newest, newestStart = id, started
			}
		}
		return m, ok
	})
	return newest, newest != ""
}

// TakesRequests reports whether an instance that takes new requests is registered at an address.
func (t *Table) TakesRequests(addr fleet.Address) bool {
	id, ok := t.InstanceAt(addr)
	if !ok {
		return false
	}
	takes := false
	t.update(id, func(s *targetState) { takes = !s.Draining && s.announced.leavingSince.IsZero() })
	return takes
}

// Release returns the slot that Choose reserved, after the request has left the
// target.
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
	// busyPause is the time for which a target gets no requests after it refused
	// one for lack of capacity. An engine finishes about one request in this time.
	busyPause = 100 * time.Millisecond
	// failurePause is the pause after the first lost request. It doubles with each
	// further one, up to maxFailurePause.
	failurePause    = 250 * time.Millisecond
	maxFailurePause = 4 * time.Second
	// addressLostPause is the pause after another instance has probably answered at the target's
	// address. The registry removes the outdated entry in the meantime.
	addressLostPause = 5 * time.Second
)

// RecordBusy records a refusal for lack of capacity.
func (t *Table) RecordBusy(id fleet.Instance, now time.Time) {
	t.update(id, func(s *targetState) { s.pausedUntil = now.Add(busyPause) })
}

// RecordMisdirected records that another instance answered at the target's address, or that the
// target holds other weights than the request stated. A recent load report shows that the instance
// still has its address.
func (t *Table) RecordMisdirected(id fleet.Instance, now time.Time) {
	t.update(id, func(s *targetState) {
		pause := addressLostPause
		if !s.loaded.registered && now.Sub(s.reportedAt) <= maxReportAge {
			pause = busyPause
		}
		s.pausedUntil = now.Add(pause)
	})
}

// RecordFailure records a request that was lost at the target.
func (t *Table) RecordFailure(id fleet.Instance, now time.Time) {
	t.update(id, func(s *targetState) {
		pause := min(failurePause<<min(s.failures, 8), maxFailurePause)
		s.failures++
		s.pausedUntil = now.Add(pause)
	})
}

// RecordFirstEvent records the actual and the predicted time to the first event
// of a response.
func (t *Table) RecordFirstEvent(id fleet.Instance, actual, predicted time.Duration, now time.Time) {
	t.update(id, func(s *targetState) { s.recordLateness(actual-predicted, now) })
}

// RecordNoEvent records that a response had no event after a time, and the predicted time to its
// first event. The first event would have been at least that late.
func (t *Table) RecordNoEvent(id fleet.Instance, waited, predicted time.Duration, now time.Time) {
	t.update(id, func(s *targetState) {
		if waited-predicted-latenessTolerance > s.expectedLateness(now) {
			s.recordLateness(waited-predicted, now)
		}
	})
}

// Silent reports whether an engine shows no sign of running: its machine probably stands still.
func (t *Table) Silent(id fleet.Instance, now time.Time) bool {
	silent := false
	t.update(id, func(s *targetState) { silent = s.silent(now) })
	return silent
}

// RecordAlive records that the target has sent a part of a response or has accepted a connection.
func (t *Table) RecordAlive(id fleet.Instance, now time.Time) {
	t.update(id, func(s *targetState) { s.heardAt = now })
}

// RecordSuccess records an answered request, which resets the failure pause.
func (t *Table) RecordSuccess(id fleet.Instance) {
	t.update(id, func(s *targetState) { s.failures = 0 })
}

// Usage is the capacity and the load of the targets of a service.
type Usage struct {
	// Targets is the number of targets that take new requests.
	Targets int
	// Slots is the total number of slots of these targets.
	Slots int
	// Requests is the estimated number of requests in them.
	Requests float64
	// Slow is the number of targets on which work is expected to take half as long again as usual, or longer.
	Slow int
}

// Usage returns the usage of each service. processes is the number of processes
// that send to the same targets.
func (t *Table) Usage(now time.Time, processes float64) map[fleet.Service]Usage {
	out := map[fleet.Service]Usage{}
	t.targets.Range(func(_ fleet.Instance, s *targetState) bool {
		u := out[s.Service]
		if !s.Draining && s.announced.leavingSince.IsZero() && s.announced.pauseLeft(now) == 0 && !now.Before(s.pausedUntil) {
			u.Targets++
			u.Slots += s.slots()
			u.Requests += s.estimatedInFlight(now, processes)
			if s.speed.expected(now) >= slowFactor {
				u.Slow++
			}
		}
		out[s.Service] = u
		return true
	})
	return out
}
