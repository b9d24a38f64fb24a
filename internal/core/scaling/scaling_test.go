package scaling

import (
	"slices"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// steady returns a snapshot of two domains with 20 engines each that hold so many requests each.
func steady(requests int) Snapshot {
	out := Snapshot{Services: []Service{simService}, Registered: map[fleet.Domain]int{"a": 4, "b": 4}, Cordoned: map[fleet.Domain]bool{}}
	for _, d := range []fleet.Domain{"a", "b"} {
		for range 20 {
			out.Engines = append(out.Engines, Engine{Service: "s", Domain: d, HoldsWeights: true, Slots: 12, Requests: requests, ReportAge: 100 * time.Millisecond})
		}
		for i := range 4 {
			out.Gateways = append(out.Gateways, Gateway{ID: string(d) + string(rune('0'+i)), Domain: d})
		}
	}
	return out
}

// ordersOf observes a changed snapshot for some seconds and returns the orders for each domain.
func ordersOf(p *Planner, snap Snapshot, seconds int, start time.Time) map[fleet.Domain][]int {
	out := map[fleet.Domain][]int{}
	for i := range seconds {
		now := start.Add(time.Duration(i) * time.Second)
		p.Observe(snap, now)
		orders, _ := p.Decide(now, func(Subject) bool { return false })
		for _, o := range orders {
			p.Ordered(o.Subject, o.Desired, now)
			out[o.Domain] = append(out[o.Domain], o.Desired)
		}
	}
	return out
}

// TestMissingFiguresLeaveTheOrder guards against an order for a domain of which too little is known, or for all domains
// by a process that is cut off from the others, and against a service whose limits contradict each other.
func TestMissingFiguresLeaveTheOrder(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Snapshot)
		want   int // orders of each of the domains a and b, at full load
		wantB  int
	}{
		"whole":               {func(*Snapshot) {}, 1, 1},
		"reports alone":       {func(s *Snapshot) { s.Gateways = nil }, 1, 1},
		"cordoned":            {func(s *Snapshot) { s.Cordoned["a"] = true }, 0, 1},
		"a quarter is silent": {func(s *Snapshot) { setAges(s.Engines[:5], 2*time.Second) }, 0, 1},
		"a tenth is silent":   {func(s *Snapshot) { setAges(s.Engines[:2], 2*time.Second) }, 1, 1},
		"domain cut off":      {func(s *Snapshot) { setAges(s.Engines[:20], -1) }, 0, 0},
		"a quarter is loading": {func(s *Snapshot) {
			for i := range s.Engines[:5] {
				s.Engines[i].Loading = true
			}
		}, 0, 1},
		"gateways not heard": {func(s *Snapshot) { s.Gateways = s.Gateways[2:] }, 0, 1},
		"gateways' figures old": {func(s *Snapshot) {
			for i := range s.Gateways {
				s.Gateways[i].Age = 5 * time.Second
			}
		}, 0, 0},
		"Min above Max": {func(s *Snapshot) { s.Services[0].Min = 41 }, 0, 0},
		"no engine":     {func(s *Snapshot) { s.Services[0].Engine = nil }, 0, 0},
	} {
		snap := steady(12)
		c.change(&snap)
		got := ordersOf(NewPlanner(DefaultRules()), snap, 18, time.Unix(1e9, 0))
		if len(got["a"]) != c.want || len(got["b"]) != c.wantB {
			t.Errorf("%s: orders %v", name, got)
		}
	}
}

func setAges(es []Engine, age time.Duration) {
	for i := range es {
		es[i].ReportAge = age
	}
}

// TestOrdersAreSpaced guards against orders before enough is known, too often, or downward by more than a fifth.
func TestOrdersAreSpaced(t *testing.T) {
	p, start := NewPlanner(DefaultRules()), time.Unix(1e9, 0)
	if got := ordersOf(p, steady(12), 10, start); len(got) > 0 {
		t.Errorf("orders %v in the first 10 s", got)
	}
	if got := ordersOf(p, steady(12), 1, start.Add(10*time.Second)); len(got["a"]) != 1 || got["a"][0] != 25 {
		t.Errorf("orders %v, want 25 for engines that are full", got)
	}
	p = NewPlanner(DefaultRules())
	p.Ordered(Subject{"s", "a"}, 40, start)
	// 38 s of figures are needed before the first order downward, and 30 s between two.
	if got := ordersOf(p, steady(1), 38+3*30+1, start)["a"]; !slices.Equal(got, []int{32, 26, 21, 17}) {
		t.Errorf("orders %v, want 32, 26, 21 and 17", got)
	}
}
