package usage

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// TestClockSteps guards against windows that follow a step of the wall clock of one VM or of all, and against a
// process that starts during a step and keeps a wrong time.
func TestClockSteps(t *testing.T) {
	epoch := time.Unix(1767344219, 0)
	at := func(boot, step time.Duration) time.Time { return epoch.Add(boot + step) }
	for _, step := range []time.Duration{30 * time.Second, -30 * time.Second} {
		var c Clock
		c.Observe(at(0, 0), 0)
		want := time.Duration(epoch.UnixNano())
		for boot := time.Second; boot < 20*time.Second; boot += 250 * time.Millisecond {
			s := time.Duration(0)
			if boot >= 5*time.Second && boot < 12*time.Second {
				s = step
			}
			if changed := c.Observe(at(boot, s), boot); changed != (boot == 5*time.Second || boot == 12*time.Second) {
				t.Errorf("%v at %v: change %v", step, boot, changed)
			}
			if got := c.Now(boot); got != want+boot {
				t.Fatalf("%v: the clock is wrong by %v at %v", step, got-want-boot, boot)
			}
		}
		var started Clock
		started.Observe(at(0, step), 0)
		clocks := []time.Duration{started.Now(0), want, want + 20*time.Millisecond}
		if started.Compare(Median(clocks[:2]), 2, 0); started.Now(0) != want+step {
			t.Error("one of two clocks was taken for the wrong one")
		}
		started.Compare(Median(clocks), 3, 0)
		started.Observe(at(time.Second, 0), time.Second)
		if off := started.Now(time.Second) - want - time.Second; off.Abs() > clockTolerance {
			t.Errorf("%v: wrong by %v after the comparison", step, off)
		}
	}
}

// TestTotalsAreIdempotent guards against counts that depend on the order, the loss or the repetition of notices,
// or on who relays them.
func TestTotalsAreIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length, now = 5 * time.Second, 1000 * time.Second
		sources := []Source{{"a", 1}, {"a", 2}, {"b", 1}}
		c, want := NewTotals(length), map[fleet.Customer]int64{}
		var all []Notice
		for _, s := range sources {
			last := map[Key]int64{}
			for range rapid.IntRange(1, 6).Draw(t, "notices") {
				k := Key{fleet.Customer(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account")), 199}
				last[k] += int64(rapid.IntRange(1, 50).Draw(t, "requests"))
				all = append(all, Notice{Source: s, Counts: []Count{{k, last[k]}, {Key{"bad", 1 << 40}, 5}, {Key{"bad", 199}, -1}}})
			}
			for k, n := range last {
				want[k.Account] += n
			}
		}
		for _, n := range append(rapid.Permutation(all).Draw(t, "order"), rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "repeats")...) {
			c.Merge(n, time.Hour, now)
		}
		if got := c.Window(199); !maps.Equal(got, want) {
			t.Fatalf("counts %v, want %v", got, want)
		}
	})
}

// TestDemandStatesAge guards against figures of a gateway that is cut off which look new.
func TestDemandStatesAge(t *testing.T) {
	c := NewTotals(5 * time.Second)
	d := []ServiceDemand{{"s", Demand{Requests: 10, Refused: 2, PromptTokens: 300, OutputTokens: 40}}}
	c.Merge(Notice{Source: Source{"a", 1}, Domain: "d", Demand: d, Age: time.Second}, time.Minute, 1000*time.Second)
	s := c.Demand(time.Minute + 4*time.Second)
	if len(s.Figures) != 1 || s.Figures[0].Age != 5*time.Second || s.Figures[0].Domain != "d" || s.Figures[0].Demand != d[0].Demand {
		t.Errorf("snapshot %+v", s)
	}
}

// TestCandidates guards against gateways that state their counts to others than those that may become the
// holder.
func TestCandidates(t *testing.T) {
	var all []feed.Member
	for _, id := range []string{"b2", "a3", "a1", "b1", "a2", "b3"} {
		all = append(all, feed.Member{ID: id, Domain: fleet.Domain(id[:1]), Gateway: true})
	}
	all = append(all, feed.Member{ID: "a0", Domain: "a"})
	first, third := FindRecipients(all[2], all), FindRecipients(all[1], all)
	if !first.Candidate || len(first.Own) != 1 || first.Own[0].ID != "a2" || len(first.Others) != 1 || len(first.Others[0]) != 2 || len(first.Gateways) != 6 {
		t.Errorf("recipients of a1: %+v", first)
	}
	if third.Candidate || len(third.Own) != 2 || third.Own[0].ID != "a1" || len(third.Domain) != 2 {
		t.Errorf("recipients of a3: %+v", third)
	}
}

// TestWhenWindowsAreDecided guards against a report that is sent before the gateways have stated their counts, one
// that waits for a gateway that is gone until it is late, and a report of what this process never knew.
func TestWhenWindowsAreDecided(t *testing.T) {
	const length, due = 5 * time.Second, 10 * time.Second
	missing := 1
	k := Knowledge{Since: 995 * time.Second, Missing: func(time.Duration) int { return missing }, Window: func(w int64) map[fleet.Customer]int64 {
		if w < 199 {
			return nil
		}
		return map[fleet.Customer]int64{"x": w}
	}}
	b := NewBook(length, due)
	end := WindowEnd(199, length)
	if d := b.Decide(end+6*time.Second, k); len(d) != 0 {
		t.Errorf("decided %+v although a gateway is missing", d)
	}
	if d := b.Decide(end+7*time.Second, k); len(d) != 1 || d[0].Window != 199 || d[0].Missing != 1 {
		t.Errorf("decided %+v when the report would become late", d)
	}
	missing = 0
	if d := b.Decide(end+7*time.Second, k); len(d) != 1 || d[0].Window != 200 {
		t.Errorf("decided %+v once all are heard", d)
	}
	if s := b.Sends(0, end+7*time.Second); len(s) != 0 {
		t.Errorf("%+v is sent before it is stored", s)
	}
	if w := b.GiveUp(end + KeptTime); len(w) != 1 || len(b.GiveUp(end+KeptTime)) != 0 {
		t.Errorf("%v are given up a minute after the end of window 199", w)
	}
	// A clock that was ahead by mistake returns.
	s, _ := b.Unstored()
	b.MarkStored(s)
	b.Decide(end+3*time.Minute, Knowledge{Since: end + 3*time.Minute, Missing: k.Missing, Window: func(int64) map[fleet.Customer]int64 { return nil }})
	next := NewBook(length, due)
	s, _ = b.Unstored()
	next.Load(s, 0, end)
	for _, book := range []*Book{b, next} {
		if d := book.Decide(end+7*time.Second, k); len(d) != 0 {
			t.Errorf("decided %+v again after the clock was ahead", d)
		}
	}
	// A store that was restored may lack what another holder has reported.
	restored := NewBook(length, due)
	restored.Load(Stored{Era: 1}, 2, end+7*time.Second)
	if d := restored.Decide(end+7*time.Second, k); len(d) != 0 {
		t.Errorf("decided %+v after the store was restored", d)
	}
}
