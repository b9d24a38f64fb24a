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

// record draws a record of member m whose payload is fixed by incarnation and
// version, as it is for a member that writes its own record.
func record(t *rapid.T, id string) Record[string] {
	inc, ver := rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 3).Draw(t, "ver")
	return Record[string]{
		ID: id, Incarnation: inc, Version: ver, State: State(rapid.IntRange(0, 3).Draw(t, "state")),
		Payload: fmt.Sprint(inc, ver),
	}
}

func merge(a, b Record[string]) Record[string] {
	out, _ := Merge(a, b)
	return out
}

// TestMergeLaws guards against tables that differ after the same records
// arrived in another order or twice, and against a record that goes back.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := record(t, "m"), record(t, "m"), record(t, "m")
		if merge(a, b) != merge(b, a) {
			t.Fatalf("not commutative: %+v %+v", a, b)
		}
		if merge(merge(a, b), c) != merge(a, merge(b, c)) {
			t.Fatalf("not associative: %+v %+v %+v", a, b, c)
		}
		ab, changed := Merge(a, b)
		if merge(ab, b) != ab || merge(ab, a) != ab {
			t.Fatalf("not idempotent: %+v %+v", a, b)
		}
		if changed != (ab != a) {
			t.Fatalf("changed = %v for %+v to %+v", changed, a, ab)
		}
		if ab.Incarnation < a.Incarnation || ab.Incarnation == a.Incarnation && (ab.State < a.State || ab.Version < a.Version) {
			t.Fatalf("went back from %+v to %+v", a, ab)
		}
	})
}

// TestTablesConverge guards against a digest that differs between tables with
// the same records, or that misses a difference.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		var rs []Record[string]
		for i := range n {
			rs = append(rs, record(t, fmt.Sprint("m", i%4)))
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

func table(kind fleet.Kind, dom fleet.Domain, others int) *Table[string] {
	t := NewTable(Record[string]{ID: "self", Kind: kind, Domain: dom, Incarnation: 5}, t0)
	for i := range others {
		d := fleet.Domain([]string{"a", "b", "c"}[i%3])
		t.Merge(Record[string]{ID: fmt.Sprintf("m%02d", i), Kind: fleet.KindEntry, Domain: d, Incarnation: 1}, 0, t0)
	}
	return t
}

func state(tb *Table[string], id string, now time.Time) State {
	s, _ := tb.Get(id, now)
	return s.State
}

// TestSuspicion guards against a silent member that is never taken out, and
// against one that is taken out before it can refute.
func TestSuspicion(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 3)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	tb.RecordFailure("m00", at(0))
	tb.Tick(at(2))
	tb.RecordFailure("m00", at(2))
	for _, step := range []struct {
		at   float64
		want State
	}{{2.9, Alive}, {3, Suspect}, {5.9, Suspect}, {6, Dead}} {
		tb.Tick(at(step.at))
		if got := state(tb, "m00", at(step.at)); got != step.want {
			t.Errorf("after %v s: %v, want %v", step.at, got, step.want)
		}
	}
	tb.Merge(Record[string]{ID: "m00", Incarnation: 2}, 0, at(7))
	if got := state(tb, "m00", at(7)); got != Alive {
		t.Errorf("after a refutation: %v", got)
	}
	tb.RecordFailure("m01", at(8))
	tb.RecordSuccess("m01", at(9))
	tb.Tick(at(8.9))
	tb.Tick(at(11.1))
	if got := state(tb, "m01", at(11.1)); got != Alive {
		t.Errorf("member that answered again: %v", got)
	}
}

// TestPauseIsForgiven guards against a process that was paused and then holds
// members for dead because it did not listen to them.
func TestPauseIsForgiven(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 3)
	tb.Tick(t0)
	tb.RecordFailure("m00", t0)
	tb.Merge(Record[string]{ID: "m01", Incarnation: 1, State: Suspect}, 0, t0)
	tb.Tick(t0.Add(time.Minute))
	if a, b := state(tb, "m00", t0), state(tb, "m01", t0); a != Alive || b != Suspect {
		t.Errorf("after a pause: %v and %v, want alive and suspect", a, b)
	}
	tb.Tick(t0.Add(time.Minute + 2*time.Second))
	tb.Tick(t0.Add(time.Minute + 4*time.Second))
	if got := state(tb, "m01", t0); got != Dead {
		t.Errorf("suspect that does not refute after the pause: %v", got)
	}
}

// TestDeadAreForgotten guards against a table that grows with each VM that was
// ever replaced, and against a dead member that is forgotten while a partition
// lasts.
func TestDeadAreForgotten(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 2)
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
		t.Error("a forgotten member came back as dead")
	}
}

// TestReportedDeathHasGrace guards against members that vanish for a moment
// when a partition heals and the other side reports them dead.
func TestReportedDeathHasGrace(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 2)
	tb.Merge(Record[string]{ID: "m00", Incarnation: 1, State: Dead}, 0, t0)
	if n := len(tb.LiveMembers(t0.Add(time.Second))); n != 3 {
		t.Errorf("%d live members within the grace, want 3", n)
	}
	if n := len(tb.LiveMembers(t0.Add(ReportedGrace))); n != 2 {
		t.Errorf("%d live members after the grace, want 2", n)
	}
}

// TestRefute guards against a member that stays suspected because it does not
// answer to its own suspicion, and against a restart that is taken for the
// former life.
func TestRefute(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 0)
	if got := tb.Merge(Record[string]{ID: "self", Incarnation: 5, State: Suspect}, 0, t0); got != Refuted {
		t.Fatalf("own suspicion: %v", got)
	}
	if s := tb.Self(); s.Incarnation != 6 || s.State != Alive {
		t.Errorf("self = %+v", s)
	}
	tb.Merge(Record[string]{ID: "self", Incarnation: 9, Version: 40}, 0, t0)
	if s := tb.Self(); s.Incarnation != 10 {
		t.Errorf("incarnation after hearing of a former life = %d, want 10", s.Incarnation)
	}
	if got := tb.Merge(Record[string]{ID: "self", Incarnation: 3, State: Dead}, 0, t0); got != Unchanged {
		t.Errorf("old death: %v", got)
	}
}

// TestChoice guards against neighbours all in one failure domain, against a
// failure domain without a reader, and against a choice that moves when an
// unrelated member leaves.
func TestChoice(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 60)
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
		t.Errorf("neighbours moved from %v to %v", before, after)
	}
	if r := tb.Readers("b"); len(r) != ReadersPerDomain {
		t.Errorf("readers = %v", r)
	}
	if !table(fleet.KindEntry, "z", 9).IsReader() {
		t.Error("the only entry of a failure domain does not read")
	}
	if table(fleet.KindAgent, "z", 0).IsReader() {
		t.Error("an agent reads the platform")
	}
}

// TestChangedIsBounded guards against messages that grow with the fleet, and
// against a change that is never passed on or that is passed on without end.
func TestChangedIsBounded(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 100)
	one := func(*Record[string]) int { return 1 }
	seen := map[string]bool{}
	for range 4 {
		rs := tb.TakeChanges(32, 32, one, t0)
		if len(rs) > 32 {
			t.Fatalf("%d records, want at most 32", len(rs))
		}
		for _, r := range rs {
			seen[r.ID] = true
		}
	}
	if len(seen) != 101 {
		t.Errorf("%d members passed on after 4 messages, want 101", len(seen))
	}
	for range 200 {
		tb.TakeChanges(32, 32, one, t0)
	}
	if tb.HasPendingChanges(t0) || len(tb.TakeChanges(32, 32, one, t0)) != 0 {
		t.Error("changes are passed on without end")
	}
	late := table(fleet.KindEntry, "a", 100)
	if rs := late.TakeChanges(32, 32, one, t0.Add(sendPeriod)); len(rs) != 0 {
		t.Errorf("%d records are passed on after %v", len(rs), sendPeriod)
	}
}

// TestUrgentGoesFirst guards against a state or mark that waits behind
// other changes, or for a budget that is used up.
func TestUrgentGoesFirst(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 100)
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

// TestSuspicionIsAnswered guards against a member that stays dead in a table because
// it refuted an older life before and does not tell again.
func TestSuspicionIsAnswered(t *testing.T) {
	one := func(*Record[string]) int { return 1 }
	rec := Record[string]{ID: "m", Domain: "a", Incarnation: 6}
	m := Gossip[string]{Table: NewTable(rec, t0), Budget: NewBudget(800, t0), RecordSize: one}
	tb := table(fleet.KindEntry, "a", 0)
	tb.Merge(Record[string]{ID: "m", Domain: "a", Incarnation: 5, State: Dead}, 0, t0)
	g := Gossip[string]{Table: tb, Budget: NewBudget(800, t0), RecordSize: one}
	now := t0.Add(2 * sendPeriod)
	answer, _ := m.Reply(g.FirstMessage("m", now), now)
	g.MergeMessage(answer, now)
	if s := state(tb, "m", now); s != Alive {
		t.Errorf("after the answer: %v, want alive", s)
	}
}

// TestBareRecord guards against a state without a payload that replaces a
// record or makes an unknown member.
func TestBareRecord(t *testing.T) {
	tb := table(fleet.KindEntry, "a", 2)
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
		t.Errorf("after its state alone: %+v", s.Record)
	}
}
