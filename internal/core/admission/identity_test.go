package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// TestOutdatedObservation guards against a delayed report from before a restart
// that replaces the identity reported after it. Requests would then be admitted for
// an engine process that no longer exists.
func TestOutdatedObservation(t *testing.T) {
	table := newReadyTable(limits)
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		boot  string
		loads int64
		asked int
		now   int
		cold  bool
		why   string
	}{
		{"b1", 3, 0, 1, false, "the first report does not show a restart"},
		{"b1", 2, 1, 2, false, "a lower load count is older"},
		{"b1", 4, 0, 3, true, "a higher load count is newer, however early its query began"},
		{"b2", 0, 2, 4, false, "another boot queried before the last change may be older"},
		{"b2", 0, 3, 5, true, "another boot queried after the last change is newer"},
		{"b1", 9, 4, 6, false, "the previous boot, queried before the last change"},
		{"b2", 0, 6, 7, false, "the same identity"},
	} {
		if got := table.ObserveEngine("t", observation(c.boot, c.loads, at(c.asked)), at(c.now)); got != c.cold {
			t.Errorf("%s: reset to the cold limit is %v", c.why, got)
		}
	}
}

// TestIdentityConfirmation guards against a request above the cold limit that starts
// although the engine last reported its identity before the request arrived, and against
// unnecessary queries.
func TestIdentityConfirmation(t *testing.T) {
	table := newReadyTable(declare.Limits{MaxRequests: 8, ColdRequests: 2})
	now := t0
	table.ObserveEngine("t", observation("b", 1, now), now)
	runRequests(t, table, 6, Succeeded, now) // raises the limit from 2 to 4 to 8
	admit := func(since time.Time, want string) *Permit {
		t.Helper()
		p, err := table.AdmitSince("t", 1, since, now)
		got := "query"
		switch {
		case p != nil:
			got = "start"
		case err != nil:
			got = string(err.Code)
		}
		if got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		return p
	}
	now = now.Add(time.Second)
	for range 2 {
		if p := admit(now, "start"); p.ExpectedIdentity() != (fleet.EngineIdentity{}) {
			t.Fatal("got an expected identity for an engine that does not check it")
		}
	}
	admit(now, "query")
	table.ObserveEngine("t", observation("b", 1, now.Add(-time.Millisecond)), now)
	admit(now, "query")
	table.ObserveEngine("t", observation("b", 1, now), now)
	admit(now, "start")
	table.ObserveEngine("t", observation("b", 2, now), now)
	admit(now.Add(time.Second), string(verdict.CodeTargetWarming))

	checked := observation("b", 3, now)
	checked.ChecksIdentity = true
	table = newReadyTable(declare.Limits{MaxRequests: 2, ColdRequests: 1})
	table.ObserveEngine("t", checked, now)
	runRequests(t, table, 1, Succeeded, now)
	for range 2 {
		if p := admit(now.Add(time.Hour), "start"); p.ExpectedIdentity() != checked.EngineIdentity {
			t.Fatalf("expected identity is %+v", p.ExpectedIdentity())
		}
	}
	admit(now, string(verdict.CodeTargetFull))
}

// simEngine simulates an engine. It is overloaded above its cold limit plus one
// request for each that it finished since it last lost its caches.
type simEngine struct {
	id               fleet.EngineIdentity
	inFlight, served int
}

// simCall is a request between admission and release, admitted at the time sent.
type simCall struct {
	permit *Permit
	sent   time.Time
}

// sim simulates admission to an engine. Requests and responses of an engine that
// checks the identity may be delayed. An engine that does not check it is queried
// before each request and receives the request without delay, since only the check
// could cover a change in between.
type sim struct {
	table          *Table
	limits         declare.Limits
	checksIdentity bool
	now            time.Time
	engine         simEngine
	sent           []simCall
	running        []simCall
	finished       []simCall
	reports        []Observation
}

func (s *sim) status() Observation {
	return Observation{EngineIdentity: s.engine.id, ChecksIdentity: s.checksIdentity, AskedAt: s.now}
}

func (s *sim) admit(t *rapid.T) {
	p, refusal := s.table.AdmitSince("t", 1, s.now, s.now)
	if p == nil && refusal == nil {
		s.table.ObserveEngine("t", s.status(), s.now)
		if p, refusal = s.table.AdmitSince("t", 1, s.now, s.now); p == nil && refusal == nil {
			t.Fatal("identity queried again after the engine reported it")
		}
	}
	if p == nil {
		return
	}
	s.sent = append(s.sent, simCall{p, s.now})
	if !s.checksIdentity {
		s.arrive(t)
	}
}

func (s *sim) arrive(t *rapid.T) {
	c, ok := removeAny(t, &s.sent)
	if !ok {
		return
	}
	if s.checksIdentity && c.permit.ExpectedIdentity() != s.engine.id {
		s.table.ObserveEngine("t", Observation{EngineIdentity: s.engine.id, ChecksIdentity: true, AskedAt: c.sent}, s.now)
		c.permit.Release(Unused, s.now)
		return
	}
	if s.engine.inFlight >= min(s.limits.MaxRequests, s.limits.ColdRequests+s.engine.served) {
		t.Fatalf("engine with %d requests in progress is overloaded: it has served %d since its caches were lost", s.engine.inFlight, s.engine.served)
	}
	s.engine.inFlight++
	s.running = append(s.running, c)
}

func (s *sim) finish(t *rapid.T) {
	if c, ok := removeAny(t, &s.running); ok {
		s.engine.inFlight--
		s.engine.served++
		s.finished = append(s.finished, c)
	}
}

// removeAny removes an arbitrary element of a list and returns it.
func removeAny[T any](t *rapid.T, s *[]T) (v T, ok bool) {
	if len(*s) == 0 {
		return v, false
	}
	i := rapid.IntRange(0, len(*s)-1).Draw(t, "which")
	v = (*s)[i]
	*s = append((*s)[:i:i], (*s)[i+1:]...)
	return v, true
}

// TestNeverOverloaded guards against any order of admissions, calls, lost caches and
// delayed reports in which an engine receives more requests than it can take.
func TestNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{
			limits: declare.Limits{
				MaxRequests:  rapid.IntRange(2, 8).Draw(t, "max"),
				ColdRequests: rapid.IntRange(1, 2).Draw(t, "cold"),
			},
			checksIdentity: rapid.Bool().Draw(t, "checks"),
			now:            t0,
			engine:         simEngine{id: fleet.EngineIdentity{BootID: "b"}},
		}
		s.table = newReadyTable(s.limits)
		s.table.ObserveEngine("t", s.status(), s.now)
		t.Repeat(map[string]func(*rapid.T){
			"admit":  s.admit,
			"arrive": s.arrive,
			"finish": s.finish,
			"release": func(t *rapid.T) {
				if c, ok := removeAny(t, &s.finished); ok {
					c.permit.Release(Succeeded, s.now)
				}
			},
			"cold": func(*rapid.T) { s.engine.id.LoadCount++; s.engine.served = 0 },
			"ask":  func(*rapid.T) { s.reports = append(s.reports, s.status()) },
			"report": func(t *rapid.T) {
				if o, ok := removeAny(t, &s.reports); ok {
					s.table.ObserveEngine("t", o, s.now)
				}
			},
			"": func(*rapid.T) { s.now = s.now.Add(time.Millisecond) },
		})
	})
}
