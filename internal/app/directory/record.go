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
		Flags: recordFlags(r.Status), Payload: r,
	}
}

// marks returns what others should hear of at once beside the state.
func recordFlags(s *port.AgentStatus) (flags uint8) {
	if s == nil {
		return 0
	}
	for i, set := range []bool{s.Cordoned, s.Leaving, s.Ready} {
		if set {
			flags |= 1 << i
		}
	}
	return flags
}

// Sizes of a record in a message, without its strings.
const (
	stateOnlyBytes = 24
	recordBytes    = 40
	statusBytes    = 40
	labelBytes     = 6
)

// recordSize estimates the bytes of a record in a message.
func recordSize(r *membership.Record[port.MemberRecord]) int {
	if r.StateOnly {
		return stateOnlyBytes + len(r.ID)
	}
	payload := &r.Payload
	n := recordBytes + len(r.ID) + len(r.Domain) + len(payload.Region) + len(r.Address) + len(payload.AdminAddress)
	for k, v := range payload.Labels {
		n += labelBytes + len(k) + len(v)
	}
	if status := payload.Status; status != nil {
		n += statusBytes + len(status.Group) + len(status.Service) + len(status.Version) + len(status.Progress.Target) +
			len(status.Progress.State) + len(status.Progress.Reason)
	}
	return n
}

// toMessage leaves out records that no process may send.
func (d *Directory) toCoreMessage(m port.ExchangeMessage) membership.Message[port.MemberRecord] {
	out := membership.Message[port.MemberRecord]{
		From: m.From, Digest: m.Digest, Compare: m.Compare, Group: int(m.Group), Digests: m.Digests, Want: m.Want,
	}
	for _, l := range m.Leaves {
		out.Leaves = append(out.Leaves, int(l))
	}
	for _, r := range m.Records {
		if r.ID == "" || r.State > port.MemberDead {
			continue
		}
		d.intern.internRecord(&r)
		rec := membership.ObservedRecord[port.MemberRecord]{Record: toCore(r), Age: r.Age}
		rec.StateOnly = r.Address == ""
		out.Records = append(out.Records, rec)
	}
	return out
}

// fromMessage adds the revision.
func (d *Directory) fromCoreMessage(m membership.Message[port.MemberRecord]) port.ExchangeMessage {
	snap, age := d.rev.Snapshot(d.deps.Clock.Now())
	out := port.ExchangeMessage{
		From: m.From, Age: age, Digest: m.Digest, Compare: m.Compare, Group: uint32(m.Group), Digests: m.Digests, Want: m.Want,
	}
	if snap.Declaration != nil {
		out.Revision = snap.Declaration.Revision
	}
	for _, l := range m.Leaves {
		out.Leaves = append(out.Leaves, uint32(l))
	}
	for _, rec := range m.Records {
		r := fromCore(rec)
		if rec.StateOnly {
			r.ID = rec.ID
		}
		out.Records = append(out.Records, r)
	}
	return out
}

// fromCore returns the payload with what the table knows better.
func fromCore(rec membership.ObservedRecord[port.MemberRecord]) port.MemberRecord {
	out := rec.Payload
	out.Incarnation, out.Version, out.State, out.Age = rec.Incarnation, rec.Version, port.MemberState(rec.State), rec.Age
	return out
}

// ownRecord is what the process says of itself. The table holds the version
// that was published last. One lock covers the record and its publication, so
// that two changes cannot be published in the wrong order.
type selfRecord struct {
	mu          sync.Mutex
	rec         port.MemberRecord
	unpublished bool
	publishedAt time.Time
}

// UpdateSelf implements port.Directory. A change other than of load and progress
// is published at once; a change of state is announced at once as well. change
// runs under a lock and must not call the Directory.
func (d *Directory) UpdateSelf(change func(*port.MemberRecord)) {
	now := d.deps.Clock.Now()
	d.self.mu.Lock()
	old := d.self.rec
	rec := cloneRecord(old)
	change(&rec)
	d.self.rec, d.self.unpublished = rec, true
	urgent := isUrgentChange(old, rec)
	if urgent || now.Sub(d.self.publishedAt) >= d.minStatusInterval() {
		d.publishLocked(now)
	}
	d.self.mu.Unlock()
	if urgent {
		signal(d.selfChanged)
		d.notify()
	}
}

// stateChanged reports whether others should hear of the change at once.
func isUrgentChange(a, b port.MemberRecord) bool {
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
	d.self.rec.Revision = max(d.self.rec.Revision, d.rev.Revision())
	d.self.unpublished, d.self.publishedAt = false, now
	rec := cloneRecord(d.self.rec)
	d.table.UpdateSelf(now, func(r *membership.Record[port.MemberRecord]) {
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
	d.self.mu.Lock()
	defer d.self.mu.Unlock()
	if d.self.rec.Revision == 0 {
		d.publishLocked(d.deps.Clock.Now())
	}
}

// statusPerMember times the number of members is the least time between two
// versions of a record that differ in load and progress only. Only operators
// read these from records, and a spread to 600 VMs would otherwise change 120
// records a second.
const statusDelayPerMember = 100 * time.Millisecond

func (d *Directory) minStatusInterval() time.Duration {
	return max(d.cfg.StatusInterval, time.Duration(d.table.Len())*statusDelayPerMember)
}

// flushSelf publishes changes that waited for statusGap.
func (d *Directory) publishPending(now time.Time) {
	d.self.mu.Lock()
	defer d.self.mu.Unlock()
	if d.self.unpublished && now.Sub(d.self.publishedAt) >= d.minStatusInterval() {
		d.publishLocked(now)
	}
}
