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

// silence makes the open connections of a link silent for good. New ones work.
func (dt *deploymentTest) silenceConnections(l harness.Link, nodes ...*harness.Node) {
	dt.t.Helper()
	dt.must(dt.SetLinkFaults(dt.ctx, l, relay.Faults{Freeze: relay.FreezeOld}, nodes...))
	dt.must(dt.SetLinkFaults(dt.ctx, l, relay.Faults{}, nodes...))
}

// connections returns how many connections the relay has opened for a link.
func (dt *deploymentTest) connectionCount(l harness.Link, n *harness.Node) int64 {
	dt.t.Helper()
	var counts map[string]relay.Counts
	dt.must(harness.CallJSON(dt.ctx, http.MethodGet, "http://"+dt.RelayAddr+"/counts", nil, &counts))
	return counts[harness.RouteName(n, l)].Connections
}

// keyedCall returns a new call that may run at most once.
func newKeyedCall() harness.Request {
	return harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: harness.NewKey(), Timeout: requestTimeout, Body: `{"order":1}`,
	}
}

// TestSilentAgent guards against a request that waits for its deadline, or is
// told that it did not run, when the connection that carries it goes silent for
// good, and against a next request that goes to the silent connection as well.
// The call is keyed, so that no other agent answers it in between.
func TestSilentAgent(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) {
		s.RelayedLinks = []harness.Link{harness.LinkRPC}
		s.Domains[1].Services = nil
	})
	agent, entry := dt.agents("a", false)[0], dt.Entries[0]
	caller := harness.NewCaller(entry.HTTP)
	send := func(r harness.Request) requestRecord { return dt.send(dt, 0, entry, caller, r) }
	if r := send(newKeyedCall()); r.outcome != ran {
		t.Fatalf("before the silence: %s", r.describe())
	}
	const busy = time.Second
	dt.setFaults(agent.TargetAddr, service.Faults{DelayMillis: int(busy.Milliseconds())})
	before := dt.connectionCount(harness.LinkRPC, agent)
	first := newKeyedCall()
	var told requestRecord
	var wg conc.WaitGroup
	wg.Go(func() { told = send(first) })
	dt.sleep(busy / 2)
	dt.logStep("the connections to " + agent.Name + " go silent during a call")
	from := dt.elapsed()
	dt.silenceConnections(harness.LinkRPC, agent)
	wg.Wait()
	dt.setFaults(agent.TargetAddr, service.Faults{})
	if told.outcome != mayHaveRun {
		t.Errorf("the call was told %s, want %s: %s", told.outcome, mayHaveRun, told.describe())
	}
	if d := told.endedAt - from; d > silentBound+time.Second {
		t.Errorf("the call was told %v after the silence, want %v at most", d, silentBound+time.Second)
	}
	for what, r := range map[string]harness.Request{"the repeat": first, "the next call": newKeyedCall()} {
		if got := send(r); got.outcome != ran {
			t.Errorf("%s: %s", what, got.describe())
		}
	}
	if n := dt.connectionCount(harness.LinkRPC, agent); n <= before {
		t.Errorf("%d connections to %s before the silence, %d after it", before, agent.Name, n)
	}
	dt.checkSilenceWhileIdle(agent, send)
	dt.finish()
}

// silentWhileIdle sends a call on connections that went silent while nothing
// used them. It cannot be told from one whose answer is lost, and its repeat
// has to run.
func (dt *deploymentTest) checkSilenceWhileIdle(agent *harness.Node, send func(harness.Request) requestRecord) {
	dt.t.Helper()
	dt.logStep("the connections to " + agent.Name + " go silent between two calls")
	dt.silenceConnections(harness.LinkRPC, agent)
	r := newKeyedCall()
	if got := send(r); got.outcome == notRun {
		dt.t.Errorf("a call that was sent on a silent connection: %s", got.describe())
	}
	if got := send(r); got.outcome != ran {
		dt.t.Errorf("its repeat: %s", got.describe())
	}
}

// vmListTime is longer than the time after which an entry has read the list of
// VMs. From then on it has two connections to the platform, so that a watch
// that is given up finds another silent connection to use.
const vmListDelay = 13 * time.Second

// TestSilentPlatform guards against entries that wait for a change on a watch
// whose connection to the platform went silent for good. All of them lose
// theirs, so that none hears of the change from another one.
func TestSilentPlatform(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkPlatform} })
	dt.startLoad()
	dt.sleep(vmListDelay)
	for _, at := range [][]*harness.Node{dt.Entries[1:], dt.Nodes()} {
		rev, err := dt.revision(dt.Entries[0])
		dt.must(err)
		for _, n := range at {
			dt.logStep("the connections of " + n.Name + " to the platform go silent")
		}
		dt.silenceConnections(harness.LinkPlatform, at...)
		dt.must(dt.Apply(dt.ctx, dt.Spec.RenderDeclaration(dt.versions, "v1")+"\n[customer new-"+at[0].Name+"]\nshare = 1\nmax_queued = 10\nmax_bytes = 1MiB\n"))
		began := time.Now()
		dt.waitForRevision(configBound, rev+1, dt.Nodes()...)
		dt.logStep("in force after " + time.Since(began).Round(time.Millisecond).String())
	}
	dt.finish()
	dt.checkAllAnswered(func(r requestRecord) bool { return r.isGenerate() })
}
