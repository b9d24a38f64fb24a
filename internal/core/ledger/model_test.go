package ledger

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stored is one version of the platform's document.
type stored struct {
	rev int64
	rec Records
}

// sent is a write on its way.
type sent struct {
	rev int64
	rec Records
}

// process is one process's table with its worker and its write in flight.
type process struct {
	table  *Table
	worker bool
	flight *sent
	// open are the attempts that wait; granted those that may run but have
	// not yet; ran those that have run and are not finished.
	open, granted, ran map[Attempt]Key
}

// model is several processes that share one document.
type model struct {
	t       *rapid.T
	now     time.Time
	keys    []Key
	history []stored // all versions, newest last
	delayed []sent   // writes that may still take effect
	procs   []*process
	runs    map[KeyHash]int
	tried   map[KeyHash]int
	nextID  byte
	nextRev int64
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.UnixMilli(1_800_000_000_000), history: []stored{{}},
		runs: map[KeyHash]int{}, tried: map[KeyHash]int{},
	}
	for i := range 3 {
		m.keys = append(m.keys, Key{Service: "s", Hash: KeyHash{byte(i)}, Time: m.now, Partition: 1})
	}
	for range 3 {
		m.add()
	}
	return m
}

func (m *model) add() {
	m.procs = append(m.procs, &process{
		table: NewTable(testWindow),
		open:  map[Attempt]Key{}, granted: map[Attempt]Key{}, ran: map[Attempt]Key{},
	})
}

func (m *model) name() Document { return m.keys[0].Document() }

func (m *model) proc(t *rapid.T) *process {
	return m.procs[rapid.IntRange(0, len(m.procs)-1).Draw(t, "proc")]
}

// pick draws one of the attempts, in a stable order.
func pick(t *rapid.T, from map[Attempt]Key) (Attempt, bool) {
	var ids []byte
	for a := range from {
		ids = append(ids, a[0])
	}
	if len(ids) == 0 {
		return Attempt{}, false
	}
	least := ids[0]
	for _, id := range ids {
		least = min(least, id)
	}
	return Attempt{least}, true
}

func (m *model) decided(p *process, a Attempt, d Decision) {
	k, ok := p.open[a]
	if !ok {
		m.t.Fatalf("attempt %x is decided (%d) but does not wait", a[0], d)
	}
	delete(p.open, a)
	switch d {
	case Run:
		p.granted[a] = k
	case AlreadyRan:
		if m.runs[k.Hash] != 1 {
			m.t.Fatalf("key %x is said to have run", k.Hash[0])
		}
	case MayHaveRun:
		if m.tried[k.Hash] < 2 {
			m.t.Fatalf("key %x is said to have another attempt", k.Hash[0])
		}
	}
}

func (m *model) outcomes(p *process, out []Outcome) {
	for _, o := range out {
		if _, waits := p.open[o.Attempt]; !waits {
			m.t.Fatalf("attempt %x is decided twice or after its caller has gone", o.Attempt[0])
		}
		m.decided(p, o.Attempt, o.Decision)
	}
}

func (m *model) join(t *rapid.T) {
	p, k := m.proc(t), m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
	m.nextID++
	a := Attempt{m.nextID}
	p.open[a] = k
	m.tried[k.Hash]++
	dec, start := p.table.Join(k, a, m.now)
	p.worker = p.worker || start
	if dec != Queued {
		m.decided(p, a, dec)
	}
}

// work lets a worker take its next step up to its write.
func (m *model) work(t *rapid.T) {
	p := m.proc(t)
	if !p.worker || p.flight != nil {
		return
	}
	switch p.table.Step(m.name()) {
	case Idle:
		p.worker = false
	case Read:
		m.read(t, p)
	case Write:
		rec, rev, out, ok := p.table.Compose(m.name(), m.now)
		m.outcomes(p, out)
		if ok {
			p.flight = &sent{rev, maps.Clone(rec)}
		}
	}
}

func (m *model) read(t *rapid.T, p *process) {
	back := rapid.IntRange(0, 4).Draw(t, "read")
	if back == 4 {
		out, retry := p.table.Unread(m.name())
		m.outcomes(p, out)
		p.worker = retry
		return
	}
	// A read may return any older version.
	v := m.history[max(0, len(m.history)-1-max(0, back-1))]
	out, _ := p.table.Loaded(m.name(), maps.Clone(v.rec), v.rev, m.now)
	m.outcomes(p, out)
}

func (m *model) apply(w sent) (int64, bool) {
	if m.history[len(m.history)-1].rev != w.rev {
		return 0, false
	}
	m.nextRev++
	m.history = append(m.history, stored{m.nextRev, w.rec})
	return m.nextRev, true
}

// land ends the write in flight of a process in one of the possible ways.
func (m *model) land(t *rapid.T) {
	p := m.proc(t)
	if p.flight == nil {
		return
	}
	w := *p.flight
	p.flight = nil
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "dropped", "late", "refused"}).Draw(t, "write") {
	case "answered":
		if rev, ok := m.apply(w); ok {
			m.outcomes(p, p.table.Landed(m.name(), rev, m.now))
			return
		}
		p.table.Uncertain(m.name(), true)
	case "lost":
		m.apply(w)
		p.table.Uncertain(m.name(), false)
	case "dropped":
		p.table.Uncertain(m.name(), false)
	case "late":
		m.delayed = append(m.delayed, w)
		p.table.Uncertain(m.name(), false)
	case "refused":
		out, retry := p.table.Refused(m.name())
		m.outcomes(p, out)
		p.worker = retry
	}
}

func (m *model) late(*rapid.T) {
	if len(m.delayed) > 0 {
		m.apply(m.delayed[0])
		m.delayed = m.delayed[1:]
	}
}

func (m *model) abandon(t *rapid.T) {
	p := m.proc(t)
	from := p.open
	if rapid.Bool().Draw(t, "granted") {
		from = p.granted
	}
	if a, ok := pick(t, from); ok {
		p.table.Abandon(from[a], a)
		delete(from, a)
	}
}

func (m *model) run(t *rapid.T) {
	p := m.proc(t)
	a, ok := pick(t, p.granted)
	if !ok {
		return
	}
	k := p.granted[a]
	delete(p.granted, a)
	if rapid.IntRange(0, 3).Draw(t, "runs") == 0 {
		p.table.Finish(k, a, Aborted)
		return
	}
	p.ran[a] = k
	if m.runs[k.Hash]++; m.runs[k.Hash] > 1 {
		t.Fatalf("key %x ran twice", k.Hash[0])
	}
}

func (m *model) finish(t *rapid.T) {
	p := m.proc(t)
	if a, ok := pick(t, p.ran); ok {
		p.table.Finish(p.ran[a], a, rapid.SampledFrom([]State{Done, Started}).Draw(t, "end"))
		delete(p.ran, a)
	}
}

func (m *model) flush(t *rapid.T) {
	p := m.proc(t)
	p.worker = len(p.table.Flushable(1)) > 0 || p.worker
}

// TestAtMostOnce guards against two runs of a key, and against an end that is
// told but not true, whatever happens to reads and writes: stale reads, lost
// answers, writes that take effect late, callers that go, processes that start
// while older ones still run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"join": m.join, "work": m.work, "work2": m.work, "land": m.land, "land2": m.land, "late": m.late,
			"abandon": m.abandon, "run": m.run, "finish": m.finish, "flush": m.flush,
			"start": func(*rapid.T) {
				if len(m.procs) < 5 {
					m.add()
				}
			},
			"": func(t *rapid.T) { m.t = t },
		})
	})
}
