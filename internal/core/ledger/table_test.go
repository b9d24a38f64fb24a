package ledger

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

// bench is one process and the document as the platform holds it.
type bench struct {
	t    *testing.T
	tab  *Table
	key  Key
	now  time.Time
	rec  Records
	rev  int64
	next byte
}

func newBench(t *testing.T) *bench {
	now := time.UnixMilli(1_800_000_000_000)
	return &bench{
		t: t, tab: NewTable(testWindow), now: now,
		key: Key{Service: "s", Hash: KeyHash{1}, Time: now, Partition: 1},
	}
}

// restart returns a new process over the same document.
func (b *bench) restart() *bench {
	c := *b
	c.tab, c.next = NewTable(testWindow), b.next+100
	return &c
}

func (b *bench) join() (Attempt, Decision) {
	b.next++
	d, _ := b.tab.Join(b.key, Attempt{b.next}, b.now)
	return Attempt{b.next}, d
}

// write is what becomes of a write.
type write func(b *bench, rec Records) []Outcome

func lands(b *bench, rec Records) []Outcome {
	b.rev, b.rec = b.rev+1, rec
	return b.tab.Landed(b.key.Document(), b.rev, b.now)
}

func answerLost(b *bench, rec Records) []Outcome {
	b.rev, b.rec = b.rev+1, rec
	b.tab.Uncertain(b.key.Document(), false)
	return nil
}

func refuses(b *bench, _ Records) []Outcome {
	out, _ := b.tab.Refused(b.key.Document())
	return out
}

// work lets the worker go on until it is idle and returns the last decision.
func (b *bench) work(w write, readable bool) (last Decision) {
	b.t.Helper()
	for range 10 {
		var out []Outcome
		switch b.tab.Step(b.key.Document()) {
		case Idle:
			return last
		case Read:
			if !readable {
				out, retry := b.tab.Unread(b.key.Document())
				if len(out) > 0 {
					last = out[0].Decision
				}
				if !retry || len(out) == 0 {
					return last
				}
				continue
			}
			out, _ = b.tab.Loaded(b.key.Document(), b.rec, b.rev, b.now)
		case Write:
			rec, _, early, ok := b.tab.Compose(b.key.Document(), b.now)
			if out = early; ok {
				out = append(out, w(b, rec)...)
			}
		}
		if len(out) > 0 {
			last = out[0].Decision
		}
	}
	b.t.Fatal("the worker does not come to an end")
	return last
}

func (b *bench) want(what string, got, want Decision) {
	b.t.Helper()
	if got != want {
		b.t.Errorf("%s: decision %d, want %d", what, got, want)
	}
}

// begin joins and works until the call is decided.
func (b *bench) begin(w write, readable bool) (Attempt, Decision) {
	b.t.Helper()
	a, d := b.join()
	if d == Queued {
		d = b.work(w, readable)
	}
	return a, d
}

// TestCallerIsTold guards against a wrong answer in each situation of the
// table in section 4.2 of the design page.
func TestCallerIsTold(t *testing.T) {
	b := newBench(t)
	_, d := b.begin(lands, false)
	b.want("platform unreachable before the record is written", d, Unavailable)
	_, d = b.begin(refuses, true)
	b.want("write refused", d, Unavailable)
	a, d := b.begin(answerLost, true)
	b.want("answer to the write lost, the record is there", d, Run)
	_, d = b.join()
	b.want("the call is running", d, InProgress)
	other := b.restart()
	_, d = other.begin(lands, true)
	b.want("started by another attempt", d, MayHaveRun)
	b.tab.Finish(b.key, a, Done)
	_, d = b.join()
	b.want("done, not yet written", d, AlreadyRan)
	b.work(lands, true)
	other.rec, other.rev = b.rec, b.rev
	_, d = other.begin(lands, true)
	b.want("done, written by another process", d, AlreadyRan)
	for d, want := range map[Decision]verdict.Verdict{
		Unavailable: verdict.NotRun, MayHaveRun: verdict.MayHaveRun, AlreadyRan: verdict.Ran, InProgress: verdict.MayHaveRun,
	} {
		if got := d.Err().Verdict; got != want {
			t.Errorf("verdict of decision %d is %v, want %v", d, got, want)
		}
	}
}

// TestAnswerLostAndUnreadable guards against an attempt that is forgotten
// although its record may be in the document, so that no repeat could run.
func TestAnswerLostAndUnreadable(t *testing.T) {
	b := newBench(t)
	lost, _ := b.join()
	b.tab.Loaded(b.key.Document(), nil, 0, b.now)
	rec, _, _, _ := b.tab.Compose(b.key.Document(), b.now)
	answerLost(b, rec)
	if out, retry := b.tab.Unread(b.key.Document()); len(out) != 0 || !retry {
		t.Fatalf("outcomes %v, retry %v: the call has to wait on", out, retry)
	}
	b.tab.Abandon(b.key, lost)
	_, d := b.restart().begin(lands, true)
	b.want("repeat through another process", d, MayHaveRun)
	_, d = b.begin(lands, true)
	b.want("repeat through the same process", d, Run)
}

// TestNotRunFreesKey guards against a key that stays taken after an attempt
// that certainly did not run, here and in other processes.
func TestNotRunFreesKey(t *testing.T) {
	b := newBench(t)
	a, d := b.begin(lands, true)
	b.want("first attempt", d, Run)
	b.tab.Abandon(b.key, a) // the caller went before it took the ticket
	b.work(lands, true)     // writes the mark
	if b.tab.Marks() != 0 {
		t.Error("the mark was not written")
	}
	other := b.restart()
	a, d = other.begin(lands, true)
	b.want("repeat through another process", d, Run)
	other.tab.Finish(b.key, a, Aborted)
	_, d = other.begin(lands, true)
	b.want("repeat through the same process", d, Run)
}

// TestAbandonedWriteFreesKey guards against a repeat that is told "may have
// run" because the write of an earlier attempt, whose caller was told "not run"
// and has gone, is still in flight.
func TestAbandonedWriteFreesKey(t *testing.T) {
	for name, end := range map[string]write{"lands": lands, "answer lost": answerLost, "refused": refuses} {
		b := newBench(t)
		gone, _ := b.join()
		b.tab.Loaded(b.key.Document(), nil, 0, b.now)
		rec, _, _, _ := b.tab.Compose(b.key.Document(), b.now)
		b.tab.Abandon(b.key, gone)
		_, d := b.join()
		b.want(name+": repeat while the write is in flight", d, Queued)
		end(b, rec)
		b.want(name+": repeat after the write", b.work(lands, true), Run)
	}
}

// TestLeaseConflict guards against a lease that is gone and is used again for
// ever, because its conflict looks like that of a race.
func TestLeaseConflict(t *testing.T) {
	b := newBench(t)
	b.join()
	name := b.key.Document()
	b.tab.Loaded(name, nil, 0, b.now)
	b.tab.Compose(name, b.now)
	b.tab.Uncertain(name, true)
	if _, unchanged := b.tab.Loaded(name, nil, 0, b.now); !unchanged {
		t.Error("a conflict without a change is not reported")
	}
	b.tab.Compose(name, b.now)
	b.tab.Uncertain(name, true)
	if _, unchanged := b.tab.Loaded(name, Records{}, 1, b.now); unchanged {
		t.Error("a conflict with a change is reported as none")
	}
}

// TestBatchJoins guards against a write per call: calls that come while a
// write is in flight share the next one.
func TestBatchJoins(t *testing.T) {
	b := newBench(t)
	b.join()
	name := b.key.Document()
	b.tab.Loaded(name, nil, 0, b.now)
	rec, _, _, _ := b.tab.Compose(name, b.now)
	for i := range 50 {
		k := b.key
		k.Hash = KeyHash{2, byte(i)}
		if d, start := b.tab.Join(k, Attempt{2, byte(i)}, b.now); d != Queued || start {
			t.Fatalf("call %d: decision %d, second worker %v", i, d, start)
		}
	}
	lands(b, rec)
	if rec, _, _, ok := b.tab.Compose(name, b.now); !ok || len(rec) != 51 {
		t.Errorf("the next write has %d records, want 51", len(rec))
	}
}

// TestSweep guards against documents that are kept for ever and against one
// that is forgotten while a call of it runs.
func TestSweep(t *testing.T) {
	b := newBench(t)
	a, _ := b.begin(lands, true)
	b.tab.Sweep(b.now.Add(2 * idleTime))
	if b.tab.Len() != 1 {
		t.Fatal("forgotten while a call runs")
	}
	b.tab.Finish(b.key, a, Done)
	b.work(lands, true)
	b.tab.Sweep(b.now.Add(2 * idleTime))
	if b.tab.Len() != 0 {
		t.Fatal("kept without open work")
	}
}
