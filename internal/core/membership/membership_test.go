package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

var t0 = time.Unix(1000, 0)

// drawRecord draws a record of a member. The payload is a function of incarnation
// and version, as for a real member, which alone changes its record.
func drawRecord(t *rapid.T, id string) Record[string] {
	inc, ver := rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 3).Draw(t, "ver")
	return Record[string]{
		ID: id, Incarnation: inc, Version: ver, State: State(rapid.IntRange(0, 3).Draw(t, "state")),
		Payload: fmt.Sprint(inc, ver),
	}
}

func mergeRecords(a, b Record[string]) Record[string] {
	out, _ := Merge(a, b)
	return out
}

// TestMergeIsLattice guards against tables that differ after the same records
// arrived in another order or twice, and against a record that returns to an
// earlier state.
func TestMergeIsLattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "m"), drawRecord(t, "m"), drawRecord(t, "m")
		if mergeRecords(a, b) != mergeRecords(b, a) {
			t.Fatalf("not commutative: %+v %+v", a, b)
		}
		if mergeRecords(mergeRecords(a, b), c) != mergeRecords(a, mergeRecords(b, c)) {
			t.Fatalf("not associative: %+v %+v %+v", a, b, c)
		}
		ab, changed := Merge(a, b)
		if mergeRecords(ab, b) != ab || mergeRecords(ab, a) != ab {
			t.Fatalf("not idempotent: %+v %+v", a, b)
		}
		if changed != (ab != a) {
			t.Fatalf("changed = %v for %+v to %+v", changed, a, ab)
		}
		if ab.Incarnation < a.Incarnation || ab.Incarnation == a.Incarnation && (ab.State < a.State || ab.Version < a.Version) {
			t.Fatalf("merge returned to an earlier state: %+v to %+v", a, ab)
		}
	})
}

// TestDigestIgnoresOrder guards against a digest that differs between tables with
// the same records, and against one that misses a difference.
func TestDigestIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		var rs []Record[string]
		for i := range n {
			rs = append(rs, drawRecord(t, fmt.Sprint("m", i%4)))
		}
		self := Record[string]{ID: "self", Incarnation: 1}
		a, b := NewTable(self, t0), NewTable(self, t0)
		for _, r := range rs {
			a.Merge(r, 0, t0)
		}
		for _, r := range rapid.Permutation(rs).Draw(t, "order") {
			b.Merge(r, 0, t0)
		}
		if a.Digest() != b.Digest() {
			t.Fatal("digests differ")
		}
		b.Merge(Record[string]{ID: "m0", Incarnation: 9}, 0, t0)
		if a.Digest() == b.Digest() {
			t.Fatal("digests agree on different tables")
		}
	})
}

func tableWithEntries(kind fleet.Kind, dom fleet.Domain, others int) *Table[string] {
	t := NewTable(Record[string]{ID: "self", Kind: kind, Domain: dom, Incarnation: 5}, t0)
	for i := range others {
		d := fleet.Domain([]string{"a", "b", "c"}[i%3])
		t.Merge(Record[string]{ID: fmt.Sprintf("m%02d", i), Kind: fleet.KindEntry, Domain: d, Incarnation: 1}, 0, t0)
	}
	return t
}

func stateOf(tb *Table[string], id string, now time.Time) State {
	s, _ := tb.Get(id, now)
	return s.State
}

// TestSilentMemberBecomesDead guards against a silent member that never becomes
// dead, and against one that becomes dead before it can refute.
func TestSilentMemberBecomesDead(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 3)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	tb.RecordFailure("m00", at(0))
	tb.Tick(at(2))
	tb.RecordFailure("m00", at(2))
	for _, step := range []struct {
		at   float64
		want State
	}{{2.9, Alive}, {3, Suspect}, {5.9, Suspect}, {6, Dead}} {
		tb.Tick(at(step.at))
		if got := stateOf(tb, "m00", at(step.at)); got != step.want {
			t.Errorf("after %v s: %v, want %v", step.at, got, step.want)
		}
	}
	tb.Merge(Record[string]{ID: "m00", Incarnation: 2}, 0, at(7))
	if got := stateOf(tb, "m00", at(7)); got != Alive {
		t.Errorf("after a refutation: %v, want alive", got)
	}
	tb.RecordFailure("m01", at(8))
	tb.RecordSuccess("m01", at(9))
	tb.Tick(at(8.9))
	tb.Tick(at(11.1))
	if got := stateOf(tb, "m01", at(11.1)); got != Alive {
		t.Errorf("member that responded again: %v, want alive", got)
	}
}

// TestOwnPauseResetsTimeouts guards against a process that was paused and then
// considers members dead because it received nothing from them.
func TestOwnPauseResetsTimeouts(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 3)
	tb.Tick(t0)
	tb.RecordFailure("m00", t0)
	tb.Merge(Record[string]{ID: "m01", Incarnation: 1, State: Suspect}, 0, t0)
	tb.Tick(t0.Add(time.Minute))
	if a, b := stateOf(tb, "m00", t0), stateOf(tb, "m01", t0); a != Alive || b != Suspect {
		t.Errorf("after a pause: %v and %v, want alive and suspect", a, b)
	}
	tb.Tick(t0.Add(time.Minute + 2*time.Second))
	tb.Tick(t0.Add(time.Minute + 4*time.Second))
	if got := stateOf(tb, "m01", t0); got != Dead {
		t.Errorf("suspect that does not refute after the pause: %v, want dead", got)
	}
}

// TestDeadMembersAreRemoved guards against a table that grows with each VM that was
// ever replaced, and against a dead member that is removed while a partition lasts.
func TestDeadMembersAreRemoved(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 2)
	tb.Merge(Record[string]{ID: "m00", Incarnation: 1, State: Dead}, 0, t0)
	tb.Tick(t0.Add(KeepDead - time.Second))
	if !slices.Equal(tb.Dead(), []string{"m00"}) {
		t.Fatalf("dead = %v", tb.Dead())
	}
	tb.Tick(t0.Add(KeepDead))
	if tb.Len() != 2 {
		t.Errorf("%d members, want 2", tb.Len())
	}
	tb.Merge(Record[string]{ID: "m00", Incarnation: 1, State: Dead}, KeepDead+time.Second, t0.Add(KeepDead))
	if tb.Len() != 2 {
		t.Error("a removed member was added again as dead")
	}
}

// TestReportedDeathHasGrace guards against members that disappear briefly when a
// partition heals and the other side reports them as dead.
func TestReportedDeathHasGrace(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 2)
	tb.Merge(Record[string]{ID: "m00", Incarnation: 1, State: Dead}, 0, t0)
	if n := len(tb.LiveMembers(t0.Add(time.Second))); n != 3 {
		t.Errorf("%d live members during the grace period, want 3", n)
	}
	if n := len(tb.LiveMembers(t0.Add(ReportedGrace))); n != 2 {
		t.Errorf("%d live members after the grace period, want 2", n)
	}
}

// TestRefutation guards against a member that stays suspected because it does not
// refute, and against a restarted member that others take for its earlier run.
func TestRefutation(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 0)
	if got := tb.Merge(Record[string]{ID: "self", Incarnation: 5, State: Suspect}, 0, t0); got != Refuted {
		t.Fatalf("suspicion of the process itself: %v, want refuted", got)
	}
	if s := tb.Self(); s.Incarnation != 6 || s.State != Alive {
		t.Errorf("self = %+v", s)
	}
	tb.Merge(Record[string]{ID: "self", Incarnation: 9, Version: 40}, 0, t0)
	if s := tb.Self(); s.Incarnation != 10 {
		t.Errorf("incarnation after a record of an earlier run = %d, want 10", s.Incarnation)
	}
	if got := tb.Merge(Record[string]{ID: "self", Incarnation: 3, State: Dead}, 0, t0); got != Unchanged {
		t.Errorf("death of an earlier incarnation: %v, want unchanged", got)
	}
}

// TestNeighboursAndReaders guards against neighbours that are all in one failure
// domain, against a failure domain without a reader, and against neighbours that
// change when an unrelated member leaves.
func TestNeighboursAndReaders(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 60)
	before := tb.Neighbours(t0)
	own := 0
	for _, id := range before {
		if s, _ := tb.Get(id, t0); s.Domain == "a" {
			own++
		}
	}
	if own != SameDomainNeighbours || len(before) != SameDomainNeighbours+OtherDomainNeighbours {
		t.Fatalf("neighbours = %v", before)
	}
	for _, s := range tb.AllMembers(t0) {
		if s.ID == "self" || slices.Contains(before, s.ID) {
			continue
		}
		tb.Merge(Record[string]{ID: s.ID, Domain: s.Domain, Incarnation: 1, State: Dead}, 0, t0)
		break
	}
	if after := tb.Neighbours(t0.Add(time.Minute)); !slices.Equal(before, after) {
		t.Errorf("neighbours changed from %v to %v", before, after)
	}
	if r := tb.Readers("b"); len(r) != ReadersPerDomain {
		t.Errorf("readers = %v", r)
	}
	if !tableWithEntries(fleet.KindEntry, "z", 9).IsReader() {
		t.Error("the only entry of a failure domain is not a reader")
	}
	if tableWithEntries(fleet.KindAgent, "z", 0).IsReader() {
		t.Error("an agent is a reader")
	}
}

// TestTakeChangesIsBounded guards against messages that grow with the fleet, and
// against a change that is never sent or is sent forever.
func TestTakeChangesIsBounded(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 100)
	countOne := func(*Record[string]) int { return 1 }
	seen := map[string]bool{}
	for range 4 {
		rs := tb.TakeChanges(32, 32, countOne, t0)
		if len(rs) > 32 {
			t.Fatalf("%d records, want at most 32", len(rs))
		}
		for _, r := range rs {
			seen[r.ID] = true
		}
	}
	if len(seen) != 101 {
		t.Errorf("%d members sent in 4 messages, want 101", len(seen))
	}
	for range 200 {
		tb.TakeChanges(32, 32, countOne, t0)
	}
	if tb.HasPendingChanges(t0) || len(tb.TakeChanges(32, 32, countOne, t0)) != 0 {
		t.Error("changes are sent forever")
	}
	late := tableWithEntries(fleet.KindEntry, "a", 100)
	if rs := late.TakeChanges(32, 32, countOne, t0.Add(sendPeriod)); len(rs) != 0 {
		t.Errorf("%d records are sent after %v, want none", len(rs), sendPeriod)
	}
}

// TestUrgentChangesFirst guards against a change of state or flags that is delayed
// by other changes or by a budget that is used up.
func TestUrgentChangesFirst(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 100)
	one := func(*Record[string]) int { return 1 }
	tb.Merge(Record[string]{ID: "m50", Incarnation: 1, State: Suspect}, 0, t0)
	tb.Merge(Record[string]{ID: "m60", Kind: fleet.KindEntry, Incarnation: 1, Version: 1, Flags: 1}, 0, t0)
	rs := tb.TakeChanges(4, 0, one, t0)
	if len(rs) != 2 || rs[0].ID != "m50" || !rs[0].StateOnly || rs[1].ID != "m60" || rs[1].StateOnly {
		t.Errorf("without room for other records: %+v, want the state of m50 and the record of m60", rs)
	}
	if rs = tb.TakeChanges(4, 3, one, t0); len(rs) != 3 {
		t.Errorf("%d records with room for 3, want 3", len(rs))
	}
}

// TestSuspectedMemberSendsCurrentRecord guards against a member that stays dead in
// another process's table: the member has already refuted the report, so it has no
// pending change, and the other process missed the refutation.
func TestSuspectedMemberSendsCurrentRecord(t *testing.T) {
	one := func(*Record[string]) int { return 1 }
	rec := Record[string]{ID: "m", Domain: "a", Incarnation: 6}
	m := Gossip[string]{Table: NewTable(rec, t0), Budget: NewBudget(800, t0), RecordSize: one}
	tb := tableWithEntries(fleet.KindEntry, "a", 0)
	tb.Merge(Record[string]{ID: "m", Domain: "a", Incarnation: 5, State: Dead}, 0, t0)
	g := Gossip[string]{Table: tb, Budget: NewBudget(800, t0), RecordSize: one}
	now := t0.Add(2 * sendPeriod)
	reply, _ := m.Reply(g.FirstMessage("m", now), now)
	g.MergeMessage(reply, now)
	if s := stateOf(tb, "m", now); s != Alive {
		t.Errorf("after the reply: %v, want alive", s)
	}
}

// TestStateOnlyRecord guards against a state-only record that replaces a complete
// record or adds an unknown member.
func TestStateOnlyRecord(t *testing.T) {
	tb := tableWithEntries(fleet.KindEntry, "a", 2)
	for _, r := range []Record[string]{
		{ID: "new", Incarnation: 1, StateOnly: true},
		{ID: "m00", Incarnation: 2, State: Dead, StateOnly: true},
	} {
		if out := tb.Merge(r, 0, t0); out != Unchanged {
			t.Errorf("%+v: %v, want no change", r, out)
		}
	}
	tb.Merge(Record[string]{ID: "m00", Incarnation: 1, Version: 9, State: Suspect, StateOnly: true}, 0, t0)
	if s, _ := tb.Get("m00", t0); s.State != Suspect || s.Version != 0 || s.Domain != "a" {
		t.Errorf("after a state-only record: %+v", s.Record)
	}
}
