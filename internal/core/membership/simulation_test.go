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
	designEntries        = 390
	designAgents         = 2400
	designDomains        = 14
	recordBytes          = 170
	stateOnlyBytes       = 28
	headerBytes          = 40
	tickInterval         = 250 * time.Millisecond
	budgetBytesPerSecond = 800
	// seedMembers is the number of members that every process knows when it starts.
	seedMembers = 3
	// maxControlBytesPerSecond is the limit for all control traffic of a process.
	// Besides exchanges it covers status streams, framing and the declaration.
	maxControlBytesPerSecond = 3000
)

var designSize = flag.Bool("design-size", false, "run the test with the tables of 2,790 processes")

// node is one process of the simulation.
type node struct {
	*Gossip[string]
	bytes      int
	turn       int
	sendNow    bool
	neighbours []string
	down       bool
}

// simulation runs the gossip of a fleet with a simulated clock. Each node starts one
// exchange per second and sends urgent changes one tick after it received them.
type simulation struct {
	t     *testing.T
	now   time.Time
	rnd   *rand.Rand
	nodes []*node
	byID  map[string]*node
	ticks int
}

func simulatedSize(r *Record[string]) int {
	if r.StateOnly {
		return stateOnlyBytes
	}
	return recordBytes
}

func newSimulation(t *testing.T, entries, agents int, allKnown bool) *simulation {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	s := &simulation{t: t, now: t0, rnd: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*node{}}
	var records []Record[string]
	for i := range entries + agents {
		r := Record[string]{
			ID: fmt.Sprintf("d%02d-%04d", i%designDomains, i), Domain: fleet.Domain(fmt.Sprintf("d%02d", i%designDomains)),
			Address: "10.0.0.1:1", Incarnation: 1, Version: 1,
		}
		if i >= entries {
			r.Kind = fleet.KindAgent
		}
		records = append(records, r)
	}
	for i, r := range records {
		n := &node{Gossip: &Gossip[string]{Table: NewTable(r, s.now), Budget: NewBudget(budgetBytesPerSecond, s.now), RecordSize: simulatedSize, RandIntN: s.rnd.IntN}}
		for j, o := range records {
			if i != j && (allKnown || j < seedMembers) {
				n.Table.Merge(o, sendPeriod, s.now)
			}
		}
		s.nodes, s.byID[r.ID] = append(s.nodes, n), n
	}
	return s
}

// call sends a message and merges the reply, and counts the bytes at both nodes.
func (s *simulation) call(n, to *node, m Message[string]) Message[string] {
	count := func(m Message[string]) {
		b := headerBytes + len(m.Digests)*digestBytes + len(m.Want)*wantedIDBytes
		for i := range m.Records {
			b += simulatedSize(&m.Records[i].Record)
		}
		n.bytes, to.bytes = n.bytes+b, to.bytes+b
	}
	count(m)
	reply, result := to.Reply(m, s.now)
	to.sendNow = to.sendNow || result.StateChanged || result.Refuted
	count(reply)
	result = n.MergeMessage(reply, s.now)
	n.sendNow = n.sendNow || result.StateChanged || result.Refuted
	return reply
}

// exchange runs an exchange in the way the application does.
func (s *simulation) exchange(n *node, id string, compare bool) {
	to := s.byID[id]
	if to.down {
		n.Table.RecordFailure(id, s.now)
		return
	}
	for range 4 {
		reply := s.call(n, to, n.FirstMessage(id, s.now))
		for m, ok := n.NextMessage(reply, s.now); ok && compare; m, ok = n.NextMessage(reply, s.now) {
			reply = s.call(n, to, m)
		}
		if !compare || reply.Digest == n.Table.Digest() || !n.Budget.HalfFull(s.now) {
			return
		}
	}
}

// round advances the time by one tick.
func (s *simulation) round() {
	s.now = s.now.Add(tickInterval)
	s.ticks++
	for i, n := range s.nodes {
		if n.down {
			continue
		}
		if (i+s.ticks)%4 == 0 {
			n.sendNow = n.Table.Tick(s.now) || n.sendNow
			if s.ticks%64 < 4 || n.turn < 30 {
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
		if n.sendNow {
			n.sendNow = false
			for _, id := range n.neighbours {
				s.exchange(n, id, false)
			}
		}
	}
}

// run advances the time until done returns true, but at most by limit. It returns
// the time taken, and the mean and the highest bytes per second of a node.
func (s *simulation) run(limit time.Duration, done func() bool) (took time.Duration, mean, top float64) {
	for _, n := range s.nodes {
		n.bytes = 0
	}
	for took < limit && !done() {
		s.round()
		took += tickInterval
	}
	for _, n := range s.nodes {
		b := float64(n.bytes) / took.Seconds()
		mean, top = mean+b/float64(len(s.nodes)), max(top, b)
	}
	return took, mean, top
}

func neverDone() bool { return false }

// countLacking returns the number of live nodes whose record of a member is not
// accepted by ok.
func (s *simulation) countLacking(id string, ok func(ObservedRecord[string], bool) bool) (n int) {
	for _, o := range s.nodes {
		if r, found := o.Table.Get(id, s.now); !o.down && !ok(r, found) {
			n++
		}
	}
	return n
}

// TestDesignSize guards against exchange traffic that grows with the fleet, and
// against failures and flags that spread too slowly at the design size.
func TestDesignSize(t *testing.T) {
	if !*designSize {
		t.Skip("needs 7.8 million records and several minutes; run with -design-size")
	}
	s := newSimulation(t, designEntries, designAgents, true)
	s.run(2*time.Second, neverDone)
	_, mean, top := s.run(3*time.Second, neverDone)
	t.Logf("without changes: %.0f B/s, at most %.0f", mean, top)
	if top > budgetBytesPerSecond {
		t.Errorf("a process uses %.0f B/s without changes, want at most %d", top, budgetBytesPerSecond)
	}

	n := s.nodes[1000]
	n.Table.UpdateSelf(s.now, func(r *Record[string]) { r.Flags = 1 })
	n.sendNow = true
	took, mean, top := s.run(10*time.Second, func() bool {
		return s.countLacking(n.Table.self, func(r ObservedRecord[string], _ bool) bool { return r.Flags == 1 }) == 0
	})
	t.Logf("flag known everywhere after %v; %.0f B/s, at most %.0f", took, mean, top)
	if took > 3*time.Second {
		t.Errorf("flag known after %v, want 3 s", took)
	}

	s.nodes[2000].down = true
	id := s.nodes[2000].Table.self
	suspected := func() bool {
		return s.countLacking(id, func(r ObservedRecord[string], _ bool) bool { return r.State == Alive }) > 0
	}
	detection, _, _ := s.run(12*time.Second, suspected)
	took, mean, top = s.run(10*time.Second, func() bool {
		return s.countLacking(id, func(r ObservedRecord[string], _ bool) bool { return r.State != Alive }) == 0
	})
	t.Logf("failure suspected after %v, known everywhere %v later; %.0f B/s, at most %.0f", detection, took, mean, top)
	if took > 3*time.Second {
		t.Errorf("suspicion known after %v, want 3 s", took)
	}
}

// TestBudgetUnderChurn guards against exceeding the configured rate, and against
// flags that spread late, while records change all the time, as during a
// distribution of weights.
func TestBudgetUnderChurn(t *testing.T) {
	s := newSimulation(t, 40, 120, true)
	s.now = s.now.Add(startupPeriod)
	for _, n := range s.nodes {
		n.Budget.Charge(budgetBytesPerSecond*startupBurstSeconds, s.now)
	}
	churn := func() bool {
		for range 16 {
			s.nodes[s.rnd.IntN(len(s.nodes))].Table.UpdateSelf(s.now, func(*Record[string]) {})
		}
		return false
	}
	took, mean, top := s.run(30*time.Second, churn)
	t.Logf("64 changes a second: %.0f B/s, at most %.0f, for %v", mean, top, took)
	if mean > 2*budgetBytesPerSecond || top > maxControlBytesPerSecond {
		t.Errorf("%.0f B/s, at most %.0f; want %d and %d", mean, top, 2*budgetBytesPerSecond, maxControlBytesPerSecond)
	}
	n := s.nodes[50]
	n.Table.UpdateSelf(s.now, func(r *Record[string]) { r.Flags = 1 })
	n.sendNow = true
	took, _, _ = s.run(10*time.Second, func() bool {
		churn()
		return s.countLacking(n.Table.self, func(r ObservedRecord[string], _ bool) bool { return r.Flags == 1 }) == 0
	})
	t.Logf("flag known everywhere after %v under churn", took)
	if took > 3*time.Second {
		t.Errorf("flag known after %v, want 3 s", took)
	}
}

// TestTablesConvergeAfterStart guards against members that do not find each other
// after all started at once and know only a few seeds.
func TestTablesConvergeAfterStart(t *testing.T) {
	s := newSimulation(t, 40, 120, false)
	took, mean, top := s.run(2*time.Minute, func() bool {
		for _, n := range s.nodes {
			if n.Table.Len() < len(s.nodes) {
				return false
			}
		}
		return true
	})
	t.Logf("all members known after %v; %.0f B/s, at most %.0f", took, mean, top)
	if took >= time.Minute {
		t.Errorf("all members known after %v, want less than a minute", took)
	}
}
