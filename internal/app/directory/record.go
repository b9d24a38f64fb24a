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
		Flags: marks(r.Status), Payload: r,
	}
}

// marks returns what others should hear of at once beside the state.
func marks(s *port.AgentStatus) (m uint8) {
	if s == nil {
		return 0
	}
	for i, set := range []bool{s.Cordoned, s.Leaving, s.Ready} {
		if set {
			m |= 1 << i
		}
	}
	return m
}

// Sizes of a record in a message, without its strings.
const (
	bareBytes   = 24
	memberBytes = 40
	statusBytes = 40
	labelBytes  = 6
)

// recordSize estimates the bytes of a record in a message.
func recordSize(r *membership.Record[port.MemberRecord]) int {
	if r.StateOnly {
		return bareBytes + len(r.ID)
	}
	p := &r.Payload
	n := memberBytes + len(r.ID) + len(r.Domain) + len(p.Region) + len(r.Address) + len(p.AdminAddress)
	for k, v := range p.Labels {
		n += labelBytes + len(k) + len(v)
	}
	if s := p.Status; s != nil {
		n += statusBytes + len(s.Group) + len(s.Service) + len(s.Version) + len(s.Progress.Target) +
			len(s.Progress.State) + len(s.Progress.Reason)
	}
	return n
}

// toMessage leaves out records that no process may send.
func (d *Directory) toMessage(m port.ExchangeMessage) membership.Message[port.MemberRecord] {
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
		d.intern.record(&r)
		s := membership.ObservedRecord[port.MemberRecord]{Record: toCore(r), Age: r.Age}
		s.StateOnly = r.Address == ""
		out.Records = append(out.Records, s)
	}
	return out
}

// fromMessage adds the revision.
func (d *Directory) fromMessage(m membership.Message[port.MemberRecord]) port.ExchangeMessage {
	h, age := d.rev.Snapshot(d.deps.Clock.Now())
	out := port.ExchangeMessage{
		From: m.From, Age: age, Digest: m.Digest, Compare: m.Compare, Group: uint32(m.Group), Digests: m.Digests, Want: m.Want,
	}
	if h.Declaration != nil {
		out.Revision = h.Declaration.Revision
	}
	for _, l := range m.Leaves {
		out.Leaves = append(out.Leaves, uint32(l))
	}
	for _, s := range m.Records {
		r := fromCore(s)
		if s.StateOnly {
			r.ID = s.ID
		}
		out.Records = append(out.Records, r)
	}
	return out
}

// fromCore returns the payload with what the table knows better.
func fromCore(s membership.ObservedRecord[port.MemberRecord]) port.MemberRecord {
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

// UpdateSelf implements port.Directory. A change other than of load and progress
// is published at once; a change of state is announced at once as well. change
// runs under a lock and must not call the Directory.
func (d *Directory) UpdateSelf(change func(*port.MemberRecord)) {
	now := d.deps.Clock.Now()
	d.own.mu.Lock()
	old := d.own.rec
	rec := cloneRecord(old)
	change(&rec)
	d.own.rec, d.own.dirty = rec, true
	state := stateChanged(old, rec)
	if state || now.Sub(d.own.published) >= d.statusGap() {
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
	d.own.mu.Lock()
	defer d.own.mu.Unlock()
	if d.own.rec.Revision == 0 {
		d.publishLocked(d.deps.Clock.Now())
	}
}

// statusPerMember times the number of members is the least time between two
// versions of a record that differ in load and progress only. Only operators
// read these from records, and a spread to 600 VMs would otherwise change 120
// records a second.
const statusPerMember = 100 * time.Millisecond

func (d *Directory) statusGap() time.Duration {
	return max(d.cfg.StatusInterval, time.Duration(d.table.Len())*statusPerMember)
}

// flushSelf publishes changes that waited for statusGap.
func (d *Directory) flushSelf(now time.Time) {
	d.own.mu.Lock()
	defer d.own.mu.Unlock()
	if d.own.dirty && now.Sub(d.own.published) >= d.statusGap() {
		d.publishLocked(now)
	}
}
