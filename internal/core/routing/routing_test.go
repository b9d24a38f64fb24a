package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

var (
	start = time.Unix(1000, 0)
	pool  = Pool{Group: "g"}
)

// TestHashIsStable guards against a hash that changes between releases: two
// versions of the product would disagree on the agent of a partition.
func TestHashIsStable(t *testing.T) {
	if h := Hash("a", "bc"); h != 0xb1ab3f8db794b96 || h == Hash("ab", "c") {
		t.Errorf("Hash(a, bc) = %#x", h)
	}
}

// TestRankMovesLittle guards against a key that moves to another agent when an
// unrelated agent leaves.
func TestRankMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 20, rapid.ID[string]).Draw(t, "ids")
		key := rapid.Uint64().Draw(t, "key")
		before := RendezvousRank(key, ids)
		gone := rapid.IntRange(0, len(ids)-1).Draw(t, "gone")
		rest := append(append([]string{}, before[:gone]...), before[gone+1:]...)
		after := RendezvousRank(key, rest)
		for i := range rest {
			if after[i] != rest[i] {
				t.Fatalf("order %v, without %q %v", before, before[gone], after)
			}
		}
	})
}

// TestSubsetBalance guards against agents that many entries watch while others
// are watched by none, and against an entry without targets in other domains.
func TestSubsetBalance(t *testing.T) {
	const entries, agents, domains = 390, 2400, 14
	var all []Agent
	for i := range agents {
		all = append(all, Agent{VM: fleet.VM(fmt.Sprintf("vm%d", i)), Domain: fleet.Domain(fmt.Sprint(i % domains))})
	}
	seen := map[fleet.VM]int{}
	for i := range entries {
		own := fleet.Domain(fmt.Sprint(i % domains))
		sub, far := Subset(fmt.Sprintf("entry%d", i), own, all), 0
		for _, a := range sub {
			seen[a.VM]++
			if a.Domain != own {
				far++
			}
		}
		if len(sub) != MaxWatchedAgents || far != MaxWatchedAgents-maxOwn {
			t.Fatalf("%d agents, %d of other domains", len(sub), far)
		}
	}
	most := 0
	for _, n := range seen {
		most = max(most, n)
	}
	// The mean is 5.2; 20 leaves room for chance, not for a hot spot.
	if most > 20 || len(seen) < agents*95/100 {
		t.Errorf("%d of %d agents are watched, one by %d entries", len(seen), agents, most)
	}
}

// TestBudget guards against retries that add more load than the budget allows.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		first, retries := 0, 0
		for _, earn := range rapid.SliceOf(rapid.Bool()).Draw(t, "earn") {
			if earn {
				b.Deposit(pool)
				first++
			} else if b.TryWithdraw(pool) {
				retries++
			}
			if float64(retries) > retryBurst+retryEarned*float64(first)+1e-6 {
				t.Fatalf("%d retries after %d first attempts", retries, first)
			}
		}
	})
}

func usable(vm, dom string, inFlight int) TargetStatus {
	return TargetStatus{VM: fleet.VM(vm), Domain: fleet.Domain(dom), Pool: pool, Version: "v", InFlight: inFlight, Limit: 10, Usable: true}
}

// TestChooseKeepsRules guards against work for a target that must not get any:
// wrong pool or version, not usable, stale, cordoned or tried before.
func TestChooseKeepsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, tried, ok := NewTable(), map[fleet.VM]bool{}, map[fleet.VM]bool{}
		cordoned := map[fleet.VM]bool{}
		for i := range rapid.IntRange(0, 12).Draw(t, "targets") {
			r := usable(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), rapid.IntRange(0, 20).Draw(t, "load"))
			at, good := start, true
			switch rapid.IntRange(0, 7).Draw(t, "fault") {
			case 0:
				r.Pool, good = Pool{Service: "g"}, false
			case 1:
				r.Version, good = "w", false
			case 2:
				r.Version, good = "", false
			case 3:
				r.Usable, good = false, false
			case 4:
				at, good = start.Add(-StatusMaxAge-time.Millisecond), false
			case 5:
				cordoned[r.VM], good = true, false
			case 6:
				tried[r.VM], good = true, false
			}
			tab.RecordStatus(r, at)
			ok[r.VM] = good
		}
		q := Query{Pool: pool, Version: "v", OwnDomain: "a", Probe: true, Tried: tried, Prefix: rapid.Uint64Range(0, 2).Draw(t, "prefix"),
			Cordoned: func(_ fleet.Domain, vm fleet.VM) bool { return cordoned[vm] }}
		c, out := tab.Choose(q, start, rand.IntN)
		any := false
		for _, good := range ok {
			any = any || good
		}
		if (out == Chosen) != any || out == Chosen && !ok[c.VM] {
			t.Fatalf("chose %v (%v) of %v", c, out, ok)
		}
	})
}

// TestChooseOrder guards against a target of another domain or an older version
// while a better one has spare capacity, and against waiting for a full domain.
func TestChooseOrder(t *testing.T) {
	tab := NewTable()
	older := usable("older", "a", 0)
	older.Version = "u"
	tab.RecordStatus(older, start)
	q := Query{Pool: pool, Version: "v", OlderVersions: map[fleet.Version]bool{"u": true}, OwnDomain: "a"}
	for _, r := range []TargetStatus{usable("far", "b", 9), usable("near", "a", 9)} {
		tab.RecordStatus(r, start)
		if c, _ := tab.Choose(q, start, rand.IntN); c.VM != r.VM {
			t.Errorf("chose %s, want %s", c.VM, r.VM)
		}
	}
	for _, want := range []fleet.VM{"near", "far", "older"} {
		c, _ := tab.Choose(q, start, rand.IntN)
		if c.VM != want {
			t.Errorf("chose %s, want %s", c.VM, want)
		}
		tab.Reserve(c.VM)
	}
}

// TestAffinity guards against a prefix that wanders between targets, and
// against a hot prefix that overloads its target.
func TestAffinity(t *testing.T) {
	tab := NewTable()
	for i := range 5 {
		tab.RecordStatus(usable(fmt.Sprint(i), "a", 2), start)
	}
	q := Query{Pool: pool, Version: "v", OwnDomain: "a", Prefix: 42}
	first, _ := tab.Choose(q, start, rand.IntN)
	for range 20 {
		if c, _ := tab.Choose(q, start, rand.IntN); c != first {
			t.Fatalf("prefix moved from %s to %s", first.VM, c.VM)
		}
	}
	for range 3 {
		tab.Reserve(first.VM)
	}
	moved := 0
	for range 50 {
		if c, _ := tab.Choose(q, start, rand.IntN); c != first {
			moved++
		}
	}
	if moved < 25 {
		t.Errorf("%d of 50 requests left the loaded target", moved)
	}
}

// TestFullTargets guards against requests that are sent to be refused, against
// an entry that gets nothing while others fill a target, and against waiting
// for ever on an old report.
func TestFullTargets(t *testing.T) {
	tab := NewTable()
	tab.RecordStatus(usable("x", "a", 10), start)
	q := Query{Pool: pool, Version: "v", EntriesPerTarget: 4}
	for range 2 {
		if _, out := tab.Choose(q, start, rand.IntN); out != Chosen || !tab.Reserve("x") {
			t.Errorf("outcome %v inside the share of the entry", out)
		}
	}
	if _, out := tab.Choose(q, start, rand.IntN); out != AllFull {
		t.Errorf("outcome %v for a full target", out)
	}
	tab.Release("x")
	tab.RecordFull("x", 10, 10, start)
	if _, out := tab.Choose(q, start.Add(FullPause), rand.IntN); out != AllFull {
		t.Errorf("outcome %v right after a refusal", out)
	}
	if _, out := tab.Choose(q, start.Add(FullPause+1), rand.IntN); out != Chosen {
		t.Errorf("outcome %v after the pause", out)
	}
	q.Probe = true
	if _, out := tab.Choose(q, start.Add(FullPause), rand.IntN); out != AllFull {
		t.Errorf("outcome %v of a probe right after a refusal", out)
	}
	later := start.Add(FullPause + 1)
	for range 9 {
		if _, out := tab.Choose(q, later, rand.IntN); out != Chosen || !tab.Reserve("x") {
			t.Errorf("outcome %v of a probe", out)
		}
	}
	if _, out := tab.Choose(q, later, rand.IntN); out != AllFull || tab.Reserve("x") {
		t.Errorf("outcome %v for a target that this entry fills", out)
	}
}

// TestPartOfAPlace guards against a last place that stays free in every target
// although entries with less than their share wait, because shares are cut to
// whole places.
func TestPartOfAPlace(t *testing.T) {
	tab := NewTable()
	r := usable("x", "a", 5)
	r.Limit = 8
	tab.RecordStatus(r, start)
	q := Query{Pool: pool, Version: "v", EntriesPerTarget: 3}
	for own := range 3 { // a share of 8/3 places
		if _, out := tab.Choose(q, start, rand.IntN); out != Chosen || !tab.Reserve("x") {
			t.Errorf("outcome %v with %d own and %d places free", out, own, 3-own)
		}
	}
	tab = NewTable()
	r.InFlight = 4
	tab.RecordStatus(r, start)
	for range 3 {
		tab.Reserve("x")
	}
	if _, out := tab.Choose(q, start, rand.IntN); out != AllFull {
		t.Errorf("outcome %v for the last place beyond the share", out)
	}
}

// TestWaiters guards against a lower class that gets the room for which a
// higher one waits, and against a change that wakes nobody because the one it
// woke left or could not use it.
func TestWaiters(t *testing.T) {
	tab := NewTable()
	tab.RecordStatus(usable("x", "a", 4), start)
	draft, status := tab.AddWaiter(pool, fleet.ClassDraft), tab.AddWaiter(pool, fleet.ClassStatus)
	woken := func(w *Waiter) bool {
		select {
		case <-w.Woken():
			return true
		default:
			return false
		}
	}
	tab.Reserve("x")
	tab.Release("x")
	if woken(draft) || !woken(status) {
		t.Error("a free place did not go to the first class")
	}
	tab.WakeNext(status)
	if !woken(draft) {
		t.Error("a change that the first waiter passed on woke nobody")
	}
	tab.RecordLoad("x", 4, 4)
	if woken(status) || woken(draft) {
		t.Error("the load of a full target woke a waiter")
	}
	tab.RecordStatus(usable("x", "a", 4), start)
	tab.RemoveWaiter(status)
	if !woken(draft) || tab.lines.m.Len() != 1 {
		t.Error("a waiter that was woken and left did not wake the next one")
	}
	tab.RemoveWaiter(draft)
	if tab.lines.m.Len() != 0 {
		t.Error("an empty line is kept")
	}
}
