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

// TestHashStable guards against a hash that changes between releases. Processes of
// different releases would then disagree on the agent of a ledger partition.
func TestHashStable(t *testing.T) {
	if h := Hash("a", "bc"); h != 0xb1ab3f8db794b96 || h == Hash("ab", "c") {
		t.Errorf("Hash(a, bc) = %#x", h)
	}
}

// TestRendezvousRankStable guards against a key that moves to another agent when an
// unrelated agent is removed.
func TestRendezvousRankStable(t *testing.T) {
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

// TestSubsetBalance guards against agents that many entries watch while others are
// watched by none, and against an entry that watches no agents in other domains.
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
		if len(sub) != MaxWatchedAgents || far != MaxWatchedAgents-maxOwnDomainAgents {
			t.Fatalf("%d agents, %d in other domains", len(sub), far)
		}
	}
	most := 0
	for _, n := range seen {
		most = max(most, n)
	}
	// The mean is 5.2; 20 allows for random variation but not for a hot spot.
	if most > 20 || len(seen) < agents*95/100 {
		t.Errorf("%d of %d agents are watched, one of them by %d entries", len(seen), agents, most)
	}
}

// TestRetryBudget guards against more retries than the budget allows.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		first, retries := 0, 0
		for _, deposit := range rapid.SliceOf(rapid.Bool()).Draw(t, "earn") {
			if deposit {
				b.Deposit(pool)
				first++
			} else if b.TryWithdraw(pool) {
				retries++
			}
			if float64(retries) > retryBurst+retryRatio*float64(first)+1e-6 {
				t.Fatalf("%d retries after %d first attempts", retries, first)
			}
		}
	})
}

func usableStatus(vm, dom string, inFlight int) TargetStatus {
	return TargetStatus{VM: fleet.VM(vm), Domain: fleet.Domain(dom), Pool: pool, Version: "v", InFlight: inFlight, Limit: 10, Usable: true}
}

// TestChooseReturnsEligibleTarget guards against choosing a target that must not run
// the request: of another pool or version, not usable, with a stale status, cordoned, or
// already tried. It also fails if an eligible target exists and none is chosen.
func TestChooseReturnsEligibleTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, tried, ok := NewTable(), map[fleet.VM]bool{}, map[fleet.VM]bool{}
		cordoned := map[fleet.VM]bool{}
		for i := range rapid.IntRange(0, 12).Draw(t, "targets") {
			r := usableStatus(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), rapid.IntRange(0, 20).Draw(t, "load"))
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
			table.RecordStatus(r, at)
			ok[r.VM] = good
		}
		q := Query{Pool: pool, Version: "v", OwnDomain: "a", Probe: true, Tried: tried, Prefix: rapid.Uint64Range(0, 2).Draw(t, "prefix"),
			Cordoned: func(_ fleet.Domain, vm fleet.VM) bool { return cordoned[vm] }}
		c, outcome := table.Choose(q, start, rand.IntN)
		any := false
		for _, good := range ok {
			any = any || good
		}
		if (outcome == Chosen) != any || outcome == Chosen && !ok[c.VM] {
			t.Fatalf("chose %v (%v) of %v", c, outcome, ok)
		}
	})
}

// TestChooseOrder guards against the choice of a target in another domain or with an
// older version while a better one has spare capacity, and against waiting for a
// full domain while another has capacity.
func TestChooseOrder(t *testing.T) {
	table := NewTable()
	older := usableStatus("older", "a", 0)
	older.Version = "u"
	table.RecordStatus(older, start)
	q := Query{Pool: pool, Version: "v", OlderVersions: map[fleet.Version]bool{"u": true}, OwnDomain: "a"}
	for _, r := range []TargetStatus{usableStatus("far", "b", 9), usableStatus("near", "a", 9)} {
		table.RecordStatus(r, start)
		if c, _ := table.Choose(q, start, rand.IntN); c.VM != r.VM {
			t.Errorf("chose %s, want %s", c.VM, r.VM)
		}
	}
	for _, want := range []fleet.VM{"near", "far", "older"} {
		c, _ := table.Choose(q, start, rand.IntN)
		if c.VM != want {
			t.Errorf("chose %s, want %s", c.VM, want)
		}
		table.Reserve(c.VM)
	}
}

// TestAffinity guards against a prefix that moves between targets without need, and
// against a frequent prefix that overloads its target.
func TestAffinity(t *testing.T) {
	table := NewTable()
	for i := range 5 {
		table.RecordStatus(usableStatus(fmt.Sprint(i), "a", 2), start)
	}
	q := Query{Pool: pool, Version: "v", OwnDomain: "a", Prefix: 42}
	first, _ := table.Choose(q, start, rand.IntN)
	for range 20 {
		if c, _ := table.Choose(q, start, rand.IntN); c != first {
			t.Fatalf("prefix moved from %s to %s", first.VM, c.VM)
		}
	}
	for range 3 {
		table.Reserve(first.VM)
	}
	moved := 0
	for range 50 {
		if c, _ := table.Choose(q, start, rand.IntN); c != first {
			moved++
		}
	}
	if moved < 25 {
		t.Errorf("%d of 50 requests left the loaded target", moved)
	}
}

// TestFullTargets guards against requests that are sent although they will be
// refused, against an entry that gets no slots while others fill a target, and
// against an endless wait because of an outdated report.
func TestFullTargets(t *testing.T) {
	table := NewTable()
	table.RecordStatus(usableStatus("x", "a", 10), start)
	q := Query{Pool: pool, Version: "v", EntriesPerTarget: 4}
	for range 2 {
		if _, outcome := table.Choose(q, start, rand.IntN); outcome != Chosen || !table.Reserve("x") {
			t.Errorf("outcome %v within the share of the entry", outcome)
		}
	}
	if _, outcome := table.Choose(q, start, rand.IntN); outcome != AllFull {
		t.Errorf("outcome %v for a full target", outcome)
	}
	table.Release("x")
	table.RecordFull("x", 10, 10, start)
	if _, outcome := table.Choose(q, start.Add(FullPause), rand.IntN); outcome != AllFull {
		t.Errorf("outcome %v right after a refusal", outcome)
	}
	if _, outcome := table.Choose(q, start.Add(FullPause+1), rand.IntN); outcome != Chosen {
		t.Errorf("outcome %v after the pause", outcome)
	}
	q.Probe = true
	if _, outcome := table.Choose(q, start.Add(FullPause), rand.IntN); outcome != AllFull {
		t.Errorf("outcome %v of a probe right after a refusal", outcome)
	}
	later := start.Add(FullPause + 1)
	for range 9 {
		if _, outcome := table.Choose(q, later, rand.IntN); outcome != Chosen || !table.Reserve("x") {
			t.Errorf("outcome %v of a probe", outcome)
		}
	}
	if _, outcome := table.Choose(q, later, rand.IntN); outcome != AllFull || table.Reserve("x") {
		t.Errorf("outcome %v for a target filled by this entry", outcome)
	}
}

// TestFractionalShare guards against a slot that stays free in every target while
// entries below their share wait, because shares are rounded down to whole slots.
func TestFractionalShare(t *testing.T) {
	table := NewTable()
	r := usableStatus("x", "a", 5)
	r.Limit = 8
	table.RecordStatus(r, start)
	q := Query{Pool: pool, Version: "v", EntriesPerTarget: 3}
	for own := range 3 { // a share of 8/3 slots
		if _, outcome := table.Choose(q, start, rand.IntN); outcome != Chosen || !table.Reserve("x") {
			t.Errorf("outcome %v with %d own requests and %d free slots", outcome, own, 3-own)
		}
	}
	table = NewTable()
	r.InFlight = 4
	table.RecordStatus(r, start)
	for range 3 {
		table.Reserve("x")
	}
	if _, outcome := table.Choose(q, start, rand.IntN); outcome != AllFull {
		t.Errorf("outcome %v for the last slot beyond the share", outcome)
	}
}

// TestWaiters guards against a lower class that gets capacity for which a higher one
// waits, and against a lost wake-up because the woken waiter left or could not use
// the change.
func TestWaiters(t *testing.T) {
	table := NewTable()
	table.RecordStatus(usableStatus("x", "a", 4), start)
	draft, status := table.AddWaiter(pool, fleet.ClassDraft), table.AddWaiter(pool, fleet.ClassStatus)
	woken := func(w *Waiter) bool {
		select {
		case <-w.Woken():
			return true
		default:
			return false
		}
	}
	table.Reserve("x")
	table.Release("x")
	if woken(draft) || !woken(status) {
		t.Error("a free slot did not go to the highest class")
	}
	table.WakeNext(status)
	if !woken(draft) {
		t.Error("a change that the first waiter passed on woke no other")
	}
	table.RecordLoad("x", 4, 4)
	if woken(status) || woken(draft) {
		t.Error("the load of a full target woke a waiter")
	}
	table.RecordStatus(usableStatus("x", "a", 4), start)
	table.RemoveWaiter(status)
	if !woken(draft) || table.waitQueues.byPool.Len() != 1 {
		t.Error("a waiter that was woken and left did not wake the next one")
	}
	table.RemoveWaiter(draft)
	if table.waitQueues.byPool.Len() != 0 {
		t.Error("an empty wait queue was kept")
	}
}
