package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	designEntries = 390
	designAgents  = 2400
	designDomains = 14
	recordBytes   = 170
	bareBytes     = 28
	headBytes     = 40
	tick          = 250 * time.Millisecond
	rate          = 800
	// simSeeds are the members that all know before a start.
	simSeeds = 3
	// perDaemon is the bound of all control, of which status streams, frames and
	// the document take a part beside the exchanges.
	perDaemon = 3000
)

var designSize = flag.Bool("design-size", false, "run the test that holds the tables of 2,790 processes")

// simNode is one process.
type simNode struct {
	*Gossip[string]
	bytes      int
	turn       int
	relay      bool
	neighbours []string
	down       bool
}

// sim runs the decisions of a fleet with a clock of its own: each node opens
// an exchange a second, and passes on urgent changes a tick after it heard.
type sim struct {
	t     *testing.T
	now   time.Time
	rnd   *rand.Rand
	nodes []*simNode
	byID  map[string]*simNode
	step  int
}

func simSize(r *Record[string]) int {
	if r.StateOnly {
		return bareBytes
	}
	return recordBytes
}

func newSim(t *testing.T, entries, agents int, full bool) *sim {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	s := &sim{t: t, now: t0, rnd: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*simNode{}}
	var recs []Record[string]
	for i := range entries + agents {
		r := Record[string]{
			ID: fmt.Sprintf("d%02d-%04d", i%designDomains, i), Domain: fleet.Domain(fmt.Sprintf("d%02d", i%designDomains)),
			Address: "10.0.0.1:1", Incarnation: 1, Version: 1,
		}
		if i >= entries {
			r.Kind = fleet.KindAgent
		}
		recs = append(recs, r)
	}
	for i, r := range recs {
		n := &simNode{Gossip: &Gossip[string]{Table: NewTable(r, s.now), Budget: NewBudget(rate, s.now), RecordSize: simSize, RandIntN: s.rnd.IntN}}
		for j, o := range recs {
			if i != j && (full || j < simSeeds) {
				n.Table.Merge(o, sendPeriod, s.now)
			}
		}
		s.nodes, s.byID[r.ID] = append(s.nodes, n), n
	}
	return s
}

func (s *sim) call(n, to *simNode, m Message[string]) Message[string] {
	count := func(m Message[string]) {
		b := headBytes + len(m.Digests)*digestBytes + len(m.Want)*wantedIDBytes
		for i := range m.Records {
			b += simSize(&m.Records[i].Record)
		}
		n.bytes, to.bytes = n.bytes+b, to.bytes+b
	}
	count(m)
	a, l := to.Reply(m, s.now)
	to.relay = to.relay || l.StateChanged || l.Refuted
	count(a)
	l = n.MergeMessage(a, s.now)
	n.relay = n.relay || l.StateChanged || l.Refuted
	return a
}

// exchange is what the application does with the decisions.
func (s *sim) exchange(n *simNode, id string, compare bool) {
	to := s.byID[id]
	if to.down {
		n.Table.RecordFailure(id, s.now)
		return
	}
	for range 4 {
		a := s.call(n, to, n.FirstMessage(id, s.now))
		for m, ok := n.NextMessage(a, s.now); ok && compare; m, ok = n.NextMessage(a, s.now) {
			a = s.call(n, to, m)
		}
		if !compare || a.Digest == n.Table.Digest() || !n.Budget.HalfFull(s.now) {
			return
		}
	}
}

// round advances the time by one tick.
func (s *sim) round() {
	s.now = s.now.Add(tick)
	s.step++
	for i, n := range s.nodes {
		if n.down {
			continue
		}
		if (i+s.step)%4 == 0 {
			n.relay = n.Table.Tick(s.now) || n.relay
			if s.step%64 < 4 || n.turn < 30 {
				n.neighbours = n.Table.Neighbours(s.now)
			}
			n.turn++
			s.exchange(n, n.neighbours[n.turn%len(n.neighbours)], true)
			for j, id := range n.Table.FailingIDs() {
				if j < 2 {
					s.exchange(n, id, true)
				}
			}
		}
		if n.relay {
			n.relay = false
			for _, id := range n.neighbours {
				s.exchange(n, id, false)
			}
		}
	}
}

// run advances for a time or until done, and returns the time taken and the
// mean and highest bytes per second of a node.
func (s *sim) run(limit time.Duration, done func() bool) (took time.Duration, mean, top float64) {
	for _, n := range s.nodes {
		n.bytes = 0
	}
	for took < limit && !done() {
		s.round()
		took += tick
	}
	for _, n := range s.nodes {
		b := float64(n.bytes) / took.Seconds()
		mean, top = mean+b/float64(len(s.nodes)), max(top, b)
	}
	return took, mean, top
}

func never() bool { return false }

// missing returns how many live nodes do not hold what ok accepts of a member.
func (s *sim) missing(id string, ok func(ObservedRecord[string], bool) bool) (n int) {
	for _, o := range s.nodes {
		if r, found := o.Table.Get(id, s.now); !o.down && !ok(r, found) {
			n++
		}
	}
	return n
}

// TestDesignSize guards against exchanges whose bytes grow with the fleet, and
// against failures and marks that spread too slowly at the design size.
func TestDesignSize(t *testing.T) {
	if !*designSize {
		t.Skip("holds 7.8 million records and takes minutes; run with -design-size")
	}
	s := newSim(t, designEntries, designAgents, true)
	s.run(2*time.Second, never)
	_, mean, top := s.run(3*time.Second, never)
	t.Logf("quiet: %.0f B/s, at most %.0f", mean, top)
	if top > rate {
		t.Errorf("a quiet process takes %.0f B/s, want at most %d", top, rate)
	}

	n := s.nodes[1000]
	n.Table.UpdateSelf(s.now, func(r *Record[string]) { r.Flags = 1 })
	n.relay = true
	took, mean, top := s.run(10*time.Second, func() bool {
		return s.missing(n.Table.self, func(r ObservedRecord[string], _ bool) bool { return r.Flags == 1 }) == 0
	})
	t.Logf("mark known everywhere after %v; %.0f B/s, at most %.0f", took, mean, top)
	if took > 3*time.Second {
		t.Errorf("mark known after %v, want 3 s", took)
	}

	s.nodes[2000].down = true
	id := s.nodes[2000].Table.self
	anyone := func() bool {
		return s.missing(id, func(r ObservedRecord[string], _ bool) bool { return r.State == Alive }) > 0
	}
	found, _, _ := s.run(12*time.Second, anyone)
	took, mean, top = s.run(10*time.Second, func() bool {
		return s.missing(id, func(r ObservedRecord[string], _ bool) bool { return r.State != Alive }) == 0
	})
	t.Logf("failure suspected after %v, known everywhere %v later; %.0f B/s, at most %.0f", found, took, mean, top)
	if took > 3*time.Second {
		t.Errorf("suspicion known after %v, want 3 s", took)
	}
}

// TestBudgetHolds guards against a fleet whose records change all the time, as
// during a spread, and that sends more than its setting; and against a mark
// that is late meanwhile.
func TestBudgetHolds(t *testing.T) {
	s := newSim(t, 40, 120, true)
	s.now = s.now.Add(startupPeriod)
	for _, n := range s.nodes {
		n.Budget.Charge(rate*startupBurstSeconds, s.now)
	}
	churn := func() bool {
		for range 16 {
			s.nodes[s.rnd.IntN(len(s.nodes))].Table.UpdateSelf(s.now, func(*Record[string]) {})
		}
		return false
	}
	took, mean, top := s.run(30*time.Second, churn)
	t.Logf("64 changes a second: %.0f B/s, at most %.0f, for %v", mean, top, took)
	if mean > 2*rate || top > perDaemon {
		t.Errorf("%.0f B/s, at most %.0f; want %d and %d", mean, top, 2*rate, perDaemon)
	}
	n := s.nodes[50]
	n.Table.UpdateSelf(s.now, func(r *Record[string]) { r.Flags = 1 })
	n.relay = true
	took, _, _ = s.run(10*time.Second, func() bool {
		churn()
		return s.missing(n.Table.self, func(r ObservedRecord[string], _ bool) bool { return r.Flags == 1 }) == 0
	})
	t.Logf("mark known everywhere after %v meanwhile", took)
	if took > 3*time.Second {
		t.Errorf("mark known after %v, want 3 s", took)
	}
}

// TestStartConverges guards against members that do not find each other after
// all started at once with a few seeds.
func TestStartConverges(t *testing.T) {
	s := newSim(t, 40, 120, false)
	took, mean, top := s.run(2*time.Minute, func() bool {
		for _, n := range s.nodes {
			if n.Table.Len() < len(s.nodes) {
				return false
			}
		}
		return true
	})
	t.Logf("all known after %v; %.0f B/s, at most %.0f", took, mean, top)
	if took >= time.Minute {
		t.Errorf("all known after %v, want less than a minute", took)
	}
}
