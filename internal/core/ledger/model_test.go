package ledger

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// docVersion is one version of the document on the platform.
type docVersion struct {
	rev int64
	rec Records
}

// sentWrite is a write that was sent and has no result yet.
type sentWrite struct {
	rev int64
	rec Records
}

// process is the table of one process with its worker and its write in flight.
type process struct {
	table    *Table
	worker   bool
	inFlight *sentWrite
	// waiting holds the undecided attempts, runnable those that may run but
	// have not run yet, unfinished those that ran but were not reported as
	// ended.
	waiting, runnable, unfinished map[Attempt]Key
}

// model is a set of processes that share one document.
type model struct {
	t        *rapid.T
	now      time.Time
	keys     []Key
	history  []docVersion // all versions, newest last
	delayed  []sentWrite  // writes that may still take effect
	procs    []*process
	runs     map[KeyHash]int
	attempts map[KeyHash]int
	nextID   byte
	nextRev  int64
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.UnixMilli(1_800_000_000_000), history: []docVersion{{}},
		runs: map[KeyHash]int{}, attempts: map[KeyHash]int{},
	}
	for i := range 3 {
		m.keys = append(m.keys, Key{Service: "s", Hash: KeyHash{byte(i)}, Time: m.now, Partition: 1})
	}
	for range 3 {
		m.addProcess()
	}
	return m
}

func (m *model) addProcess() {
	m.procs = append(m.procs, &process{
		table:   NewTable(testWindow),
		waiting: map[Attempt]Key{}, runnable: map[Attempt]Key{}, unfinished: map[Attempt]Key{},
	})
}

func (m *model) document() Document { return m.keys[0].Document() }

func (m *model) drawProcess(t *rapid.T) *process {
	return m.procs[rapid.IntRange(0, len(m.procs)-1).Draw(t, "proc")]
}

// firstAttempt returns the attempt with the lowest id, so that a run depends on
// its seed only.
func firstAttempt(t *rapid.T, from map[Attempt]Key) (Attempt, bool) {
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

func (m *model) applyDecision(p *process, a Attempt, d Decision) {
	k, ok := p.waiting[a]
	if !ok {
		m.t.Fatalf("attempt %x is decided (%d) but is not waiting", a[0], d)
	}
	delete(p.waiting, a)
	switch d {
	case Run:
		p.runnable[a] = k
	case AlreadyRan:
		if m.runs[k.Hash] != 1 {
			m.t.Fatalf("key %x is reported as run, but did not run once", k.Hash[0])
		}
	case MayHaveRun:
		if m.attempts[k.Hash] < 2 {
			m.t.Fatalf("key %x is reported as having another attempt", k.Hash[0])
		}
	}
}

func (m *model) applyOutcomes(p *process, out []Outcome) {
	for _, o := range out {
		if _, waits := p.waiting[o.Attempt]; !waits {
			m.t.Fatalf("attempt %x is decided twice or after its caller disconnected", o.Attempt[0])
		}
		m.applyDecision(p, o.Attempt, o.Decision)
	}
}

func (m *model) submit(t *rapid.T) {
	p, k := m.drawProcess(t), m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
	m.nextID++
	a := Attempt{m.nextID}
	p.waiting[a] = k
	m.attempts[k.Hash]++
	dec, start := p.table.Submit(k, a, m.now)
	p.worker = p.worker || start
	if dec != Queued {
		m.applyDecision(p, a, dec)
	}
}

// workerStep executes the next step of a worker; a write stays in flight.
func (m *model) workerStep(t *rapid.T) {
	p := m.drawProcess(t)
	if !p.worker || p.inFlight != nil {
		return
	}
	switch p.table.NextStep(m.document()) {
	case StepIdle:
		p.worker = false
	case StepRead:
		m.readStep(t, p)
	case StepWrite:
		rec, rev, out, ok := p.table.PrepareWrite(m.document(), m.now)
		m.applyOutcomes(p, out)
		if ok {
			p.inFlight = &sentWrite{rev, maps.Clone(rec)}
		}
	}
}

func (m *model) readStep(t *rapid.T, p *process) {
	back := rapid.IntRange(0, 4).Draw(t, "read")
	if back == 4 {
		out, retry := p.table.ReadFailed(m.document())
		m.applyOutcomes(p, out)
		p.worker = retry
		return
	}
	// A read may return an older version.
	v := m.history[max(0, len(m.history)-1-max(0, back-1))]
	out, _ := p.table.ReadSucceeded(m.document(), maps.Clone(v.rec), v.rev, m.now)
	m.applyOutcomes(p, out)
}

func (m *model) applyWrite(w sentWrite) (int64, bool) {
	if m.history[len(m.history)-1].rev != w.rev {
		return 0, false
	}
	m.nextRev++
	m.history = append(m.history, docVersion{m.nextRev, w.rec})
	return m.nextRev, true
}

// endWrite gives the write in flight of one process one of the possible
// results.
func (m *model) endWrite(t *rapid.T) {
	p := m.drawProcess(t)
	if p.inFlight == nil {
		return
	}
	w := *p.inFlight
	p.inFlight = nil
	switch rapid.SampledFrom([]string{"confirmed", "confirmed", "reply lost", "dropped", "late", "rejected"}).Draw(t, "write") {
	case "confirmed":
		if rev, ok := m.applyWrite(w); ok {
			m.applyOutcomes(p, p.table.WriteSucceeded(m.document(), rev, m.now))
			return
		}
		p.table.WriteUnconfirmed(m.document(), true)
	case "reply lost":
		m.applyWrite(w)
		p.table.WriteUnconfirmed(m.document(), false)
	case "dropped":
		p.table.WriteUnconfirmed(m.document(), false)
	case "late":
		m.delayed = append(m.delayed, w)
		p.table.WriteUnconfirmed(m.document(), false)
	case "rejected":
		out, retry := p.table.WriteRejected(m.document())
		m.applyOutcomes(p, out)
		p.worker = retry
	}
}

func (m *model) applyDelayed(*rapid.T) {
	if len(m.delayed) > 0 {
		m.applyWrite(m.delayed[0])
		m.delayed = m.delayed[1:]
	}
}

func (m *model) cancel(t *rapid.T) {
	p := m.drawProcess(t)
	from := p.waiting
	if rapid.Bool().Draw(t, "granted") {
		from = p.runnable
	}
	if a, ok := firstAttempt(t, from); ok {
		p.table.Cancel(from[a], a)
		delete(from, a)
	}
}

func (m *model) runCall(t *rapid.T) {
	p := m.drawProcess(t)
	a, ok := firstAttempt(t, p.runnable)
	if !ok {
		return
	}
	k := p.runnable[a]
	delete(p.runnable, a)
	if rapid.IntRange(0, 3).Draw(t, "runs") == 0 {
		p.table.Finish(k, a, Aborted)
		return
	}
	p.unfinished[a] = k
	if m.runs[k.Hash]++; m.runs[k.Hash] > 1 {
		t.Fatalf("key %x ran twice", k.Hash[0])
	}
}

func (m *model) finishCall(t *rapid.T) {
	p := m.drawProcess(t)
	if a, ok := firstAttempt(t, p.unfinished); ok {
		p.table.Finish(p.unfinished[a], a, rapid.SampledFrom([]State{Done, Started}).Draw(t, "end"))
		delete(p.unfinished, a)
	}
}

func (m *model) claimDirty(t *rapid.T) {
	p := m.drawProcess(t)
	p.worker = len(p.table.ClaimDirty(1)) > 0 || p.worker
}

// TestAtMostOnce guards against two runs of one key and against a wrong final
// decision. Reads may be stale, replies may be lost, writes may take effect
// late, callers may disconnect, and processes may start while older ones still run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"join": m.submit, "work": m.workerStep, "work2": m.workerStep, "land": m.endWrite, "land2": m.endWrite, "late": m.applyDelayed,
			"abandon": m.cancel, "run": m.runCall, "finish": m.finishCall, "flush": m.claimDirty,
			"start": func(*rapid.T) {
				if len(m.procs) < 5 {
					m.addProcess()
				}
			},
			"": func(t *rapid.T) { m.t = t },
		})
	})
}
