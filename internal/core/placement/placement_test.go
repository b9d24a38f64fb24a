package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

var start = time.Unix(1000, 0)

func engine(id string, places int) Target {
	return Target{
		Instance: fleet.Instance(id), Service: "llm", Address: fleet.Address(id), Domain: "a", Region: "r",
		Slots: places, WeightsVersion: 1,
	}
}

func reported(t *Table, id string, l Load, at time.Time) { t.RecordLoad(fleet.Instance(id), l, at) }

// TestChooseKeepsRules guards against a request for a target that must not get
// it: draining, cordoned, outside the allowed regions, with old weights or none,
// of another service, or tried before.
func TestChooseKeepsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, good := NewTable(), map[fleet.Instance]bool{}
		tried := map[fleet.Instance]bool{}
		for i := range rapid.IntRange(0, 8).Draw(t, "targets") {
			x := engine(fmt.Sprint(i), 4)
			ok := true
			switch rapid.IntRange(0, 7).Draw(t, "fault") {
			case 0:
				x.Draining, ok = true, false
			case 1:
				x.Domain, ok = "cordoned", false
			case 2:
				x.Region, ok = "elsewhere", false
			case 3:
				x.WeightsVersion, ok = 0, false
			case 4:
				x.WeightsVersion, ok = 1, false
			case 5:
				x.Service, ok = "other", false
			case 6:
				tried[x.Instance], ok = true, false
			}
			if ok {
				x.WeightsVersion = 2
			} else if x.WeightsVersion == 1 && !x.Draining && x.Domain == "a" && x.Region == "r" && x.Service == "llm" && !tried[x.Instance] {
				x.WeightsVersion = 1
			} else if x.WeightsVersion != 0 {
				x.WeightsVersion = 2
			}
			tab.Set(x)
			good[x.Instance] = ok
		}
		q := Query{
			Service: "llm", OwnDomain: "a", NeedsWeights: true, MinWeightsVersion: 2, Tried: tried, Processes: 1, MaxQueuedPerTarget: 2,
			DomainCordoned: func(d fleet.Domain) bool { return d == "cordoned" },
			RegionAllowed:  func(r fleet.Region) bool { return r == "r" },
		}
		c, out := tab.Choose(q, start, rand.IntN)
		any := false
		for _, ok := range good {
			any = any || ok
		}
		if (out == Chosen) != any || out == Chosen && !good[c.Instance] {
			t.Fatalf("chose %v (%v) of %v", c, out, good)
		}
	})
}

// TestPlaces guards against more requests at a target than its places and the
// few that may wait, and against a place that stays taken after its request.
func TestPlaces(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("x", 3))
	reported(tab, "x", Load{}, start)
	q := Query{Service: "llm", NeedsWeights: true, Processes: 8, MaxQueuedPerTarget: 2}
	for i := range 5 {
		if _, out := tab.Choose(q, start, rand.IntN); out != Chosen {
			t.Fatalf("request %d: %v", i, out)
		}
	}
	if _, out := tab.Choose(q, start, rand.IntN); out != AllFull {
		t.Errorf("a sixth request: %v", out)
	}
	tab.Release("x")
	if _, out := tab.Choose(q, start, rand.IntN); out != Chosen {
		t.Errorf("after one has ended: %v", out)
	}
}

// TestFadingWeights guards against a request that waits at a full engine until its
// weights are too old.
func TestFadingWeights(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("x", 1))
	reported(tab, "x", Load{Running: 1}, start)
	q := Query{Service: "llm", NeedsWeights: true, Processes: 1, MaxQueuedPerTarget: 2, MinQueueWeightsVersion: 2}
	if _, out := tab.Choose(q, start, rand.IntN); out != AllFull {
		t.Errorf("a full engine with fading weights: %v", out)
	}
	q.MinQueueWeightsVersion = 1
	if _, out := tab.Choose(q, start, rand.IntN); out != Chosen {
		t.Errorf("a full engine: %v", out)
	}
}

// TestOthersRequestsCount guards against gateways that fill an engine together
// because each sees the others' requests only in the next report.
func TestOthersRequestsCount(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("x", 3))
	reported(tab, "x", Load{Running: 1}, start)
	for range 3 {
		tab.RecordRemoteRequest("x", 0, start)
	}
	q := Query{Service: "llm", NeedsWeights: true, Processes: 8, MaxQueuedPerTarget: 1}
	if _, out := tab.Choose(q, start, rand.IntN); out != AllFull {
		t.Errorf("4 requests at 3 places and 1 that may wait: %v", out)
	}
	reported(tab, "x", Load{Running: 2}, start)
	if _, out := tab.Choose(q, start, rand.IntN); out != Chosen {
		t.Errorf("after a report of 2 requests: %v", out)
	}
}

// TestUnreadPromptsDecide guards against a request that waits behind long
// prompts while another engine has nothing to read. It answers the load of
// prompts of very different lengths.
func TestUnreadPromptsDecide(t *testing.T) {
	tab := NewTable()
	for _, id := range []string{"x", "y"} {
		tab.Set(engine(id, 16))
		reported(tab, id, Load{}, start)
	}
	reported(tab, "y", Load{Running: 10}, start)
	tab.RecordRemoteRequest("x", 200*time.Millisecond, start)
	q := Query{Service: "llm", NeedsWeights: true, Processes: 2, MaxQueuedPerTarget: 2, PrefillTime: 50 * time.Millisecond, DecodeTime: 45 * time.Millisecond}
	c, _ := tab.Choose(q, start, rand.IntN)
	if c.Instance != "y" {
		t.Errorf("chose %s, which reads for another 200 ms", c.Instance)
	}
	later := start.Add(300 * time.Millisecond)
	if c, _ := tab.Choose(q, later, rand.IntN); c.Instance != "x" {
		t.Errorf("chose %s after the other has read everything", c.Instance)
	}
}

// TestLateReports guards against requests for an engine whose machine is cut off:
// its reports stop, and its load looks low for ever.
func TestLateReports(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("cut", 16))
	tab.Set(engine("well", 16))
	reported(tab, "cut", Load{}, start)
	now := start.Add(2 * time.Second)
	reported(tab, "well", Load{Running: 12}, now)
	q := Query{Service: "llm", NeedsWeights: true, Processes: 8, MaxQueuedPerTarget: 2, PrefillTime: 50 * time.Millisecond}
	for range 3 {
		if c, _ := tab.Choose(q, now, rand.IntN); c.Instance != "well" {
			t.Errorf("chose %s", c.Instance)
		}
	}
}

// TestSlowEngine guards against requests for an engine whose first events come
// late although its reports look well, as with a slow engine or a narrow link,
// and against one that is never tried again.
func TestSlowEngine(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("slow", 16))
	tab.Set(engine("well", 16))
	reported(tab, "slow", Load{}, start)
	reported(tab, "well", Load{Running: 10}, start)
	tab.RecordFirstEvent("slow", time.Second, 100*time.Millisecond, start)
	tab.RecordFirstEvent("well", 130*time.Millisecond, 100*time.Millisecond, start)
	q := Query{Service: "llm", NeedsWeights: true, Processes: 8, MaxQueuedPerTarget: 2}
	if c, _ := tab.Choose(q, start, rand.IntN); c.Instance != "well" {
		t.Errorf("chose %s", c.Instance)
	}
	later := start.Add(10 * time.Second)
	reported(tab, "slow", Load{}, later)
	reported(tab, "well", Load{Running: 10}, later)
	if c, _ := tab.Choose(q, later, rand.IntN); c.Instance != "slow" {
		t.Errorf("chose %s after 10 s", c.Instance)
	}
}

// TestLoadingEngine guards against requests for an engine that takes none while
// it changes its weights.
func TestLoadingEngine(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("x", 16))
	reported(tab, "x", Load{Loading: true}, start)
	q := Query{Service: "llm", NeedsWeights: true, Processes: 1, MaxQueuedPerTarget: 2}
	if _, out := tab.Choose(q, start, rand.IntN); out != AllFull {
		t.Errorf("an engine that loads: %v", out)
	}
}

// TestColdTarget guards against more requests for a cold target than it bears,
// summed over processes that do not know of each other.
func TestColdTarget(t *testing.T) {
	const processes, rate = 8, 26.0
	sent := 0
	for range processes {
		tab := NewTable()
		x := engine("x", 1000)
		x.ColdUntil = start.Add(3 * time.Second)
		tab.Set(x)
		q := Query{Service: "llm", Processes: processes, ColdRequestsPerSecond: rate, MaxQueuedPerTarget: 1000}
		for i := range 100 {
			if _, out := tab.Choose(q, start.Add(time.Duration(i)*9*time.Millisecond), rand.IntN); out == Chosen {
				sent++
			}
		}
	}
	if sent == 0 || sent > int(1.5*rate)+5 {
		t.Errorf("%d requests within a second, %g are borne", sent, rate)
	}
}

// TestRestartForgets guards against load that is counted for an instance that has
// started again, and against an address that another instance took over.
func TestRestartForgets(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("x", 2))
	reported(tab, "x", Load{Running: 4}, start)
	again := engine("x", 2)
	again.Started = 5
	tab.Set(again)
	q := Query{Service: "llm", Processes: 1}
	if _, out := tab.Choose(q, start, rand.IntN); out != Chosen {
		t.Errorf("after a restart: %v", out)
	}
	newer := engine("y", 2)
	newer.Address, newer.Started = "x", 9
	tab.Set(newer)
	if id, _ := tab.InstanceAt("x"); id != "y" {
		t.Errorf("the address belongs to %s", id)
	}
}

// TestPauses guards against requests that go on to a target that fails them.
func TestPauses(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("x", 2))
	q := Query{Service: "llm", Processes: 1}
	now := start
	for i, want := range []time.Duration{failurePause, 2 * failurePause, 4 * failurePause} {
		tab.RecordFailure("x", now)
		if _, out := tab.Choose(q, now.Add(want-1), rand.IntN); out != AllFull {
			t.Errorf("failure %d: %v before %v", i, out, want)
		}
		if _, out := tab.Choose(q, now.Add(want), rand.IntN); out != Chosen {
			t.Errorf("failure %d: %v after %v", i, out, want)
		}
		tab.Release("x")
		now = now.Add(want)
	}
}

// TestBudgets guards against repeats of all processes together that pass the
// bound in any window.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, processes = 0.2, 104.0, 4
		window := 10 * time.Second
		b := NewRetryBudgets(ratio, slack, window, start)
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordRequest("s", now)
				events = append(events, event{now, false})
			} else if b.AllowRetry("s", processes, now) {
				events = append(events, event{now, true})
			}
		}
		for i := range events {
			first, repeats := 0, 0
			for _, e := range events {
				if d := e.at.Sub(events[i].at); e.repeat && d >= 0 && d < window {
					repeats++
				} else if !e.repeat && d >= -window && d < window {
					first++
				}
			}
			if float64(repeats) > ratio*float64(first)+slack/processes {
				t.Fatalf("%d repeats beside %d requests in a window", repeats, first)
			}
		}
	})
}

// TestUsage guards against figures of targets that take no requests.
func TestUsage(t *testing.T) {
	tab := NewTable()
	tab.Set(engine("x", 16))
	reported(tab, "x", Load{Running: 3}, start)
	leaving := engine("y", 16)
	leaving.Draining = true
	tab.Set(leaving)
	tab.Set(engine("z", 16))
	tab.RecordFailure("z", start)
	if u := tab.Usage(start, 2)["llm"]; u != (Usage{Targets: 1, Slots: 16, Requests: 3}) {
		t.Errorf("usage %+v", u)
	}
}
