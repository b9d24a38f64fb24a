package proof

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// shutdownTimeout limits a graceful shutdown, which takes the default drain timeout and the
// final writes of the ledger.
const shutdownTimeout = 40 * time.Second

// shutDown stops the daemon of a node with SIGTERM and fails the test unless it exits with
// code 0.
func (dt *deploymentTest) shutDown(n *harness.Node) {
	dt.t.Helper()
	dt.logStep("SIGTERM to " + n.Name)
	code, err := n.Proc.Stop(shutdownTimeout)
	dt.must(err)
	if code != 0 {
		dt.t.Errorf("%s exited with code %d", n.Name, code)
	}
	dt.logStep(n.Name + " has exited")
}

// TestGracefulShutdown guards against requests that fail when agents and entries shut down on
// SIGTERM. Only a request to the entry that shuts down may be refused as not run, or fail to
// connect, since its caller can use another entry.
func TestGracefulShutdown(t *testing.T) {
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
	// An entry that has just started refuses requests until /readyz reports it as ready to
	// the load balancer.
	dt.checkNoFailures(func(r requestRecord) bool {
		return r.outcome != notSent && !r.refusedWithCode("shutting_down") && !r.refusedWithCode("no_configuration")
	})
}

// refusedWithCode reports whether the request was refused as not run with the given error
// code.
func (r *requestRecord) refusedWithCode(code string) bool {
	return r.outcome == notRun && r.response.Error != nil && r.response.Error.Code == code
}

// TestKilledAgents guards against requests that get a wrong verdict, or none, when agents are
// killed. Another agent has to answer a retryable request if no byte of its response has been
// sent.
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
	dt.checkNoFailures(func(r requestRecord) bool { return r.isGenerate() && len(r.response.Lines) == 0 })
	dt.checkOutcomes(func(r requestRecord) bool { return r.isGenerate() }, ran, mayHaveRun)
}

// TestSilentConnections guards against requests that hang on open connections on which no
// data arrives, while new connections work.
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
	dt.checkNoFailures(func(r requestRecord) bool { return r.isGenerate() && len(r.response.Lines) == 0 })
	dt.reportViolations("failed requests after the silent connections were given up", dt.failedRequests(from, to, anyRecord))
	slowest := time.Duration(0)
	for _, r := range dt.allRecords() {
		slowest = max(slowest, r.endedAt-r.startedAt)
	}
	dt.t.Logf("the slowest request took %v", slowest)
	if slowest >= requestTimeout {
		dt.t.Errorf("a request took %v, so it was not given up after %v", slowest, silentBound)
	}
}

// checkOutcomes fails the test if a request that passes the filter has an outcome other than
// those given.
func (dt *deploymentTest) checkOutcomes(filter func(requestRecord) bool, outcomes ...string) {
	dt.t.Helper()
	allowed := map[string]bool{}
	for _, o := range outcomes {
		allowed[o] = true
	}
	var descriptions []string
	for _, r := range dt.allRecords() {
		if filter(r) && !allowed[r.outcome] {
			descriptions = append(descriptions, r.describe())
		}
	}
	dt.reportViolations("requests with an unexpected verdict", descriptions)
}
