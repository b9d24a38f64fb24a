package membership

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// maxMessageBytes bounds the records of one message.
	maxMessageBytes = 4 << 10
	// maxUpdateBytes bounds the changes that are not urgent in one message. Digests
	// find the rest, which nearly all members have when a fleet starts at once.
	maxUpdateBytes = 1 << 10
	// minReplyBytes is what an answer may hold even when the budget is used up, so
	// that a process that starts finds its first neighbours.
	minReplyBytes = 400
	// digestBytes is the size of a digest of a part in a message.
	digestBytes = 4
	// wantedIDBytes is the size of an id that is asked for, roughly.
	wantedIDBytes = 16
)

// Message is what two processes swap. All of it but From and Digest is
// optional.
type Message[P any] struct {
	From    string
	Digest  uint64
	Records []ObservedRecord[P]
	// Compare asks for the digests of the groups if the tables differ.
	Compare bool
	// Group is one more than the group whose leaves Digests describes; with zero,
	// Digests describes the groups.
	Group   int
	Digests []uint32
	// Leaves are the leaves whose members are all among Records.
	Leaves []int
	// Want are the ids of the members whose records are asked for.
	Want []string
}

// MergeResult says what the records of a message changed.
type MergeResult struct {
	Refuted, StateChanged, Changed bool
	// KnownRecords counts the records that changed nothing, NewRecords the others.
	KnownRecords, NewRecords int
}

// Gossip decides what a process tells others of its table. Urgent facts and
// updates are passed on for a while; all else is found by comparing digests: of
// the tables, then of groups, then of the leaves of one group, then the members
// of a few leaves. A record is so sent only to a process that lacks it.
type Gossip[P any] struct {
	Table      *Table[P]
	Budget     *Budget
	RecordSize RecordSize[P]
	// RandIntN returns a number below n.
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
// process does not hold the member for alive, the message says so, that the
// member can refute.
func (g *Gossip[P]) FirstMessage(partner string, now time.Time) Message[P] {
	m := g.NewMessage()
	m.Compare = true
	m.Records = g.takeUpdates(partner, now)
	return m
}

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

// MergeMessage merges the records of a message.
func (g *Gossip[P]) MergeMessage(m Message[P], now time.Time) MergeResult {
	var l MergeResult
	for _, r := range m.Records {
		switch g.Table.Merge(r.Record, r.Age, now) {
		case Unchanged:
			l.KnownRecords++
		case Refuted:
			l.Refuted = true
			l.NewRecords++
		case Updated:
			l.Changed = true
			l.NewRecords++
		case StateChanged:
			l.StateChanged, l.Changed = true, true
			l.NewRecords++
		}
	}
	g.chargeRecords(m.Records, now)
	g.Budget.Charge(len(m.Digests)*digestBytes, now)
	g.Table.RecordSuccess(m.From, now)
	return l
}

// Reply merges a message and returns the answer to it. Updates are chosen before
// the merge, so that they are not sent back.
func (g *Gossip[P]) Reply(m Message[P], now time.Time) (Message[P], MergeResult) {
	var out Message[P]
	if m.Compare {
		out.Records = g.takeUpdates(m.From, now)
	}
	l := g.MergeMessage(m, now)
	switch {
	case m.Group > 0 && m.Group <= Groups && len(m.Digests) == Leaves:
		out.Group = m.Group
		out.Records, out.Leaves = g.leafRecords(m.Group-1, m.Digests, now)
	case len(m.Want) > 0:
		out.Records = g.wantedRecords(m.Want, now)
	}
	// A partner that suspects an earlier incarnation of this process needs the
	// current record.
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
	return out, l
}

// NextMessage returns the message that follows an answer which was absorbed, if the
// tables differ and the budget allows to find out where.
func (g *Gossip[P]) NextMessage(answer Message[P], now time.Time) (Message[P], bool) {
	room, _ := g.Budget.Available(now)
	if room == 0 || answer.Digest == g.Table.Digest() {
		return Message[P]{}, false
	}
	m := g.NewMessage()
	switch {
	case answer.Group > 0 && answer.Group <= Groups:
		m.Want, m.Records = g.compareLeaves(answer, room, now)
		g.chargeRecords(m.Records, now)
		g.Budget.Charge(len(m.Want)*wantedIDBytes, now)
		return m, len(m.Want)+len(m.Records) > 0
	case len(answer.Digests) == Groups:
		i, ok := differingIndex(g.Table.GroupDigests(), answer.Digests, g.ownGroup(), g.RandIntN)
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

// differingIndex returns an index at which the digests differ: first if it does,
// else any.
func differingIndex(a, b []uint32, first int, pick func(int) int) (int, bool) {
	if a[first] != b[first] {
		return first, true
	}
	start := pick(len(a))
	for i := range a {
		if j := (start + i) % len(a); a[j] != b[j] {
			return j, true
		}
	}
	return 0, false
}

// membersByLeaf returns the members of a group by leaf.
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

// leafRecords returns what the partner may lack of a group, by the digests of its
// leaves: whole records of leaves of which it has nothing, and bare ones of
// all members of other leaves.
func (g *Gossip[P]) leafRecords(group int, theirs []uint32, now time.Time) ([]ObservedRecord[P], []int) {
	room, _ := g.Budget.Available(now)
	room = min(max(room, minReplyBytes), maxMessageBytes)
	ours, members := g.Table.LeafDigests(group), g.Table.membersByLeaf(group, now)
	var out []ObservedRecord[P]
	var listed []int
	start, used := g.RandIntN(Leaves), 0
	for i := range Leaves {
		leaf := (start + i) % Leaves
		if ours[leaf] == theirs[leaf] {
			continue
		}
		empty := theirs[leaf] == 0
		for _, s := range members[leaf] {
			if empty && s.State == Dead {
				continue
			}
			if !empty {
				s.Record = stateOnly(s.Record)
			}
			used += g.RecordSize(&s.Record)
			out = append(out, s)
		}
		if !empty {
			listed = append(listed, leaf)
		}
		if used >= room {
			break
		}
	}
	g.Budget.Charge(used, now)
	return out, listed
}

// compareLeaves compares the members of leaves that the partner listed with those of
// this process: it returns the ids of those that are newer there, and records
// of those that are newer here.
func (g *Gossip[P]) compareLeaves(answer Message[P], room int, now time.Time) (want []string, push []ObservedRecord[P]) {
	theirs := map[string]*Record[P]{}
	for i := range answer.Records {
		r := &answer.Records[i].Record
		if r.StateOnly {
			theirs[r.ID] = r
			e, ok := g.Table.m.Get(r.ID)
			if (!ok && r.State != Dead || ok && newerPayload(r, &e.record)) && len(want)*wantedIDBytes < room {
				want = append(want, r.ID)
			}
		}
	}
	room, used := min(room, maxMessageBytes), 0
	members := g.Table.membersByLeaf(answer.Group-1, now)
	for _, leaf := range answer.Leaves {
		if leaf < 0 || leaf >= Leaves {
			continue
		}
		for _, s := range members[leaf] {
			r, ok := theirs[s.ID]
			switch {
			case !ok && s.State == Dead, ok && !newerPayload(&s.Record, r) && s.State <= r.State:
				continue
			case ok && !newerPayload(&s.Record, r):
				s.Record = stateOnly(s.Record)
			}
			if used += g.RecordSize(&s.Record); used <= room {
				push = append(push, s)
			}
		}
	}
	return want, push
}

// newerPayload reports whether the payload of a is newerPayload than that of b.
func newerPayload[P any](a, b *Record[P]) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.Version > b.Version
}

func (g *Gossip[P]) wantedRecords(ids []string, now time.Time) []ObservedRecord[P] {
	room, _ := g.Budget.Available(now)
	room = min(max(room, minReplyBytes), maxMessageBytes)
	var out []ObservedRecord[P]
	used := 0
	for _, id := range ids {
		s, ok := g.Table.Get(id, now)
		if !ok {
			continue
		}
		if used += g.RecordSize(&s.Record); used > room && len(out) > 0 {
			break
		}
		out = append(out, s)
	}
	g.chargeRecords(out, now)
	return out
}
