package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/feed"
)

const (
	tick           = 20 * time.Millisecond
	returnInterval = 3 * time.Second
	callTimeout    = 650 * time.Millisecond
	maxTravel      = 300 * time.Millisecond
	// maxCallTravel is below the time between the last call of a holder and the first of the next one.
	maxCallTravel = 750 * time.Millisecond
)

// storeState is the part of the store's state that a restore takes back to an older copy.
type storeState struct {
	revision, lease int64
	holder, last    Record
	leases          map[string]time.Duration
}

// simulation is a deployment in virtual time: a store, a platform that checks the rules, and processes whose
// messages are late or lost.
type simulation struct {
	t interface {
		Helper()
		Fatalf(string, ...any)
	}
	r      *rand.Rand
	now    time.Duration
	faults float64 // scales the probabilities of all faults
	store  storeState
	copies []storeState
	era    int64
	downTo time.Duration
	procs  []*process
	events []event

	// calls are the calls that the platform received.
	calls []call
	// restores counts the restores, and elections the holders.
	restores, elections int

	// callAlways makes a call due in each tick, instead of in one of four.
	callAlways bool
}

type event struct {
	at time.Duration
	do func()
}

type call struct {
	at     time.Duration
	token  int64
	name   string
	sender uint64
}

type process struct {
	sim      *simulation
	name     string
	id       uint64
	m        *Machine
	era      int64
	busy     bool
	frozenTo time.Duration
	cutTo    [2]time.Duration // from and to the store
	offline  time.Duration    // end of a cut from the platform
	inbox    []func()
}

func newSimulation(t *rapid.T, seed uint64, faults float64, processes int) *simulation {
	s := &simulation{t: t, r: rand.New(rand.NewPCG(seed, 1)), faults: faults}
	s.store.leases = map[string]time.Duration{}
	for i := range processes {
		s.procs = append(s.procs, &process{sim: s, name: fmt.Sprint("g", i)})
		s.procs[i].start()
	}
	return s
}

// start starts the process anew under its name.
func (p *process) start() {
	names := make([]string, len(p.sim.procs))
	for i := range names {
		names[i] = fmt.Sprint("g", i)
	}
	p.id, p.era, p.busy, p.inbox = p.sim.r.Uint64(), 0, false, nil
	p.m = New(DefaultParams(returnInterval), Holder{Name: p.name, Incarnation: p.id}, p.sim.now)
	p.m.SetCandidates([]string{"g0", "g1", "g2", "g3"})
}

func (s *simulation) chance(perSecond float64) bool {
	return s.r.Float64() < perSecond*s.faults*tick.Seconds()
}

func (s *simulation) upTo(d time.Duration) time.Duration { return time.Duration(s.r.Int64N(int64(d))) }

func (s *simulation) at(t time.Duration, do func()) { s.events = append(s.events, event{t, do}) }

// travel is the time that a message takes, mostly a few milliseconds.
func (s *simulation) travel() time.Duration {
	if s.r.Float64() < 0.2*s.faults {
		return s.upTo(maxTravel)
	}
	return s.upTo(5 * time.Millisecond)
}

// ask executes do at the store and answered at the process, which gets false if a message is lost. Either may
// happen late, and the answer after the call has timed out is ignored.
func (p *process) ask(do func(), answered func(ok bool)) {
	s, id, open := p.sim, p.id, true
	finish := func(ok bool, era int64) {
		p.inbox = append(p.inbox, func() {
			if p.id != id || !open {
				return
			}
			open = false
			if era < p.era { // a late answer of an older era
				ok = false
			}
			if ok {
				p.era = era
				p.m.SetEra(era)
			}
			answered(ok)
		})
	}
	s.at(s.now+callTimeout, func() { finish(false, 0) })
	late := time.Duration(0)
	if s.now < p.cutTo[1] {
		if s.r.IntN(2) == 0 {
			return
		}
		late = p.cutTo[1] - s.now // the kernel sends it again
	}
	s.at(s.now+late+s.travel(), func() {
		if s.now < s.downTo {
			return
		}
		do()
		if era := s.era; s.now >= p.cutTo[0] && s.r.Float64() >= 0.05*s.faults {
			s.at(s.now+s.travel(), func() { finish(true, era) })
		}
	})
}

func (s *simulation) listing() Listing {
	return Listing{Holder: s.store.holder, Last: s.store.last, At: s.store.revision}
}

// step performs the next step of the election, unless one is in progress.
func (p *process) step() {
	if p.busy {
		return
	}
	s := p.sim
	a := p.m.Next(s.now)
	if a.Step == Wait {
		return
	}
	p.busy = true
	o, l, lease := Failed, Listing{}, ""
	result := func(ok bool) {
		p.busy = false
		if !ok {
			o = Failed
		}
		switch a.Step {
		case List:
			p.m.Listed(s.now, a, o, l)
		case Grant:
			p.m.Granted(s.now, a, o, lease)
		case Elect:
			p.m.Elected(s.now, a, o)
		case Renew:
			p.m.Renewed(a, o)
		case Release:
			p.m.Released()
		}
	}
	switch a.Step {
	case List:
		p.ask(func() { o, l = Done, s.listing() }, result)
	case Grant:
		p.ask(func() { o, lease = Done, s.grant() }, result)
	case Elect:
		p.ask(func() { o = s.elect(a) }, result)
	case Renew:
		p.ask(func() { o = s.renew(a.Lease) }, result)
	case Release:
		p.ask(func() { s.endLease(a.Lease) }, result)
	}
}

func (s *simulation) grant() string {
	s.store.lease++
	id := fmt.Sprint(s.store.lease)
	s.store.leases[id] = s.now + DefaultParams(0).TTL
	return id
}

func (s *simulation) elect(a Action) Outcome {
	switch {
	case s.store.holder.Revision != a.Base.Holder.Revision || s.store.last.Revision != a.Base.Last.Revision:
		return Refused
	case s.store.leases[a.Holder.Lease] == 0:
		return Gone
	}
	s.store.revision++
	s.store.holder = Record{a.Holder, s.store.revision}
	s.store.last = s.store.holder
	s.elections++
	return Done
}

func (s *simulation) renew(lease string) Outcome {
	if s.store.leases[lease] == 0 {
		return Gone
	}
	s.store.leases[lease] = s.now + DefaultParams(0).TTL
	return Done
}

func (s *simulation) endLease(lease string) {
	delete(s.store.leases, lease)
	if s.store.holder.Revision != 0 && s.store.holder.Lease == lease {
		s.store.revision++
		s.store.holder = Record{}
	}
}

func (s *simulation) copyStore() storeState {
	c := s.store
	c.leases = map[string]time.Duration{}
	for k, v := range s.store.leases {
		c.leases[k] = v
	}
	return c
}

// restore replaces the store by a copy of the last seconds. Leases of the copy go on or have ended.
func (s *simulation) restore() {
	s.store = s.copies[s.r.IntN(len(s.copies))]
	ids := make([]string, 0, len(s.store.leases))
	for id := range s.store.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	leases := s.store.leases
	s.store.leases = map[string]time.Duration{}
	for _, id := range ids {
		s.store.leases[id] = leases[id]
		if s.r.IntN(2) == 0 {
			s.store.leases[id] = s.now + DefaultParams(0).TTL
		}
	}
	s.copies, s.era, s.restores = nil, s.era+1, s.restores+1
	s.downTo = max(s.downTo, s.now+s.upTo(2*time.Second))
}

// act makes a call to the platform if the process may.
func (p *process) act() {
	s := p.sim
	token, until, ok := p.m.MaySend(s.now)
	if !ok || !s.callAlways && s.r.IntN(4) > 0 {
		return
	}
	p.m.CallBegan()
	id := p.id
	c := call{token: token, name: p.name, sender: p.id}
	arrival := s.now + s.travel()
	if s.chance(5) {
		arrival = s.now + s.upTo(maxCallTravel)
	}
	if s.now >= p.offline {
		s.at(arrival, func() { s.receive(c) })
	}
	s.at(min(arrival+s.travel(), until), func() {
		p.inbox = append(p.inbox, func() {
			if p.id == id {
				p.m.CallEnded(s.now)
			}
		})
	})
}

// receive checks rules 2 to 4.
func (s *simulation) receive(c call) {
	s.t.Helper()
	c.at = s.now
	for i, b := range slices.Backward(s.calls) {
		switch {
		case b.token > c.token:
			s.t.Fatalf("rule 3: at %v %s sends token %d after %d of %s at %v", c.at, c.name, c.token, b.token, b.name, b.at)
		case b.token == c.token && b.sender != c.sender:
			s.t.Fatalf("rule 2: at %v %s sends token %d of %s", c.at, c.name, c.token, b.name)
		case b.name != c.name:
			for _, a := range slices.Backward(s.calls[:i]) {
				if a.name == c.name && c.at-a.at <= returnInterval {
					s.t.Fatalf("rule 4: %s at %v, %s at %v, %s at %v", a.name, a.at, b.name, b.at, c.name, c.at)
				}
				if c.at-a.at > returnInterval {
					break
				}
			}
		}
		if c.at-b.at > 2*returnInterval {
			break
		}
	}
	s.calls = append(s.calls, c)
}

// inject causes faults.
func (s *simulation) inject() {
	if s.chance(0.04) {
		s.downTo = s.now + s.upTo(10*time.Second)
	}
	if s.chance(0.06) && len(s.copies) > 0 {
		s.restore()
	}
	for _, p := range s.procs {
		if s.chance(0.06) {
			p.frozenTo = s.now + s.upTo(6*time.Second)
		}
		if s.chance(0.06) {
			p.cutTo[s.r.IntN(2)] = s.now + s.upTo(5*time.Second)
		}
		if s.chance(0.04) {
			p.offline = s.now + s.upTo(3*time.Second)
		}
		if s.chance(0.06) {
			p.start()
		}
		if s.chance(0.03) {
			p.m.Stop()
		}
		if p.m.Stopped() && s.chance(0.5) {
			p.start()
		}
	}
}

// watch reports the state of the key of the holder to a process some time later.
func (p *process) watch() {
	s := p.sim
	after, ok := p.m.Watch()
	if !ok || s.now < s.downTo || s.now < p.cutTo[0] || s.now < p.cutTo[1] || after >= s.store.revision && s.era == p.era {
		return
	}
	era, began, r, at, id := s.era, p.m.era, s.store.holder, s.store.revision, p.id
	s.at(s.now+s.travel(), func() {
		p.inbox = append(p.inbox, func() {
			if p.id != id || era < p.era {
				return
			}
			p.era = era
			p.m.SetEra(era)
			p.m.Changed(s.now, began, r, at)
			p.m.WatchedTo(began, at)
		})
	})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tick {
		s.inject()
		if s.now >= s.downTo {
			for id, until := range s.store.leases {
				if s.now >= until {
					s.endLease(id)
				}
			}
			if s.now%(10*tick) == 0 {
				s.copies = append(s.copies, s.copyStore())
				s.copies = s.copies[max(0, len(s.copies)-25):] // of 5 s
			}
		}
		due := slices.DeleteFunc(slices.Clone(s.events), func(e event) bool { return e.at > s.now })
		s.events = slices.DeleteFunc(s.events, func(e event) bool { return e.at <= s.now })
		for _, e := range due {
			e.do()
		}
		for _, p := range s.procs {
			if s.now < p.frozenTo {
				continue
			}
			inbox := p.inbox
			// A call of a process that has just been resumed precedes what it learns.
			p.act()
			p.inbox = nil
			for _, f := range inbox {
				f()
			}
			p.watch()
			p.step()
		}
	}
}

// TestRulesOfHolders guards against two holders that act at the same time, repeat a token or return too
// early, in any history of freezes, restarts, cuts, late and lost answers, outages and restores of the store.
func TestRulesOfHolders(t *testing.T) {
	var histories, calls, elections, restores int
	rapid.Check(t, func(t *rapid.T) {
		seed, faults := rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]float64{0, 0.3, 1, 3}).Draw(t, "faults")
		for i := range uint64(20) {
			s := newSimulation(t, seed+i, faults, 4)
			s.run(40 * time.Second)
			histories, calls, elections, restores = histories+1, calls+len(s.calls), elections+s.elections, restores+s.restores
			if faults == 0 && (s.elections != 1 || len(s.calls) < 100) {
				t.Fatalf("%d holders and %d calls without faults", s.elections, len(s.calls))
			}
		}
	})
	t.Logf("%d histories, %d calls, %d holders, %d restores", histories, calls, elections, restores)
	if histories < 2000 || elections < 2*histories || restores == 0 {
		t.Errorf("the histories hold too few changes to be a check")
	}
}

// TestVacancyIsShort guards against duties that nobody performs for long after their holder has ended.
func TestVacancyIsShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 0, 4)
		// The time that is checked ends when the next holder may act, not when a call is due.
		s.callAlways = true
		s.run(5*time.Second + s.upTo(time.Second))
		ended, last := s.now, s.calls[len(s.calls)-1]
		for _, p := range s.procs {
			if p.name == last.name {
				p.frozenTo = time.Hour
			}
		}
		s.run(4 * time.Second)
		next := s.calls[len(s.calls)-1]
		for _, c := range slices.Backward(s.calls) {
			if c.at > ended+100*time.Millisecond {
				next = c
			}
		}
		if next.name == last.name || next.at-ended > 3*time.Second {
			t.Fatalf("%s ended at %v, %s acts at %v", last.name, ended, next.name, next.at)
		}
	})
}

// TestCandidates guards against a domain whose candidates are all of another domain, and against ranks that
// differ between processes.
func TestCandidates(t *testing.T) {
	got := Candidates([]feed.Member{
		{ID: "g5", Domain: "b", Gateway: true}, {ID: "g3", Domain: "a", Gateway: true}, {ID: "g1", Domain: "a", Gateway: true},
		{ID: "g2", Domain: "a", Gateway: true}, {ID: "l0", Domain: "a"}, {ID: "g4", Domain: "b", Gateway: true}, {ID: "g6", Domain: "c", Gateway: true},
	})
	if want := []string{"g1", "g4", "g6", "g2", "g5"}; !slices.Equal(got, want) {
		t.Errorf("candidates are %v, want %v", got, want)
	}
}

// TestWatchTimeWithinStoreLimit guards against a watch that the store refuses because it waits too long: the
// store holds a call for 30 s at most, and 28 candidates would each wait for 140 s.
func TestWatchTimeWithinStoreLimit(t *testing.T) {
	for _, n := range []int{0, 1, 6, 28} {
		if d := WatchTime(n); d <= 0 || d > 30*time.Second {
			t.Errorf("%d candidates: %v", n, d)
		}
	}
}
