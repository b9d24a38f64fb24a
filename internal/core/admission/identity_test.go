package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// TestOutdatedObservation guards against a late report of the identity before
// a restart that replaces the one after it: requests would be admitted for an
// engine that no longer exists.
func TestOutdatedObservation(t *testing.T) {
	tb := ready(limits)
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		boot  string
		loads int64
		asked int
		now   int
		cold  bool
		why   string
	}{
		{"b1", 3, 0, 1, false, "the first report is no restart"},
		{"b1", 2, 1, 2, false, "a lower load count is older"},
		{"b1", 4, 0, 3, true, "a higher load count is newer, however late it was asked for"},
		{"b2", 0, 2, 4, false, "another boot asked for before the last change may be older"},
		{"b2", 0, 3, 5, true, "another boot asked for after the last change is newer"},
		{"b1", 9, 4, 6, false, "the boot before"},
		{"b2", 0, 6, 7, false, "the same identity"},
	} {
		if got := tb.ObserveEngine("t", seen(c.boot, c.loads, at(c.asked)), at(c.now)); got != c.cold {
			t.Errorf("%s: became cold is %v", c.why, got)
		}
	}
}

// TestConfirmation guards against a request beyond the cold limit that starts
// on an identity stated before it came, and against questions without need.
func TestConfirmation(t *testing.T) {
	tb := ready(declare.Limits{MaxRequests: 8, ColdRequests: 2})
	now := t0
	tb.ObserveEngine("t", seen("b", 1, now), now)
	run(t, tb, 6, Succeeded, now) // 2, 4, 8
	admit := func(since time.Time, want string) *Permit {
		t.Helper()
		p, err := tb.AdmitSince("t", 1, since, now)
		got := "ask"
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
			t.Fatal("an engine that does not check the identity is given one")
		}
	}
	admit(now, "ask")
	tb.ObserveEngine("t", seen("b", 1, now.Add(-time.Millisecond)), now)
	admit(now, "ask")
	tb.ObserveEngine("t", seen("b", 1, now), now)
	admit(now, "start")
	tb.ObserveEngine("t", seen("b", 2, now), now)
	admit(now.Add(time.Second), string(verdict.CodeTargetWarming))

	checks := seen("b", 3, now)
	checks.ChecksIdentity = true
	tb = ready(declare.Limits{MaxRequests: 2, ColdRequests: 1})
	tb.ObserveEngine("t", checks, now)
	run(t, tb, 1, Succeeded, now)
	for range 2 {
		if p := admit(now.Add(time.Hour), "start"); p.ExpectedIdentity() != checks.EngineIdentity {
			t.Fatalf("the engine is given %+v to check", p.ExpectedIdentity())
		}
	}
	admit(now, string(verdict.CodeTargetFull))
}

// modelEngine fails over what it bears: its cold limit and one more for each
// request that it finished since it became cold.
type modelEngine struct {
	id               fleet.EngineIdentity
	inFlight, served int
}

// modelCall is a request between admission and release.
type modelCall struct {
	p    *Permit
	sent time.Time
}

// model runs admission against an engine. Requests and answers of a checking
// engine take any time; one that does not check is asked before each request
// and gets it at once, since the time between is what its check would cover.
type model struct {
	tb       *Table
	l        declare.Limits
	checks   bool
	now      time.Time
	e        modelEngine
	sent     []modelCall
	running  []modelCall
	finished []modelCall
	reports  []Observation
}

func (m *model) status() Observation {
	return Observation{EngineIdentity: m.e.id, ChecksIdentity: m.checks, AskedAt: m.now}
}

func (m *model) admit(t *rapid.T) {
	p, refusal := m.tb.AdmitSince("t", 1, m.now, m.now)
	if p == nil && refusal == nil {
		m.tb.ObserveEngine("t", m.status(), m.now)
		if p, refusal = m.tb.AdmitSince("t", 1, m.now, m.now); p == nil && refusal == nil {
			t.Fatal("asked again after the engine stated its identity")
		}
	}
	if p == nil {
		return
	}
	m.sent = append(m.sent, modelCall{p, m.now})
	if !m.checks {
		m.arrive(t)
	}
}

func (m *model) arrive(t *rapid.T) {
	c, ok := take(t, &m.sent)
	if !ok {
		return
	}
	if m.checks && c.p.ExpectedIdentity() != m.e.id {
		m.tb.ObserveEngine("t", Observation{EngineIdentity: m.e.id, ChecksIdentity: true, AskedAt: c.sent}, m.now)
		c.p.Release(Unused, m.now)
		return
	}
	if m.e.inFlight >= min(m.l.MaxRequests, m.l.ColdRequests+m.e.served) {
		t.Fatalf("engine with %d requests is overloaded after it served %d", m.e.inFlight, m.e.served)
	}
	m.e.inFlight++
	m.running = append(m.running, c)
}

func (m *model) finish(t *rapid.T) {
	if c, ok := take(t, &m.running); ok {
		m.e.inFlight--
		m.e.served++
		m.finished = append(m.finished, c)
	}
}

// take removes any one of a list.
func take[T any](t *rapid.T, s *[]T) (v T, ok bool) {
	if len(*s) == 0 {
		return v, false
	}
	i := rapid.IntRange(0, len(*s)-1).Draw(t, "which")
	v = (*s)[i]
	*s = append((*s)[:i:i], (*s)[i+1:]...)
	return v, true
}

// TestNeverOverloaded guards against any order of admissions, calls, lost
// caches and late reports in which an engine gets more than it bears.
func TestNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			l: declare.Limits{
				MaxRequests:  rapid.IntRange(2, 8).Draw(t, "max"),
				ColdRequests: rapid.IntRange(1, 2).Draw(t, "cold"),
			},
			checks: rapid.Bool().Draw(t, "checks"),
			now:    t0,
			e:      modelEngine{id: fleet.EngineIdentity{BootID: "b"}},
		}
		m.tb = ready(m.l)
		m.tb.ObserveEngine("t", m.status(), m.now)
		t.Repeat(map[string]func(*rapid.T){
			"admit":  m.admit,
			"arrive": m.arrive,
			"finish": m.finish,
			"release": func(t *rapid.T) {
				if c, ok := take(t, &m.finished); ok {
					c.p.Release(Succeeded, m.now)
				}
			},
			"cold": func(*rapid.T) { m.e.id.LoadCount++; m.e.served = 0 },
			"ask":  func(*rapid.T) { m.reports = append(m.reports, m.status()) },
			"report": func(t *rapid.T) {
				if o, ok := take(t, &m.reports); ok {
					m.tb.ObserveEngine("t", o, m.now)
				}
			},
			"": func(*rapid.T) { m.now = m.now.Add(time.Millisecond) },
		})
	})
}
