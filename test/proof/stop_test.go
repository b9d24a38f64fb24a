package proof

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// stopTimeout bounds a graceful shutdown: the drain time by default and the
// last writes of the ledger.
const shutdownTimeout = 40 * time.Second

// stopNode stops a daemon with SIGTERM and fails the test unless it exits with
// code 0.
func (dt *deploymentTest) shutDown(n *harness.Node) {
	dt.t.Helper()
	dt.logStep("SIGTERM to " + n.Name)
	code, err := n.Proc.Stop(shutdownTimeout)
	dt.must(err)
	if code != 0 {
		dt.t.Errorf("%s ended with code %d", n.Name, code)
	}
	dt.logStep(n.Name + " has ended")
}

// TestPlannedStop guards against requests that are cut or lost when agents and
// entries stop by SIGTERM. A caller whose entry stops is told not-run, or finds
// the address closed, and can go to another entry.
func TestPlannedStop(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	nodes := append(append([]*harness.Node{}, dt.agents("a", true)[0]), dt.serviceAgents()...)
	for _, n := range append(nodes, dt.Entries...) {
		dt.shutDown(n)
		dt.startDaemonAndWait(n)
		dt.sleep(500 * time.Millisecond)
	}
	dt.finish()
	// An entry that has just started refuses requests until /readyz sends the
	// load balancer to it.
	dt.checkAllAnswered(func(r requestRecord) bool {
		return r.outcome != notSent && !r.refusedWithCode("shutting_down") && !r.refusedWithCode("no_configuration")
	})
}

// refusedBy reports whether the request was refused as not run with a code.
func (r *requestRecord) refusedWithCode(code string) bool {
	return r.outcome == notRun && r.answer.Error != nil && r.answer.Error.Code == code
}

// TestKilledAgents guards against requests that get a wrong verdict, or none,
// when agents end without warning. Repeatable requests of which no byte has
// been sent are answered by another agent.
func TestKilledAgents(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	for _, n := range []*harness.Node{dt.agents("a", true)[0], dt.agents("b", true)[1]} {
		dt.logStep("kill " + n.Name)
		dt.killDaemon(n)
		dt.sleep(silentBound)
		dt.startDaemonAndWait(n)
		dt.must(dt.WaitVersion(dt.ctx, waitBound, dt.versions["v1"]))
	}
	dt.finish()
	dt.checkAllAnswered(func(r requestRecord) bool { return r.isGenerate() && len(r.answer.Lines) == 0 })
	dt.checkOutcomes(func(r requestRecord) bool { return r.isGenerate() }, ran, mayHaveRun)
}

// TestSilentConnections guards against requests that hang on connections that
// are open and carry nothing, while new connections work.
func TestSilentConnections(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkRPC} })
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	for range 2 {
		dt.logStep("all open connections between the daemons go silent")
		dt.must(dt.SetLinkFaults(dt.ctx, harness.LinkRPC, relay.Faults{Freeze: relay.FreezeOld}, dt.Nodes()...))
		dt.must(dt.SetLinkFaults(dt.ctx, harness.LinkRPC, relay.Faults{}, dt.Nodes()...))
		dt.sleep(silentBound + time.Second)
	}
	from := dt.elapsed()
	dt.sleep(time.Second)
	to := dt.elapsed()
	dt.finish()
	dt.checkAllAnswered(func(r requestRecord) bool { return r.isGenerate() && len(r.answer.Lines) == 0 })
	dt.reportViolations("requests without an answer after the silence", dt.unanswered(from, to, anyRecord))
	slowest := time.Duration(0)
	for _, r := range dt.allRecords() {
		slowest = max(slowest, r.endedAt-r.startedAt)
	}
	dt.t.Logf("the slowest request took %v", slowest)
	if slowest >= requestTimeout {
		dt.t.Errorf("a request took %v, so it was not given up after %v", slowest, silentBound)
	}
}

// onlyVerdicts fails the test if a request that passes the filter has another
// outcome.
func (dt *deploymentTest) checkOutcomes(filter func(requestRecord) bool, outcomes ...string) {
	dt.t.Helper()
	allowed := map[string]bool{}
	for _, o := range outcomes {
		allowed[o] = true
	}
	var bad []string
	for _, r := range dt.allRecords() {
		if filter(r) && !allowed[r.outcome] {
			bad = append(bad, r.describe())
		}
	}
	dt.reportViolations("requests with an unexpected verdict", bad)
}
