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
func (w *world) silence(l harness.Link, nodes ...*harness.Node) {
	w.t.Helper()
	w.must(w.SetLinkFaults(w.ctx, l, relay.Faults{Freeze: relay.FreezeOld}, nodes...))
	w.must(w.SetLinkFaults(w.ctx, l, relay.Faults{}, nodes...))
}

// connections returns how many connections the relay has opened for a link.
func (w *world) connections(l harness.Link, n *harness.Node) int64 {
	w.t.Helper()
	var counts map[string]relay.Counts
	w.must(harness.CallJSON(w.ctx, http.MethodGet, "http://"+w.RelayAddr+"/counts", nil, &counts))
	return counts[harness.RouteName(n, l)].Connections
}

// keyedCall returns a new call that may run at most once.
func keyedCall() harness.Request {
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
	w := deploy(t, func(s *harness.Spec) {
		s.RelayedLinks = []harness.Link{harness.LinkRPC}
		s.Domains[1].Services = nil
	})
	agent, entry := w.agents("a", false)[0], w.Entries[0]
	caller := harness.NewCaller(entry.HTTP)
	send := func(r harness.Request) record { return w.send(w, 0, entry, caller, r) }
	if r := send(keyedCall()); r.outcome != ran {
		t.Fatalf("before the silence: %s", r.failed())
	}
	const busy = time.Second
	w.faults(agent.TargetAddr, service.Faults{DelayMillis: int(busy.Milliseconds())})
	before := w.connections(harness.LinkRPC, agent)
	first := keyedCall()
	var told record
	var wg conc.WaitGroup
	wg.Go(func() { told = send(first) })
	w.sleep(busy / 2)
	w.note("the connections to " + agent.Name + " go silent during a call")
	from := w.now()
	w.silence(harness.LinkRPC, agent)
	wg.Wait()
	w.faults(agent.TargetAddr, service.Faults{})
	if told.outcome != mayHaveRun {
		t.Errorf("the call was told %s, want %s: %s", told.outcome, mayHaveRun, told.failed())
	}
	if d := told.end - from; d > silentBound+time.Second {
		t.Errorf("the call was told %v after the silence, want %v at most", d, silentBound+time.Second)
	}
	for what, r := range map[string]harness.Request{"the repeat": first, "the next call": keyedCall()} {
		if got := send(r); got.outcome != ran {
			t.Errorf("%s: %s", what, got.failed())
		}
	}
	if n := w.connections(harness.LinkRPC, agent); n <= before {
		t.Errorf("%d connections to %s before the silence, %d after it", before, agent.Name, n)
	}
	w.silentWhileIdle(agent, send)
	w.finish()
}

// silentWhileIdle sends a call on connections that went silent while nothing
// used them. It cannot be told from one whose answer is lost, and its repeat
// has to run.
func (w *world) silentWhileIdle(agent *harness.Node, send func(harness.Request) record) {
	w.t.Helper()
	w.note("the connections to " + agent.Name + " go silent between two calls")
	w.silence(harness.LinkRPC, agent)
	r := keyedCall()
	if got := send(r); got.outcome == notRun {
		w.t.Errorf("a call that was sent on a silent connection: %s", got.failed())
	}
	if got := send(r); got.outcome != ran {
		w.t.Errorf("its repeat: %s", got.failed())
	}
}

// vmListTime is longer than the time after which an entry has read the list of
// VMs. From then on it has two connections to the platform, so that a watch
// that is given up finds another silent connection to use.
const vmListTime = 13 * time.Second

// TestSilentPlatform guards against entries that wait for a change on a watch
// whose connection to the platform went silent for good. All of them lose
// theirs, so that none hears of the change from another one.
func TestSilentPlatform(t *testing.T) {
	w := deploy(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkPlatform} })
	w.startLoad()
	w.sleep(vmListTime)
	for _, at := range [][]*harness.Node{w.Entries[1:], w.Nodes()} {
		rev, err := w.revision(w.Entries[0])
		w.must(err)
		for _, n := range at {
			w.note("the connections of " + n.Name + " to the platform go silent")
		}
		w.silence(harness.LinkPlatform, at...)
		w.must(w.Apply(w.ctx, w.Spec.RenderDeclaration(w.versions, "v1")+"\n[customer new-"+at[0].Name+"]\nshare = 1\nmax_queued = 10\nmax_bytes = 1MiB\n"))
		began := time.Now()
		w.waitRevision(configBound, rev+1, w.Nodes()...)
		w.note("in force after " + time.Since(began).Round(time.Millisecond).String())
	}
	w.finish()
	w.allAnswered(func(r record) bool { return r.generate() })
}
