package proof

import (
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/internal/standin/service"
	"github.com/masticwing/masticwing/test/harness"
)

// silenceConnections makes the open connections of a link silent permanently. New
// connections work.
func (dt *deploymentTest) silenceConnections(l harness.Link, nodes ...*harness.Node) {
	dt.t.Helper()
	dt.must(dt.SetLinkFaults(dt.ctx, l, relay.Faults{Freeze: relay.FreezeOld}, nodes...))
	dt.must(dt.SetLinkFaults(dt.ctx, l, relay.Faults{}, nodes...))
}

// connectionCount returns how many connections the relay has opened so far for a link.
func (dt *deploymentTest) connectionCount(l harness.Link, n *harness.Node) int64 {
	dt.t.Helper()
	var counts map[string]relay.Counts
	dt.must(harness.CallJSON(dt.ctx, http.MethodGet, "http://"+dt.RelayAddr+"/counts", nil, &counts))
	return counts[harness.RouteName(n, l)].Connections
}

// newKeyedCall returns a call with a new idempotency key.
func newKeyedCall() harness.Request {
	return harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: harness.NewKey(), Timeout: requestTimeout, Body: `{"order":1}`,
	}
}

// TestSilentAgentConnections makes the connections to an agent silent during a call. It
// guards against a call that then waits until its deadline or is reported as not run, and
// against a later call that is sent on the silent connection. The call is keyed, so that no
// other agent answers it in between.
func TestSilentAgentConnections(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) {
		s.RelayedLinks = []harness.Link{harness.LinkRPC}
		s.Domains[1].Services = nil
	})
	agent, entry := dt.agents("a", false)[0], dt.Entries[0]
	caller := harness.NewCaller(entry.HTTP)
	send := func(r harness.Request) requestRecord { return dt.send(dt, 0, entry, caller, r) }
	if r := send(newKeyedCall()); r.outcome != ran {
		t.Fatalf("call before the connections went silent: %s", r.describe())
	}
	const callTime = time.Second
	dt.setFaults(agent.TargetAddr, service.Faults{DelayMillis: int(callTime.Milliseconds())})
	before := dt.connectionCount(harness.LinkRPC, agent)
	first := newKeyedCall()
	var interrupted requestRecord
	var wg conc.WaitGroup
	wg.Go(func() { interrupted = send(first) })
	dt.sleep(callTime / 2)
	dt.logStep("the connections to " + agent.Name + " go silent during a call")
	from := dt.elapsed()
	dt.silenceConnections(harness.LinkRPC, agent)
	wg.Wait()
	dt.setFaults(agent.TargetAddr, service.Faults{})
	if interrupted.outcome != mayHaveRun {
		t.Errorf("the outcome of the call is %s, want %s: %s", interrupted.outcome, mayHaveRun, interrupted.describe())
	}
	if d := interrupted.endedAt - from; d > silentBound+time.Second {
		t.Errorf("the call ended %v after the connections went silent, want %v at most", d, silentBound+time.Second)
	}
	for what, r := range map[string]harness.Request{"the retry": first, "the next call": newKeyedCall()} {
		if got := send(r); got.outcome != ran {
			t.Errorf("%s: %s", what, got.describe())
		}
	}
	if n := dt.connectionCount(harness.LinkRPC, agent); n <= before {
		t.Errorf("%d connections to %s before they went silent, %d after that; want a new one", before, agent.Name, n)
	}
	dt.checkSilenceWhileIdle(agent, send)
	dt.finish()
}

// checkSilenceWhileIdle sends a call on connections that went silent while they were idle.
// The entry cannot distinguish it from a call whose response was lost, so it must not report the
// call as not run. A retry has to run.
func (dt *deploymentTest) checkSilenceWhileIdle(agent *harness.Node, send func(harness.Request) requestRecord) {
	dt.t.Helper()
	dt.logStep("the connections to " + agent.Name + " go silent between two calls")
	dt.silenceConnections(harness.LinkRPC, agent)
	r := newKeyedCall()
	if got := send(r); got.outcome == notRun {
		dt.t.Errorf("a call that was sent on a silent connection is reported as not run: %s", got.describe())
	}
	if got := send(r); got.outcome != ran {
		dt.t.Errorf("its retry has not run: %s", got.describe())
	}
}

// vmListDelay is longer than the time after which an entry has read the list of VMs. From
// then on the entry has two connections to the platform, so that after a watch on one silent
// connection is given up, the other silent connection could be used.
const vmListDelay = 13 * time.Second

// TestSilentPlatformConnections guards against entries that wait for a change on a watch whose
// connection to the platform is silent. In the second round the connections of all processes
// go silent, so that none learns of the change from another one.
func TestSilentPlatformConnections(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkPlatform} })
	dt.startLoad()
	dt.sleep(vmListDelay)
	for _, nodes := range [][]*harness.Node{dt.Entries[1:], dt.Nodes()} {
		rev, err := dt.revision(dt.Entries[0])
		dt.must(err)
		for _, n := range nodes {
			dt.logStep("the connections of " + n.Name + " to the platform go silent")
		}
		dt.silenceConnections(harness.LinkPlatform, nodes...)
		dt.must(dt.Apply(dt.ctx, dt.Spec.RenderDeclaration(dt.versions, "v1")+"\n[customer new-"+nodes[0].Name+"]\nshare = 1\nmax_queued = 10\nmax_bytes = 1MiB\n"))
		began := time.Now()
		dt.waitForRevision(configBound, rev+1, dt.Nodes()...)
		dt.logStep("in force after " + time.Since(began).Round(time.Millisecond).String())
	}
	dt.finish()
	dt.checkNoFailures(func(r requestRecord) bool { return r.isGenerate() })
}
