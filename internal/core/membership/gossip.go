package membership

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// messageBytes bounds the records of one message.
	messageBytes = 4 << 10
	// updateBytes bounds the changes that are not urgent in one message. Digests
	// find the rest, which nearly all members have when a fleet starts at once.
	updateBytes = 1 << 10
	// leastBytes is what an answer may hold even when the budget is used up, so
	// that a process that starts finds its first neighbours.
	leastBytes = 400
	// digestBytes is the size of a digest of a part in a message.
	digestBytes = 4
	// wantBytes is the size of an id that is asked for, roughly.
	wantBytes = 16
)

// Message is what two processes swap. All of it but From and Digest is
// optional.
type Message[P any] struct {
	From    string
	Digest  uint64
	Records []Seen[P]
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

// Merged says what the records of a message changed.
type Merged struct {
	Refuted, Moved, Changed bool
	// Known counts the records that changed nothing, New the others.
	Known, New int
}

// Gossip decides what a process tells others of its table. Urgent facts and
// updates are passed on for a while; all else is found by comparing digests: of
// the tables, then of groups, then of the leaves of one group, then the members
// of a few leaves. A record is so sent only to a process that lacks it.
type Gossip[P any] struct {
	Table  *Table[P]
	Budget *Budget
	Size   Size[P]
	// Pick returns a number below n.
	Pick func(n int) int
}

func (g *Gossip[P]) taken(rs []Seen[P], now time.Time) {
	n := 0
	for i := range rs {
		n += g.Size(&rs[i].Record)
	}
	g.Budget.Take(n, now)
}

// Head returns a message without records.
func (g *Gossip[P]) Head() Message[P] {
	return Message[P]{From: g.Table.self, Digest: g.Table.Digest()}
}

// Open returns the first message of an exchange with a member. If this
// process does not hold the member for alive, the message says so, that the
// member can refute.
func (g *Gossip[P]) Open(partner string, now time.Time) Message[P] {
	m := g.Head()
	m.Compare = true
	m.Records = g.updates(partner, now)
	return m
}

func (g *Gossip[P]) updates(partner string, now time.Time) []Seen[P] {
	room, urgent := g.Budget.Room(now)
	out := g.Table.Changed(min(urgent, messageBytes), min(room, updateBytes), g.Size, now)
	if p, ok := g.Table.Get(partner, now); ok && (p.State == Suspect || p.State == Dead) {
		p.Record = bare(p.Record)
		out = append(out, p)
	}
	n := 0
	for i := range out {
		n += g.Size(&out[i].Record)
	}
	g.Budget.TakeUrgent(n, now)
	return out
}

// Absorb merges the records of a message.
func (g *Gossip[P]) Absorb(m Message[P], now time.Time) Merged {
	var l Merged
	for _, r := range m.Records {
		switch g.Table.Merge(r.Record, r.Age, now) {
		case Unchanged:
			l.Known++
		case Refuted:
			l.Refuted = true
			l.New++
		case Updated:
			l.Changed = true
			l.New++
		case Moved:
			l.Moved, l.Changed = true, true
			l.New++
		}
	}
	g.taken(m.Records, now)
	g.Budget.Take(len(m.Digests)*digestBytes, now)
	g.Table.Contact(m.From, now)
	return l
}

// Answer merges a message and returns the answer to it. Updates are chosen before
// the merge, so that they are not sent back.
func (g *Gossip[P]) Answer(m Message[P], now time.Time) (Message[P], Merged) {
	var out Message[P]
	if m.Compare {
		out.Records = g.updates(m.From, now)
	}
	l := g.Absorb(m, now)
	switch {
	case m.Group > 0 && m.Group <= Groups && len(m.Digests) == Leaves:
		out.Group = m.Group
		out.Records, out.Leaves = g.offer(m.Group-1, m.Digests, now)
	case len(m.Want) > 0:
		out.Records = g.wanted(m.Want, now)
	}
	// A partner that suspects an earlier incarnation of this process needs the
	// current record.
	for _, r := range m.Records {
		if r.ID == g.Table.self && r.Bare {
			own, _ := g.Table.Get(r.ID, now)
			out.Records = append(out.Records, own)
			g.Budget.TakeUrgent(g.Size(&own.Record), now)
		}
	}
	out.From, out.Digest = g.Table.self, g.Table.Digest()
	if m.Compare && out.Digest != m.Digest {
		out.Digests = g.Table.GroupDigests()
		g.Budget.Take(Groups*digestBytes, now)
	}
	return out, l
}

// Next returns the message that follows an answer which was absorbed, if the
// tables differ and the budget allows to find out where.
func (g *Gossip[P]) Next(answer Message[P], now time.Time) (Message[P], bool) {
	room, _ := g.Budget.Room(now)
	if room == 0 || answer.Digest == g.Table.Digest() {
		return Message[P]{}, false
	}
	m := g.Head()
	switch {
	case answer.Group > 0 && answer.Group <= Groups:
		m.Want, m.Records = g.settle(answer, room, now)
		g.taken(m.Records, now)
		g.Budget.Take(len(m.Want)*wantBytes, now)
		return m, len(m.Want)+len(m.Records) > 0
	case len(answer.Digests) == Groups:
		i, ok := differing(g.Table.GroupDigests(), answer.Digests, g.ownGroup(), g.Pick)
		if !ok {
			return m, false
		}
		m.Group, m.Digests = i+1, g.Table.LeafDigests(i)
		g.Budget.Take(Leaves*digestBytes, now)
		return m, true
	}
	return m, false
}

func (g *Gossip[P]) ownGroup() int { return groupOf(g.Table.Self().Domain) }

func groupOf(d fleet.Domain) int { return int(hash(string(d)) % Groups) }

// differing returns an index at which the digests differ: first if it does,
// else any.
func differing(a, b []uint32, first int, pick func(int) int) (int, bool) {
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

// leaves returns the members of a group by leaf.
func (t *Table[P]) leaves(group int, now time.Time) [Leaves][]Seen[P] {
	var out [Leaves][]Seen[P]
	t.m.Range(func(_ string, e entry[P]) bool {
		if groupOf(e.rec.Domain) == group {
			i := leafOf(&e.rec) % Leaves
			out[i] = append(out[i], t.seen(e, now))
		}
		return true
	})
	return out
}

// offer returns what the partner may lack of a group, by the digests of its
// leaves: whole records of leaves of which it has nothing, and bare ones of
// all members of other leaves.
func (g *Gossip[P]) offer(group int, theirs []uint32, now time.Time) ([]Seen[P], []int) {
	room, _ := g.Budget.Room(now)
	room = min(max(room, leastBytes), messageBytes)
	ours, members := g.Table.LeafDigests(group), g.Table.leaves(group, now)
	var out []Seen[P]
	var listed []int
	start, used := g.Pick(Leaves), 0
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
				s.Record = bare(s.Record)
			}
			used += g.Size(&s.Record)
			out = append(out, s)
		}
		if !empty {
			listed = append(listed, leaf)
		}
		if used >= room {
			break
		}
	}
	g.Budget.Take(used, now)
	return out, listed
}

// settle compares the members of leaves that the partner listed with those of
// this process: it returns the ids of those that are newer there, and records
// of those that are newer here.
func (g *Gossip[P]) settle(answer Message[P], room int, now time.Time) (want []string, push []Seen[P]) {
	theirs := map[string]*Record[P]{}
	for i := range answer.Records {
		r := &answer.Records[i].Record
		if r.Bare {
			theirs[r.ID] = r
			e, ok := g.Table.m.Get(r.ID)
			if (!ok && r.State != Dead || ok && newer(r, &e.rec)) && len(want)*wantBytes < room {
				want = append(want, r.ID)
			}
		}
	}
	room, used := min(room, messageBytes), 0
	members := g.Table.leaves(answer.Group-1, now)
	for _, leaf := range answer.Leaves {
		if leaf < 0 || leaf >= Leaves {
			continue
		}
		for _, s := range members[leaf] {
			r, ok := theirs[s.ID]
			switch {
			case !ok && s.State == Dead, ok && !newer(&s.Record, r) && s.State <= r.State:
				continue
			case ok && !newer(&s.Record, r):
				s.Record = bare(s.Record)
			}
			if used += g.Size(&s.Record); used <= room {
				push = append(push, s)
			}
		}
	}
	return want, push
}

// newer reports whether the payload of a is newer than that of b.
func newer[P any](a, b *Record[P]) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.Version > b.Version
}

func (g *Gossip[P]) wanted(ids []string, now time.Time) []Seen[P] {
	room, _ := g.Budget.Room(now)
	room = min(max(room, leastBytes), messageBytes)
	var out []Seen[P]
	used := 0
	for _, id := range ids {
		s, ok := g.Table.Get(id, now)
		if !ok {
			continue
		}
		if used += g.Size(&s.Record); used > room && len(out) > 0 {
			break
		}
		out = append(out, s)
	}
	g.taken(out, now)
	return out
}
