package entry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

const (
	currentVersion  fleet.Version = "v-current"
	previousVersion fleet.Version = "v-previous"
)

// fakeAgent is an agent behind a real rpc server. serve handles the requests.
type fakeAgent struct {
	addr fleet.Address

	mu       sync.Mutex
	status   port.AgentStatus
	requests []port.ServeRequest
	serve    func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error
}

func (a *fakeAgent) Serve(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	a.mu.Lock()
	a.requests = append(a.requests, r)
	handle := a.serve
	a.mu.Unlock()
	return handle(ctx, r, sink)
}

func (a *fakeAgent) Load() port.Load { return a.state().Load }

func (a *fakeAgent) state() port.AgentStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status
}

func (a *fakeAgent) requestCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

func (a *fakeAgent) WatchStatus(ctx context.Context, _ string, send func(port.AgentStatus) error) error {
	for {
		if err := send(a.state()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// serveComplete sends a complete answer of two frames.
func (a *fakeAgent) serveComplete(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	st := a.state()
	if err := sink.Head(port.AnswerHead{ID: r.ID, Version: st.Version, Status: 200, ContentType: "text/plain"}, st.Load); err != nil {
		return err
	}
	if err := sink.Data([]byte("{\"token\":1}\n")); err != nil {
		return err
	}
	return sink.Data([]byte("{\"token\":2}\n"))
}

// failWith returns a serve function that fails with the verdict and code.
func failWith(v verdict.Verdict, c verdict.Code) func(context.Context, port.ServeRequest, port.AnswerSink) error {
	return func(context.Context, port.ServeRequest, port.AnswerSink) error {
		return verdict.New(v, c, "injected failure")
	}
}

// harness runs an entry with fake agents on the loopback interface.
type harness struct {
	t      *testing.T
	dir    *porttest.Directory
	entry  *Entry
	agents []*fakeAgent
}

func testDeclaration() *declare.Declaration {
	selector := func(v string) declare.Selector {
		return declare.Selector{{Key: "pool", Op: declare.In, Values: []string{v}}}
	}
	return &declare.Declaration{
		Revision:  7,
		Customers: map[fleet.Customer]declare.Customer{"resort": {Share: 1}},
		Domains:   map[fleet.Domain]declare.Domain{"a": {Region: "r"}, "b": {Region: "r"}},
		Groups:    map[fleet.Group]declare.Group{"summaries": {VMs: selector("model")}},
		Models: map[fleet.Model]declare.Model{"m": {
			Versions: map[string]fleet.Version{"now": currentVersion, "then": previousVersion},
		}},
		Rules: []declare.Rule{{Name: "main", Version: "now"}},
		Services: map[fleet.Service]declare.Service{"status": {
			VMs: selector("status"), Calls: map[string]declare.Call{"read": {}, "log": {AtMostOnce: true}},
		}},
	}
}

// newHarness starts an entry and n agents of a pool, alternately in the domains a
// and b.
func newHarness(t *testing.T, pool string, n int) *harness {
	h := &harness{t: t, dir: porttest.NewDirectory()}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	var records []port.MemberRecord
	for i := range n {
		a := &fakeAgent{status: port.AgentStatus{
			VM: fleet.VM(string(rune('p' + i))), Domain: fleet.Domain(string(rune('a' + i%2))),
			Load: port.Load{Limit: 8}, Ready: true,
		}}
		a.status.Service = "status"
		if pool == "model" {
			a.status.Service, a.status.Group, a.status.Version = "", "summaries", currentVersion
		}
		a.serve = a.serveComplete
		a.addr = serveAgent(t, ctx, &wg, a)
		h.agents = append(h.agents, a)
		records = append(records, port.MemberRecord{
			ID: string(a.status.VM), Kind: fleet.KindAgent, Domain: a.status.Domain, Address: a.addr,
			Labels: map[string]string{"pool": pool},
		})
	}
	h.dir.SetDeclaration(testDeclaration(), 0)
	h.dir.SetMembers(records...)
	client := rpc.NewClient()
	t.Cleanup(client.Close)
	h.entry = New(Deps{
		ID: "e1", Domain: "a", MaxQueued: 100, Directory: h.dir, Agents: client,
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: noMetrics{},
	})
	wg.Go(func() { h.entry.Run(ctx) })
	h.waitUntil("all targets are known", func() bool { return len(h.entry.table.Snapshot(time.Now())) == n })
	return h
}

func serveAgent(t *testing.T, ctx context.Context, wg *conc.WaitGroup, a *fakeAgent) fleet.Address {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := rpc.NewServer(rpc.Handlers{Agent: a})
	if err != nil {
		t.Fatal(err)
	}
	wg.Go(func() { _ = s.Serve(ctx, lis) })
	return fleet.Address(lis.Addr().String())
}

// waitUntil waits until the condition is true and fails the test after 5 s.
func (h *harness) waitUntil(what string, condition func() bool) {
	h.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	h.t.Fatalf("condition not reached: %s", what)
}

// updateAgents applies update to every agent under its lock.
func (h *harness) updateAgents(update func(i int, a *fakeAgent)) {
	for i, a := range h.agents {
		a.mu.Lock()
		update(i, a)
		a.mu.Unlock()
	}
}

func (h *harness) requestCount() int {
	n := 0
	for _, a := range h.agents {
		n += a.requestCount()
	}
	return n
}

// noMetrics discards all measurements.
type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}
