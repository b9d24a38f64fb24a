package membership

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// maxMessageBytes limits the records of one message.
	maxMessageBytes = 4 << 10
	// maxUpdateBytes limits the changes in one message that are not urgent. The
	// remaining differences are found by digests. When a whole fleet starts at
	// once, there are many changes, but nearly all members have them already.
	maxUpdateBytes = 1 << 10
	// minReplyBytes is the size of the records that a reply may contain even if the
	// budget is used up, so that a process that starts finds its first neighbours.
	minReplyBytes = 400
	// digestBytes is the encoded size of the digest of a group or leaf.
	digestBytes = 4
	// wantedIDBytes is the approximate encoded size of a requested id.
	wantedIDBytes = 16
)

// Message is a message of an exchange between two processes. All fields except
// From and Digest are optional.
type Message[P any] struct {
	From string
	// Digest is the digest of the sender's whole table.
	Digest  uint64
	Records []ObservedRecord[P]
	// Compare requests the digests of the groups if the tables differ.
	Compare bool
	// Group tells what Digests contains: the digests of all groups if it is zero,
	// else the digests of the leaves of group Group-1.
	Group   int
	Digests []uint32
	// Leaves lists the leaves of the group all of whose members are in Records.
	Leaves []int
	// Want lists the ids of the members whose records the sender requests.
	Want []string
}

// MergeResult summarizes what the records of a message changed.
type MergeResult struct {
	// Refuted, StateChanged and Changed tell whether any record had the outcome of
	// that name; Changed also covers StateChanged.
	Refuted, StateChanged, Changed bool
	// KnownRecords counts the records that changed nothing, NewRecords the others.
	KnownRecords, NewRecords int
}

// Gossip decides what a process sends to others to make their tables equal.
// Recent changes are sent a limited number of times. All other differences are
// found by comparing digests: of the tables, then of the groups, then of the leaves
// of one group, and then the members of a few leaves. Thus a record is sent only to
// a process that lacks it.
type Gossip[P any] struct {
	Table      *Table[P]
	Budget     *Budget
	RecordSize RecordSize[P]
	// RandIntN returns a random number from 0 to n-1.
	RandIntN func(n int) int
}

func (g *Gossip[P]) chargeRecords(rs []ObservedRecord[P], now time.Time) {
	n := 0
	for i := range rs {
		n += g.RecordSize(&rs[i].Record)
	}
	g.Budget.Charge(n, now)
}

// NewMessage returns a message without records.
func (g *Gossip[P]) NewMessage() Message[P] {
	return Message[P]{From: g.Table.self, Digest: g.Table.Digest()}
}

// FirstMessage returns the first message of an exchange with a member. If this
// process considers the member suspect or dead, the message contains that state, so
// that the member can refute it.
func (g *Gossip[P]) FirstMessage(partner string, now time.Time) Message[P] {
	m := g.NewMessage()
	m.Compare = true
	m.Records = g.takeUpdates(partner, now)
	return m
}

// takeUpdates returns the changes to send to a partner and charges them to the
// budget. They include the partner's own state if it is suspect or dead.
func (g *Gossip[P]) takeUpdates(partner string, now time.Time) []ObservedRecord[P] {
	room, urgent := g.Budget.Available(now)
	out := g.Table.TakeChanges(min(urgent, maxMessageBytes), min(room, maxUpdateBytes), g.RecordSize, now)
	if p, ok := g.Table.Get(partner, now); ok && (p.State == Suspect || p.State == Dead) {
		p.Record = stateOnly(p.Record)
		out = append(out, p)
	}
	n := 0
	for i := range out {
		n += g.RecordSize(&out[i].Record)
	}
	g.Budget.ChargeUrgent(n, now)
	return out
}

// MergeMessage merges the records of a received message into the table.
func (g *Gossip[P]) MergeMessage(m Message[P], now time.Time) MergeResult {
	var result MergeResult
	for _, r := range m.Records {
		switch g.Table.Merge(r.Record, r.Age, now) {
		case Unchanged:
			result.KnownRecords++
		case Refuted:
			result.Refuted = true
			result.NewRecords++
		case Updated:
			result.Changed = true
			result.NewRecords++
		case StateChanged:
			result.StateChanged, result.Changed = true, true
			result.NewRecords++
		}
	}
	g.chargeRecords(m.Records, now)
	g.Budget.Charge(len(m.Digests)*digestBytes, now)
	g.Table.RecordSuccess(m.From, now)
	return result
}

// Reply merges a received message and returns the reply to it. The changes in the
// reply are chosen before the merge, so that received changes are not sent back.
func (g *Gossip[P]) Reply(m Message[P], now time.Time) (Message[P], MergeResult) {
	var out Message[P]
	if m.Compare {
		out.Records = g.takeUpdates(m.From, now)
	}
	result := g.MergeMessage(m, now)
	switch {
	case m.Group > 0 && m.Group <= Groups && len(m.Digests) == Leaves:
		out.Group = m.Group
		out.Records, out.Leaves = g.leafRecords(m.Group-1, m.Digests, now)
	case len(m.Want) > 0:
		out.Records = g.wantedRecords(m.Want, now)
	}
	// A partner that suspects an earlier incarnation of this process has to receive
	// the current record.
	for _, r := range m.Records {
		if r.ID == g.Table.self && r.StateOnly {
			own, _ := g.Table.Get(r.ID, now)
			out.Records = append(out.Records, own)
			g.Budget.ChargeUrgent(g.RecordSize(&own.Record), now)
		}
	}
	out.From, out.Digest = g.Table.self, g.Table.Digest()
	if m.Compare && out.Digest != m.Digest {
		out.Digests = g.Table.GroupDigests()
		g.Budget.Charge(Groups*digestBytes, now)
	}
	return out, result
}

// NextMessage returns the next message to send after a reply was merged. It returns
// false if the tables are equal, the budget is used up, or nothing remains to be
// sent.
func (g *Gossip[P]) NextMessage(reply Message[P], now time.Time) (Message[P], bool) {
	room, _ := g.Budget.Available(now)
	if room == 0 || reply.Digest == g.Table.Digest() {
		return Message[P]{}, false
	}
	m := g.NewMessage()
	switch {
	case reply.Group > 0 && reply.Group <= Groups:
		m.Want, m.Records = g.compareLeaves(reply, room, now)
		g.chargeRecords(m.Records, now)
		g.Budget.Charge(len(m.Want)*wantedIDBytes, now)
		return m, len(m.Want)+len(m.Records) > 0
	case len(reply.Digests) == Groups:
		i, ok := differingIndex(g.Table.GroupDigests(), reply.Digests, g.ownGroup(), g.RandIntN)
		if !ok {
			return m, false
		}
		m.Group, m.Digests = i+1, g.Table.LeafDigests(i)
		g.Budget.Charge(Leaves*digestBytes, now)
		return m, true
	}
	return m, false
}

func (g *Gossip[P]) ownGroup() int { return groupOf(g.Table.Self().Domain) }

func groupOf(d fleet.Domain) int { return int(stableHash(string(d)) % Groups) }

// differingIndex returns an index at which the digests differ: first, if they differ
// there, or else one found from a random start.
func differingIndex(a, b []uint32, first int, randIntN func(int) int) (int, bool) {
	if a[first] != b[first] {
		return first, true
	}
	start := randIntN(len(a))
	for i := range a {
		if k := (start + i) % len(a); a[k] != b[k] {
			return k, true
		}
	}
	return 0, false
}

// membersByLeaf returns the members of a group, by leaf within the group.
func (t *Table[P]) membersByLeaf(group int, now time.Time) [Leaves][]ObservedRecord[P] {
	var out [Leaves][]ObservedRecord[P]
	t.m.Range(func(_ string, e tableEntry[P]) bool {
		if groupOf(e.record.Domain) == group {
			i := leafIndex(&e.record) % Leaves
			out[i] = append(out[i], t.observed(e, now))
		}
		return true
	})
	return out
}

// leafRecords returns records of the leaves of a group whose digests differ from the
// partner's: complete records of leaves that are empty at the partner, and
// state-only records of all members of other leaves. It also returns the indexes of
// those other leaves.
func (g *Gossip[P]) leafRecords(group int, theirs []uint32, now time.Time) ([]ObservedRecord[P], []int) {
	room, _ := g.Budget.Available(now)
	room = min(max(room, minReplyBytes), maxMessageBytes)
	ours, members := g.Table.LeafDigests(group), g.Table.membersByLeaf(group, now)
	var out []ObservedRecord[P]
	var listedLeaves []int
	start, used := g.RandIntN(Leaves), 0
	for i := range Leaves {
		leaf := (start + i) % Leaves
		if ours[leaf] == theirs[leaf] {
			continue
		}
		empty := theirs[leaf] == 0
		for _, rec := range members[leaf] {
			if empty && rec.State == Dead {
				continue
			}
			if !empty {
				rec.Record = stateOnly(rec.Record)
			}
			used += g.RecordSize(&rec.Record)
			out = append(out, rec)
		}
		if !empty {
			listedLeaves = append(listedLeaves, leaf)
		}
		if used >= room {
			break
		}
	}
	g.Budget.Charge(used, now)
	return out, listedLeaves
}

// compareLeaves compares the members of the leaves that the partner listed with
// those of this process. It returns the ids of members whose records are newer at
// the partner, and records of members that are newer here.
func (g *Gossip[P]) compareLeaves(reply Message[P], room int, now time.Time) (wantIDs []string, newerHere []ObservedRecord[P]) {
	theirs := map[string]*Record[P]{}
	for i := range reply.Records {
		r := &reply.Records[i].Record
		if r.StateOnly {
			theirs[r.ID] = r
			e, ok := g.Table.m.Get(r.ID)
			if (!ok && r.State != Dead || ok && newerPayload(r, &e.record)) && len(wantIDs)*wantedIDBytes < room {
				wantIDs = append(wantIDs, r.ID)
			}
		}
	}
	room, used := min(room, maxMessageBytes), 0
	members := g.Table.membersByLeaf(reply.Group-1, now)
	for _, leaf := range reply.Leaves {
		if leaf < 0 || leaf >= Leaves {
			continue
		}
		for _, rec := range members[leaf] {
			r, ok := theirs[rec.ID]
			switch {
			case !ok && rec.State == Dead, ok && !newerPayload(&rec.Record, r) && rec.State <= r.State:
				continue
			case ok && !newerPayload(&rec.Record, r):
				rec.Record = stateOnly(rec.Record)
			}
			if used += g.RecordSize(&rec.Record); used <= room {
				newerHere = append(newerHere, rec)
			}
		}
	}
	return wantIDs, newerHere
}

// newerPayload reports whether the payload of a is newer than that of b.
func newerPayload[P any](a, b *Record[P]) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.Version > b.Version
}

// wantedRecords returns the records of the given members, as far as the budget
// allows, but at least one.
func (g *Gossip[P]) wantedRecords(ids []string, now time.Time) []ObservedRecord[P] {
	room, _ := g.Budget.Available(now)
	room = min(max(room, minReplyBytes), maxMessageBytes)
	var out []ObservedRecord[P]
	used := 0
	for _, id := range ids {
		rec, ok := g.Table.Get(id, now)
		if !ok {
			continue
		}
		if used += g.RecordSize(&rec.Record); used > room && len(out) > 0 {
			break
		}
		out = append(out, rec)
	}
	g.chargeRecords(out, now)
	return out
}
