package directory

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/port"
)

// toCore converts a record to the form of the member table, without its age.
func toCore(r port.MemberRecord) membership.Record[port.MemberRecord] {
	return membership.Record[port.MemberRecord]{
		ID: r.ID, Kind: r.Kind, Domain: r.Domain, Address: r.Address,
		Incarnation: r.Incarnation, Version: r.Version, State: membership.State(r.State),
		Flags: recordFlags(r.Status), Payload: r,
	}
}

// recordFlags returns the parts of a status that are spread urgently, like the
// member state, as a bit set.
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

// Estimated sizes of the parts of a record in a message, without strings.
const (
	stateOnlyBytes = 24
	recordBytes    = 40
	statusBytes    = 40
	labelBytes     = 6
)

// recordSize estimates the encoded size of a record in bytes.
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

// toCoreMessage converts a received message, dropping invalid records: those
// without an id or with an unknown state.
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

// fromCoreMessage converts a message to be sent and adds the revision of the
// declaration and its age.
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

// fromCore converts a record of the member table. Incarnation, version, state and
// age come from the table, since the payload's may be older.
func fromCore(rec membership.ObservedRecord[port.MemberRecord]) port.MemberRecord {
	out := rec.Payload
	out.Incarnation, out.Version, out.State, out.Age = rec.Incarnation, rec.Version, port.MemberState(rec.State), rec.Age
	return out
}

// selfRecord is the current record of this process. The table holds the last
// published version of it. One lock covers the record and its publication, so that
// two changes cannot be published in the wrong order.
type selfRecord struct {
	mu          sync.Mutex
	rec         port.MemberRecord
	unpublished bool
	publishedAt time.Time
}

// UpdateSelf implements port.Directory. An urgent change (see isUrgentChange) is
// published and announced immediately; other changes are published at most once
// per minStatusInterval. change runs under a lock and must not call the Directory.
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

// isUrgentChange reports whether the change from a to b must be announced
// immediately.
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

// publishLocked puts the record of this process into the table under a new
// version. The caller holds self.mu. Lock order: self.mu before a shard lock of
// the table, never the reverse.
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

// publishFirstRevision publishes the record of this process when it knows its
// first revision. Later revisions are published with the next change of the
// record: if a new declaration rewrote the record of every process, spreading the
// records would take the fleet longer than the time between two changes. Every
// exchange carries the revision of its sender in any case.
func (d *Directory) publishFirstRevision() {
	d.self.mu.Lock()
	defer d.self.mu.Unlock()
	if d.self.rec.Revision == 0 {
		d.publishLocked(d.deps.Clock.Now())
	}
}

// statusDelayPerMember times the number of members is the minimum time between
// two versions of a record that differ only in load and progress. Only operators
// read these from records, and a rollout to 600 VMs would otherwise change 120
// records per second.
const statusDelayPerMember = 100 * time.Millisecond

func (d *Directory) minStatusInterval() time.Duration {
	return max(d.cfg.StatusInterval, time.Duration(d.table.Len())*statusDelayPerMember)
}

// publishPending publishes changes that were delayed by minStatusInterval.
func (d *Directory) publishPending(now time.Time) {
	d.self.mu.Lock()
	defer d.self.mu.Unlock()
	if d.self.unpublished && now.Sub(d.self.publishedAt) >= d.minStatusInterval() {
		d.publishLocked(now)
	}
}
