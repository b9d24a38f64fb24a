package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
)

// TestLostWriteResponse guards against reporting a change as failed, or applying
// it twice, when the platform's response to the write is lost.
func TestLostWriteResponse(t *testing.T) {
	h := newHarness(t)
	h.writeFile("main.ini", config("one"))
	h.setFaults(`{"lose_write_answers": 1}`)
	var out bytes.Buffer
	for want := uint64(1); want <= 3; want++ {
		out.Reset()
		if code := h.exec(&out, &out, "apply main.ini --output json"); code != ExitDone {
			t.Fatalf("exit %d: %s", code, out.String())
		}
		if rev := h.currentRevision(t); rev != want {
			t.Fatalf("revision %d, want %d", rev, want)
		}
	}
}

func (h *harness) currentRevision(t *testing.T) uint64 {
	t.Helper()
	var out bytes.Buffer
	if code := h.exec(&out, io.Discard, "get --output json"); code != ExitDone {
		t.Fatalf("get: exit %d", code)
	}
	var doc struct{ Revision uint64 }
	if err := json.Unmarshal(out.Bytes(), &doc); err != nil {
		t.Fatal(err)
	}
	return doc.Revision
}

// operation is an operator's command: get, or apply based on a revision.
type operation struct {
	apply bool
	base  uint64
}

// result is the outcome that the command reported.
type result struct {
	code int
	rev  uint64
}

// revisionModel is the sequential model of the declaration's revision. A change
// based on the current revision increments it; any other change is a conflict. A
// change whose outcome is unknown may take effect at any later time.
var revisionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, in, out any) []any {
		rev, a, res := state.(uint64), in.(operation), out.(result)
		switch {
		case !a.apply && res.rev == rev, a.apply && res.code == ExitConflict && a.base != rev:
			return []any{rev}
		case a.apply && res.code == ExitDone && a.base == rev && res.rev == rev+1:
			return []any{rev + 1}
		case a.apply && res.code == ExitUnreachable && a.base == rev:
			return []any{rev, rev + 1}
		case a.apply && res.code == ExitUnreachable:
			return []any{rev}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestOperatorsRace guards against two operators who are both told that their
// change to the same revision took effect, while responses of the platform are
// lost.
func TestOperatorsRace(t *testing.T) {
	const operators, rounds = 5, 12
	h := newHarness(t)
	h.writeFile("main.ini", config("one"))
	var out bytes.Buffer
	if code := h.exec(&out, &out, "apply main.ini"); code != ExitDone {
		t.Fatal(out.String())
	}
	h.setFaults(`{"lose_write_answers": 0.4, "delay_ms": 2}`)
	start := time.Now()
	var mu sync.Mutex
	history := []porcupine.Operation{{Input: operation{apply: true}, Output: result{ExitDone, 1}, Call: -2, Return: -1}}
	recordOperation := func(id int, in operation, f func() result) result {
		call := time.Since(start).Nanoseconds()
		res := f()
		ret := time.Since(start).Nanoseconds()
		if res.code == ExitUnreachable {
			ret = time.Hour.Nanoseconds()
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: id, Input: in, Output: res, Call: call, Return: ret})
		return res
	}
	var wg conc.WaitGroup
	for id := range operators {
		wg.Go(func() {
			for range rounds {
				current := recordOperation(id, operation{}, func() result { return result{ExitDone, h.currentRevision(t)} })
				in := operation{apply: true, base: current.rev}
				recordOperation(id, in, func() result { return h.applyAt(current.rev) })
			}
		})
	}
	wg.Wait()
	counts := map[int]int{}
	for _, op := range history {
		counts[op.Output.(result).code]++
	}
	t.Logf("outcomes by exit code: %v", counts)
	if counts[ExitConflict] == 0 {
		t.Error("no two operators raced: no apply ended in a conflict")
	}
	if porcupine.CheckOperationsTimeout(revisionModel.ToModel(), history, 10*time.Second) != porcupine.Ok {
		t.Error("history is not linearizable")
	}
}

func (h *harness) applyAt(base uint64) result {
	var out bytes.Buffer
	code := h.exec(&out, io.Discard, fmt.Sprintf("apply main.ini --output json --revision %d", base))
	var v struct{ Revision uint64 }
	if code == ExitDone {
		_ = json.NewDecoder(strings.NewReader(out.String())).Decode(&v)
	}
	return result{code, v.Revision}
}
