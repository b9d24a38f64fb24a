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

// maxShown limits how many violations of one kind a failed check prints.
const maxShown = 5

// checkHistories checks the guarantees that hold in every test. It makes no exception for
// the failures that a test injects.
func (dt *deploymentTest) checkHistories() {
	dt.t.Helper()
	ranAt := dt.enginesByRequest()
	var invalidResponses, falseVerdicts []string
	counts := map[string]int{}
	for _, r := range dt.allRecords() {
		counts[r.outcome]++
		if r.outcome == ran && r.isGenerate() {
			if err := dt.checkResponse(r); err != nil {
				invalidResponses = append(invalidResponses, r.describe()+": "+err.Error())
			}
		}
		if id := r.response.RequestID; r.outcome == notRun && r.isGenerate() && id != "" && ranAt[id] != "" {
			falseVerdicts = append(falseVerdicts, r.describe()+" ran at "+ranAt[id])
		}
	}
	dt.t.Logf("%d requests: %v", len(dt.allRecords()), counts)
	dt.reportViolations("responses that are incomplete, of another request or not from a single published version", invalidResponses)
	dt.reportViolations("requests that ran, but were reported as not run", falseVerdicts)
	dt.reportViolations("decreases of the revision of a process", dt.revisions.violations)
	dt.checkKeyedCalls()
}

func (dt *deploymentTest) reportViolations(kind string, violations []string) {
	dt.t.Helper()
	if len(violations) > 0 {
		dt.t.Errorf("%d %s; the first ones: %q", len(violations), kind, violations[:min(maxShown, len(violations))])
	}
}

// checkResponse returns an error unless the response is complete and its text is the one that a
// single published version gives for the body of this request.
func (dt *deploymentTest) checkResponse(r requestRecord) error {
	if err := r.checkComplete(); err != nil {
		return err
	}
	digest, ok := dt.weights[r.response.Version]
	if !ok {
		return errors.Errorf("version %q was never published", r.response.Version)
	}
	seq := 0
	for _, b := range r.response.Lines {
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

// enginesByRequest returns the name of the node where each request ran. It first waits for
// requests that are still running in an engine after the load has stopped.
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

// effectCounts returns how often the call of each key took effect, summed over the services.
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

// callResult is the output of an operation on a key: the result that a caller received, or
// the number of effects that the services counted at the end.
type callResult struct {
	outcome     string
	notReplayed bool
	effectCount int64 // -1 for the result that a caller received
}

// keyStates is the set of states that a key may be in: its call has not taken effect, or it
// has. Both are set if the caller does not know.
type keyStates struct{ unapplied, applied bool }

// atMostOnceModel is the sequential specification of a key whose call takes effect at most
// once.
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
	Init: func() any { return keyStates{unapplied: true} },
	Step: func(state, _, output any) (bool, any) {
		s, out := state.(keyStates), output.(callResult)
		switch {
		case out.effectCount >= 0:
			s = keyStates{s.unapplied && out.effectCount == 0, s.applied && out.effectCount == 1}
		case out.outcome == notRun:
		case out.outcome == ran && out.notReplayed:
			s = keyStates{false, s.unapplied}
		case out.outcome == ran:
			s = keyStates{false, s.applied}
		default: // the call may have run, or may still run after its caller got the result
			s.applied = s.applied || s.unapplied
		}
		return s != keyStates{}, s
	},
}

// checkKeyedCalls checks the results of the keyed calls against the effects that the
// services counted.
func (dt *deploymentTest) checkKeyedCalls() {
	dt.t.Helper()
	effectCounts, keys := dt.effectCounts(), map[string]bool{}
	var ops []porcupine.Operation
	var repeatedKeys []string
	for _, r := range dt.allRecords() {
		if r.req.Key == "" || r.outcome == notSent {
			continue
		}
		keys[r.req.Key] = true
		op := porcupine.Operation{ClientId: r.caller, Input: r.req.Key, Call: int64(r.startedAt), Return: int64(r.endedAt)}
		if r.outcome == mayHaveRun {
			op.Return = math.MaxInt64 - 2
		}
		notReplayed := r.response.Error == nil && r.response.Header.Get("X-Masticwing-Replayed") == ""
		op.Output = callResult{outcome: r.outcome, notReplayed: notReplayed, effectCount: -1}
		ops = append(ops, op)
	}
	for k := range keys {
		if effectCounts[k] > 1 {
			repeatedKeys = append(repeatedKeys, k)
		}
		ops = append(ops, porcupine.Operation{
			Input: k, Call: math.MaxInt64 - 1, Return: math.MaxInt64, Output: callResult{effectCount: effectCounts[k]},
		})
	}
	dt.t.Logf("%d keys, %d operations, %d keys with an effect", len(keys), len(ops), len(effectCounts))
	dt.reportViolations("keys with more than one effect", repeatedKeys)
	if res := porcupine.CheckOperationsTimeout(atMostOnceModel, ops, time.Minute); res != porcupine.Ok {
		dt.t.Errorf("the history of keyed calls is not linearizable (%v)", res)
	}
}
