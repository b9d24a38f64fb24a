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
	current fleet.Version = "v-current"
	former  fleet.Version = "v-former"
)

// fakeAgent is an agent behind a real rpc server. serve decides what a request
// does.
type fakeAgent struct {
	addr fleet.Address

	mu     sync.Mutex
	status port.AgentStatus
	seen   []port.ServeRequest
	serve  func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error
}

func (a *fakeAgent) Serve(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	a.mu.Lock()
	a.seen = append(a.seen, r)
	f := a.serve
	a.mu.Unlock()
	return f(ctx, r, sink)
}

func (a *fakeAgent) Load() port.Load { return a.state().Load }

func (a *fakeAgent) state() port.AgentStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status
}

func (a *fakeAgent) calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.seen)
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

// whole answers with two frames that name the agent.
func (a *fakeAgent) whole(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	st := a.state()
	if err := sink.Head(port.AnswerHead{ID: r.ID, Version: st.Version, Status: 200, ContentType: "text/plain"}, st.Load); err != nil {
		return err
	}
	if err := sink.Data([]byte("{\"token\":1}\n")); err != nil {
		return err
	}
	return sink.Data([]byte("{\"token\":2}\n"))
}

func failing(v verdict.Verdict, c verdict.Code) func(context.Context, port.ServeRequest, port.AnswerSink) error {
	return func(context.Context, port.ServeRequest, port.AnswerSink) error { return verdict.New(v, c, "as told") }
}

// world is an entry with agents on loopback.
type world struct {
	t      *testing.T
	dir    *porttest.Directory
	entry  *Entry
	agents []*fakeAgent
}

func declaration() *declare.Declaration {
	sel := func(v string) declare.Selector {
		return declare.Selector{{Key: "pool", Op: declare.In, Values: []string{v}}}
	}
	return &declare.Declaration{
		Revision:  7,
		Customers: map[fleet.Customer]declare.Customer{"resort": {Share: 1}},
		Domains:   map[fleet.Domain]declare.Domain{"a": {Region: "r"}, "b": {Region: "r"}},
		Groups:    map[fleet.Group]declare.Group{"summaries": {VMs: sel("model")}},
		Models: map[fleet.Model]declare.Model{"m": {
			Versions: map[string]fleet.Version{"now": current, "then": former},
		}},
		Rules: []declare.Rule{{Name: "main", Version: "now"}},
		Services: map[fleet.Service]declare.Service{"status": {
			VMs: sel("status"), Calls: map[string]declare.Call{"read": {}, "log": {AtMostOnce: true}},
		}},
	}
}

// newWorld starts n agents of a pool, in domains a and b in turn.
func newWorld(t *testing.T, pool string, n int) *world {
	w := &world{t: t, dir: porttest.NewDirectory()}
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
			a.status.Service, a.status.Group, a.status.Version = "", "summaries", current
		}
		a.serve = a.whole
		a.addr = serveAgent(t, ctx, &wg, a)
		w.agents = append(w.agents, a)
		records = append(records, port.MemberRecord{
			ID: string(a.status.VM), Kind: fleet.KindAgent, Domain: a.status.Domain, Address: a.addr,
			Labels: map[string]string{"pool": pool},
		})
	}
	w.dir.Declare(declaration(), 0)
	w.dir.SetMembers(records...)
	client := rpc.NewClient()
	t.Cleanup(client.Close)
	w.entry = New(Deps{
		ID: "e1", Domain: "a", MaxQueued: 100, Directory: w.dir, Agents: client,
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: noMetrics{},
	})
	wg.Go(func() { w.entry.Run(ctx) })
	w.until("all targets are known", func() bool { return len(w.entry.table.Snapshot(time.Now())) == n })
	return w
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

func (w *world) until(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Fatalf("not reached: %s", what)
}

// change sets the behaviour of every agent.
func (w *world) change(f func(i int, a *fakeAgent)) {
	for i, a := range w.agents {
		a.mu.Lock()
		f(i, a)
		a.mu.Unlock()
	}
}

func (w *world) calls() int {
	n := 0
	for _, a := range w.agents {
		n += a.calls()
	}
	return n
}

// noMetrics drops measurements.
type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}
