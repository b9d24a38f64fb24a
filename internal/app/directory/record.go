package directory

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/port"
)

// toCore converts a record without its age.
func toCore(r port.MemberRecord) membership.Record[port.MemberRecord] {
	return membership.Record[port.MemberRecord]{
		ID: r.ID, Kind: r.Kind, Domain: r.Domain, Address: r.Address,
		Incarnation: r.Incarnation, Version: r.Version, State: membership.State(r.State),
		Payload: r,
	}
}

// fromCore returns the payload with what the table knows better.
func fromCore(s membership.Seen[port.MemberRecord]) port.MemberRecord {
	r := s.Payload
	r.Incarnation, r.Version, r.State, r.Age = s.Incarnation, s.Version, port.MemberState(s.State), s.Age
	return r
}

// ownRecord is what the process says of itself. The table holds the version
// that was published last. One lock covers the record and its publication, so
// that two changes cannot be published in the wrong order.
type ownRecord struct {
	mu        sync.Mutex
	rec       port.MemberRecord
	dirty     bool
	published time.Time
}

// SetSelf implements port.Directory. A change other than of load and progress
// is published at once; a change of state is announced at once as well. change
// runs under a lock and must not call the Directory.
func (d *Directory) SetSelf(change func(*port.MemberRecord)) {
	now := d.deps.Clock.Now()
	d.own.mu.Lock()
	old := d.own.rec
	rec := cloneRecord(old)
	change(&rec)
	d.own.rec, d.own.dirty = rec, true
	state := stateChanged(old, rec)
	if state || now.Sub(d.own.published) >= d.cfg.StatusEvery {
		d.publishLocked(now)
	}
	d.own.mu.Unlock()
	if state {
		signal(d.announce)
		d.notify()
	}
}

// stateChanged reports whether others should hear of the change at once.
func stateChanged(a, b port.MemberRecord) bool {
	if a.State != b.State || (a.Status == nil) != (b.Status == nil) {
		return true
	}
	if a.Status == nil {
		return false
	}
	x, y := a.Status, b.Status
	return x.Leaving != y.Leaving || x.Cordoned != y.Cordoned || x.Ready != y.Ready || x.Version != y.Version ||
		x.Group != y.Group || x.Service != y.Service || x.BootID != y.BootID || x.Progress.Target != y.Progress.Target ||
		x.Progress.State != y.Progress.State
}

// publishLocked puts the own record into the table under a new version. The
// holder of own.mu takes one shard lock of the table; no code takes own.mu
// under a shard lock.
func (d *Directory) publishLocked(now time.Time) {
	d.own.rec.Revision = max(d.own.rec.Revision, d.rev.Revision())
	d.own.dirty, d.own.published = false, now
	rec := cloneRecord(d.own.rec)
	d.table.SetSelf(now, func(r *membership.Record[port.MemberRecord]) {
		inc, ver := r.Incarnation, r.Version
		*r = toCore(rec)
		r.Incarnation, r.Version = inc, ver
		if r.State != membership.Leaving {
			r.State = membership.Alive
		}
	})
}

// publishFirstRevision publishes the own record once a revision is held. Later
// revisions go along with the next change of the record: a change of the
// declaration must not rewrite the record of every process, which would take
// the fleet longer to pass on than the time between two changes. An exchange
// tells the revision of its sender in any case.
func (d *Directory) publishFirstRevision() {
	d.own.mu.Lock()
	defer d.own.mu.Unlock()
	if d.own.rec.Revision == 0 {
		d.publishLocked(d.deps.Clock.Now())
	}
}

// flushSelf publishes changes that waited for StatusEvery.
func (d *Directory) flushSelf(now time.Time) {
	d.own.mu.Lock()
	defer d.own.mu.Unlock()
	if d.own.dirty && now.Sub(d.own.published) >= d.cfg.StatusEvery {
		d.publishLocked(now)
	}
}

// recordsPerSecond and recordsBurst bound how many records of others a process
// passes on. A record has about 150 bytes, so that the steady rate is about
// 1.2 KB/s; the burst lets a fleet of 60 machines settle at once.
const (
	recordsPerSecond = 4
	recordsBurst     = 128
)

// budget is a token bucket for records of others.
type budget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// take reserves records to pass on, at most want.
func (b *budget) take(want int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last.IsZero() {
		b.tokens, b.last = recordsBurst, now
	}
	b.tokens = min(recordsBurst, b.tokens+now.Sub(b.last).Seconds()*recordsPerSecond)
	b.last = now
	n := max(0, min(want, int(b.tokens)))
	b.tokens -= float64(n)
	return n
}

// giveBack returns what was reserved and not used.
func (b *budget) giveBack(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += float64(n)
}
