package ledger

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

// fixture is one process and the document as the platform stores it.
type fixture struct {
	t       *testing.T
	table   *Table
	key     Key
	now     time.Time
	records Records
	rev     int64
	next    byte
}

func newFixture(t *testing.T) *fixture {
	now := time.UnixMilli(1_800_000_000_000)
	return &fixture{
		t: t, table: NewTable(testWindow), now: now,
		key: Key{Service: "s", Hash: KeyHash{1}, Time: now, Partition: 1},
	}
}

// newProcess returns another process that shares the document's current
// content.
func (f *fixture) newProcess() *fixture {
	c := *f
	c.table, c.next = NewTable(testWindow), f.next+100
	return &c
}

func (f *fixture) submit() (Attempt, Decision) {
	f.next++
	d, _ := f.table.Submit(f.key, Attempt{f.next}, f.now)
	return Attempt{f.next}, d
}

// writeResult ends a prepared write and returns the resulting outcomes.
type writeResult func(f *fixture, records Records) []Outcome

func writeSucceeds(f *fixture, records Records) []Outcome {
	f.rev, f.records = f.rev+1, records
	return f.table.WriteSucceeded(f.key.Document(), f.rev, f.now)
}

func writeReplyLost(f *fixture, records Records) []Outcome {
	f.rev, f.records = f.rev+1, records
	f.table.WriteUnconfirmed(f.key.Document(), false)
	return nil
}

func writeRejected(f *fixture, _ Records) []Outcome {
	out, _ := f.table.WriteRejected(f.key.Document())
	return out
}

// runWorker runs the worker until it is idle and returns the last decision.
func (f *fixture) runWorker(w writeResult, readable bool) (last Decision) {
	f.t.Helper()
	for range 10 {
		var out []Outcome
		switch f.table.NextStep(f.key.Document()) {
		case StepIdle:
			return last
		case StepRead:
			if !readable {
				out, retry := f.table.ReadFailed(f.key.Document())
				if len(out) > 0 {
					last = out[0].Decision
				}
				if !retry || len(out) == 0 {
					return last
				}
				continue
			}
			out, _ = f.table.ReadSucceeded(f.key.Document(), f.records, f.rev, f.now)
		case StepWrite:
			records, _, early, ok := f.table.PrepareWrite(f.key.Document(), f.now)
			if out = early; ok {
				out = append(out, w(f, records)...)
			}
		}
		if len(out) > 0 {
			last = out[0].Decision
		}
	}
	f.t.Fatal("the worker does not become idle")
	return last
}

func (f *fixture) checkDecision(situation string, got, want Decision) {
	f.t.Helper()
	if got != want {
		f.t.Errorf("%s: decision %d, want %d", situation, got, want)
	}
}

// submitAndWork submits a call and runs the worker until the call is decided.
func (f *fixture) submitAndWork(w writeResult, readable bool) (Attempt, Decision) {
	f.t.Helper()
	a, d := f.submit()
	if d == Queued {
		d = f.runWorker(w, readable)
	}
	return a, d
}

// TestDecisionForCaller guards against a wrong decision in any of the
// situations that the table in section 4.2 of the design page lists.
func TestDecisionForCaller(t *testing.T) {
	f := newFixture(t)
	_, d := f.submitAndWork(writeSucceeds, false)
	f.checkDecision("platform unreachable before the record is written", d, Unavailable)
	_, d = f.submitAndWork(writeRejected, true)
	f.checkDecision("write rejected", d, Unavailable)
	a, d := f.submitAndWork(writeReplyLost, true)
	f.checkDecision("reply to the write lost, record present", d, Run)
	_, d = f.submit()
	f.checkDecision("the call is running", d, InProgress)
	other := f.newProcess()
	_, d = other.submitAndWork(writeSucceeds, true)
	f.checkDecision("started by another attempt", d, MayHaveRun)
	f.table.Finish(f.key, a, Done)
	_, d = f.submit()
	f.checkDecision("done, not yet written", d, AlreadyRan)
	f.runWorker(writeSucceeds, true)
	other.records, other.rev = f.records, f.rev
	_, d = other.submitAndWork(writeSucceeds, true)
	f.checkDecision("done, written by another process", d, AlreadyRan)
	for d, want := range map[Decision]verdict.Verdict{
		Unavailable: verdict.NotRun, MayHaveRun: verdict.MayHaveRun, AlreadyRan: verdict.Ran, InProgress: verdict.MayHaveRun,
	} {
		if got := d.Err().Verdict; got != want {
			t.Errorf("verdict of decision %d is %v, want %v", d, got, want)
		}
	}
}

// TestReplyLostThenReadFails guards against dropping an attempt whose record
// may be in the document. No later attempt with the key could then run.
func TestReplyLostThenReadFails(t *testing.T) {
	f := newFixture(t)
	attempt, _ := f.submit()
	f.table.ReadSucceeded(f.key.Document(), nil, 0, f.now)
	records, _, _, _ := f.table.PrepareWrite(f.key.Document(), f.now)
	writeReplyLost(f, records)
	if out, retry := f.table.ReadFailed(f.key.Document()); len(out) != 0 || !retry {
		t.Fatalf("outcomes %v, retry %v: the call has to keep waiting", out, retry)
	}
	f.table.Cancel(f.key, attempt)
	_, d := f.newProcess().submitAndWork(writeSucceeds, true)
	f.checkDecision("retry through another process", d, MayHaveRun)
	_, d = f.submitAndWork(writeSucceeds, true)
	f.checkDecision("retry through the same process", d, Run)
}

// TestNotRunFreesKey guards against a key that stays blocked, in this process
// or others, after an attempt that certainly did not run.
func TestNotRunFreesKey(t *testing.T) {
	f := newFixture(t)
	a, d := f.submitAndWork(writeSucceeds, true)
	f.checkDecision("first attempt", d, Run)
	f.table.Cancel(f.key, a)         // the caller disconnected before it was told that the call may run
	f.runWorker(writeSucceeds, true) // writes the Aborted record
	if f.table.DirtyDocuments() != 0 {
		t.Error("the Aborted record was not written")
	}
	other := f.newProcess()
	a, d = other.submitAndWork(writeSucceeds, true)
	f.checkDecision("retry through another process", d, Run)
	other.table.Finish(f.key, a, Aborted)
	_, d = other.submitAndWork(writeSucceeds, true)
	f.checkDecision("retry through the same process", d, Run)
}

// TestCanceledWriteFreesKey guards against a retry that gets "may have
// run" because of an earlier attempt that got "not run": the caller of that
// attempt disconnected while its write was in flight.
func TestCanceledWriteFreesKey(t *testing.T) {
	for name, end := range map[string]writeResult{"succeeds": writeSucceeds, "reply lost": writeReplyLost, "rejected": writeRejected} {
		f := newFixture(t)
		canceled, _ := f.submit()
		f.table.ReadSucceeded(f.key.Document(), nil, 0, f.now)
		records, _, _, _ := f.table.PrepareWrite(f.key.Document(), f.now)
		f.table.Cancel(f.key, canceled)
		_, d := f.submit()
		f.checkDecision(name+": retry while the write is in flight", d, Queued)
		end(f, records)
		f.checkDecision(name+": retry after the write", f.runWorker(writeSucceeds, true), Run)
	}
}

// TestConflictWithoutChange guards against reusing an expired lease forever,
// because its conflict is taken for one with another writer.
func TestConflictWithoutChange(t *testing.T) {
	f := newFixture(t)
	f.submit()
	name := f.key.Document()
	f.table.ReadSucceeded(name, nil, 0, f.now)
	f.table.PrepareWrite(name, f.now)
	f.table.WriteUnconfirmed(name, true)
	if _, unchanged := f.table.ReadSucceeded(name, nil, 0, f.now); !unchanged {
		t.Error("a conflict with an unchanged document is not reported")
	}
	f.table.PrepareWrite(name, f.now)
	f.table.WriteUnconfirmed(name, true)
	if _, unchanged := f.table.ReadSucceeded(name, Records{}, 1, f.now); unchanged {
		t.Error("a conflict with a changed document is reported as one without")
	}
}

// TestWaitingCallsShareWrite guards against one write per call. Calls that
// arrive while a write is in flight share the next one.
func TestWaitingCallsShareWrite(t *testing.T) {
	f := newFixture(t)
	f.submit()
	name := f.key.Document()
	f.table.ReadSucceeded(name, nil, 0, f.now)
	records, _, _, _ := f.table.PrepareWrite(name, f.now)
	for i := range 50 {
		k := f.key
		k.Hash = KeyHash{2, byte(i)}
		if d, start := f.table.Submit(k, Attempt{2, byte(i)}, f.now); d != Queued || start {
			t.Fatalf("call %d: decision %d, second worker %v", i, d, start)
		}
	}
	writeSucceeds(f, records)
	if records, _, _, ok := f.table.PrepareWrite(name, f.now); !ok || len(records) != 51 {
		t.Errorf("the next write has %d records, want 51", len(records))
	}
}

// TestSweepRemovesUnusedOnly guards against documents that are never removed,
// and against removing one while one of its calls is running.
func TestSweepRemovesUnusedOnly(t *testing.T) {
	f := newFixture(t)
	a, _ := f.submitAndWork(writeSucceeds, true)
	f.table.Sweep(f.now.Add(2 * idleRetention))
	if f.table.Len() != 1 {
		t.Fatal("the document was removed while a call runs")
	}
	f.table.Finish(f.key, a, Done)
	f.runWorker(writeSucceeds, true)
	f.table.Sweep(f.now.Add(2 * idleRetention))
	if f.table.Len() != 0 {
		t.Fatal("the document was kept without pending work")
	}
}
