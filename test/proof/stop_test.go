package proof

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// stopTimeout bounds a graceful shutdown: the drain time by default and the
// last writes of the ledger.
const stopTimeout = 40 * time.Second

// stopNode stops a daemon with SIGTERM and fails the test unless it exits with
// code 0.
func (w *world) stopNode(n *harness.Node) {
	w.t.Helper()
	w.note("SIGTERM to " + n.Name)
	code, err := n.Proc.Stop(stopTimeout)
	w.must(err)
	if code != 0 {
		w.t.Errorf("%s ended with code %d", n.Name, code)
	}
	w.note(n.Name + " has ended")
}

// TestPlannedStop guards against requests that are cut or lost when agents and
// entries stop by SIGTERM. A caller whose entry stops is told not-run, or finds
// the address closed, and can go to another entry.
func TestPlannedStop(t *testing.T) {
	w := deploy(t, nil)
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	nodes := append(append([]*harness.Node{}, w.agents("a", true)[0]), w.services()...)
	for _, n := range append(nodes, w.Entries...) {
		w.stopNode(n)
		w.restart(n)
		w.sleep(500 * time.Millisecond)
	}
	w.finish()
	// An entry that has just started refuses requests until /readyz sends the
	// load balancer to it.
	w.allAnswered(func(r record) bool {
		return r.outcome != notSent && !r.refusedBy("shutting_down") && !r.refusedBy("no_configuration")
	})
}

// refusedBy reports whether the request was refused as not run with a code.
func (r *record) refusedBy(code string) bool {
	return r.outcome == notRun && r.answer.Error != nil && r.answer.Error.Code == code
}

// TestKilledAgents guards against requests that get a wrong verdict, or none,
// when agents end without warning. Repeatable requests of which no byte has
// been sent are answered by another agent.
func TestKilledAgents(t *testing.T) {
	w := deploy(t, nil)
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	for _, n := range []*harness.Node{w.agents("a", true)[0], w.agents("b", true)[1]} {
		w.note("kill " + n.Name)
		w.kill(n)
		w.sleep(silentBound)
		w.restart(n)
		w.must(w.WaitVersion(w.ctx, waitBound, w.versions["v1"]))
	}
	w.finish()
	w.allAnswered(func(r record) bool { return r.generate() && len(r.answer.Lines) == 0 })
	w.onlyVerdicts(func(r record) bool { return r.generate() }, ran, mayHaveRun)
}

// TestSilentConnections guards against requests that hang on connections that
// are open and carry nothing, while new connections work.
func TestSilentConnections(t *testing.T) {
	w := deploy(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkRPC} })
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	for range 2 {
		w.note("all open connections between the daemons go silent")
		w.must(w.SetLinkFaults(w.ctx, harness.LinkRPC, relay.Faults{Freeze: relay.FreezeOld}, w.Nodes()...))
		w.must(w.SetLinkFaults(w.ctx, harness.LinkRPC, relay.Faults{}, w.Nodes()...))
		w.sleep(silentBound + time.Second)
	}
	from := w.now()
	w.sleep(time.Second)
	to := w.now()
	w.finish()
	w.allAnswered(func(r record) bool { return r.generate() && len(r.answer.Lines) == 0 })
	w.report("requests without an answer after the silence", w.lost(from, to, every))
	slowest := time.Duration(0)
	for _, r := range w.all() {
		slowest = max(slowest, r.end-r.began)
	}
	w.t.Logf("the slowest request took %v", slowest)
	if slowest >= requestTimeout {
		w.t.Errorf("a request took %v, so it was not given up after %v", slowest, silentBound)
	}
}

// onlyVerdicts fails the test if a request that passes the filter has another
// outcome.
func (w *world) onlyVerdicts(filter func(record) bool, outcomes ...string) {
	w.t.Helper()
	allowed := map[string]bool{}
	for _, o := range outcomes {
		allowed[o] = true
	}
	var bad []string
	for _, r := range w.all() {
		if filter(r) && !allowed[r.outcome] {
			bad = append(bad, r.failed())
		}
	}
	w.report("requests with an unexpected verdict", bad)
}
