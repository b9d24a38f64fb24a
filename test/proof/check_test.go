package proof

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/standin/engine"
	"github.com/masticwing/masticwing/test/harness"
)

// maxShown bounds the faults of one kind that a failed check prints.
const maxShown = 5

// check compares the histories. It is strict: nothing in it depends on which
// failures the test switched on.
func (dt *deploymentTest) checkHistories() {
	dt.t.Helper()
	ranAt := dt.enginesByRequest()
	var broken, untrue []string
	counts := map[string]int{}
	for _, r := range dt.allRecords() {
		counts[r.outcome]++
		if r.outcome == ran && r.isGenerate() {
			if err := dt.checkAnswer(r); err != nil {
				broken = append(broken, r.describe()+": "+err.Error())
			}
		}
		if id := r.answer.RequestID; r.outcome == notRun && r.isGenerate() && id != "" && ranAt[id] != "" {
			untrue = append(untrue, r.describe()+" ran at "+ranAt[id])
		}
	}
	dt.t.Logf("%d requests: %v", len(dt.allRecords()), counts)
	dt.reportViolations("answers that are not whole, own and from one declared version", broken)
	dt.reportViolations("requests reported as not run that ran", untrue)
	dt.reportViolations("revisions that went back", dt.revs.violations)
	dt.checkKeyedCalls()
}

func (dt *deploymentTest) reportViolations(what string, faults []string) {
	dt.t.Helper()
	if len(faults) > 0 {
		dt.t.Errorf("%d %s; the first: %q", len(faults), what, faults[:min(maxShown, len(faults))])
	}
}

// own returns an error unless the answer is whole and its text is what one
// declared and complete version makes of this request's body.
func (dt *deploymentTest) checkAnswer(r requestRecord) error {
	if err := r.checkComplete(); err != nil {
		return err
	}
	digest, ok := dt.weights[r.answer.Version]
	if !ok {
		return errors.Errorf("version %q was never declared", r.answer.Version)
	}
	seq := 0
	for _, b := range r.answer.Lines {
		var f engine.Frame
		if err := json.Unmarshal(b, &f); err != nil {
			return errors.Wrap(err, "decoding a line")
		}
		if want := engine.FrameTextFromDigest(digest, []byte(r.req.Body), seq); f.Seq != seq || f.Text != want {
			return errors.Errorf("line %d is %q, want %q", seq, b, want)
		}
		seq++
	}
	if n := engine.FrameCount([]byte(r.req.Body)); seq != n {
		return errors.Errorf("%d lines, want %d", seq, n)
	}
	return nil
}

// engineHistory returns where each request ran. Requests that still run at an
// engine end within moments after the load has ended.
func (dt *deploymentTest) enginesByRequest() map[string]string {
	dt.t.Helper()
	time.Sleep(200 * time.Millisecond)
	at := map[string]string{}
	for _, n := range dt.EngineAgents() {
		var h []engine.HistoryEntry
		if err := harness.CallJSON(dt.t.Context(), http.MethodGet, "http://"+n.TargetAddr+"/history", nil, &h); err != nil {
			dt.t.Errorf("history of %s: %v", n.Name, err)
		}
		for _, a := range h {
			at[a.RequestID] = n.Name
		}
	}
	return at
}

// effects returns how often each key took effect at the services.
func (dt *deploymentTest) effectCounts() map[string]int64 {
	dt.t.Helper()
	all := map[string]int64{}
	for _, n := range dt.Agents {
		if n.Service == "" {
			continue
		}
		var m map[string]int64
		if err := harness.CallJSON(dt.t.Context(), http.MethodGet, "http://"+n.TargetAddr+"/effects", nil, &m); err != nil {
			dt.t.Errorf("effects of %s: %v", n.Name, err)
		}
		for k, c := range m {
			all[k] += c
		}
	}
	return all
}

// told is what the caller of a keyed call was told, or a count of its effects.
type told struct {
	outcome string
	fresh   bool
	count   int64 // -1 for a call
}

// possible is the set of states that a key may be in: not taken effect, taken
// effect, or both if nobody knows.
type possible struct{ not, took bool }

// onceModel is a key whose call takes effect at most once.
var atMostOnceModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range h {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return possible{not: true} },
	Step: func(state, _, output any) (bool, any) {
		s, out := state.(possible), output.(told)
		switch {
		case out.count >= 0:
			s = possible{s.not && out.count == 0, s.took && out.count == 1}
		case out.outcome == notRun:
		case out.outcome == ran && out.fresh:
			s = possible{false, s.not}
		case out.outcome == ran:
			s = possible{false, s.took}
		default: // it may have run, before or after its caller was told
			s.took = s.took || s.not
		}
		return s != possible{}, s
	},
}

// checkKeys checks the keyed calls against the services' own counts.
func (dt *deploymentTest) checkKeyedCalls() {
	dt.t.Helper()
	effectCounts, keys := dt.effectCounts(), map[string]bool{}
	var ops []porcupine.Operation
	var twice []string
	for _, r := range dt.allRecords() {
		if r.req.Key == "" || r.outcome == notSent {
			continue
		}
		keys[r.req.Key] = true
		op := porcupine.Operation{ClientId: r.caller, Input: r.req.Key, Call: int64(r.startedAt), Return: int64(r.endedAt)}
		if r.outcome == mayHaveRun {
			op.Return = math.MaxInt64 - 2
		}
		fresh := r.answer.Error == nil && r.answer.Header.Get("X-Masticwing-Replayed") == ""
		op.Output = told{outcome: r.outcome, fresh: fresh, count: -1}
		ops = append(ops, op)
	}
	for k := range keys {
		if effectCounts[k] > 1 {
			twice = append(twice, k)
		}
		ops = append(ops, porcupine.Operation{
			Input: k, Call: math.MaxInt64 - 1, Return: math.MaxInt64, Output: told{count: effectCounts[k]},
		})
	}
	dt.t.Logf("%d keys, %d operations, %d keys with an effect", len(keys), len(ops), len(effectCounts))
	dt.reportViolations("keys with more than one effect", twice)
	if res := porcupine.CheckOperationsTimeout(atMostOnceModel, ops, time.Minute); res != porcupine.Ok {
		dt.t.Errorf("the history of keyed calls is not linearizable (%v)", res)
	}
}
