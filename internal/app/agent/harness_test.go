package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/enginehttp"
	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/otelmetrics"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/servicehttp"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
	"github.com/masticwing/masticwing/internal/standin/engine"
	"github.com/masticwing/masticwing/internal/standin/service"
)

// fakeDirectory is a fake of port.Directory with one subscriber.
type fakeDirectory struct {
	state   *shard.Map[string, dirState]
	changed chan struct{}
}

type dirState struct {
	d      *declare.Declaration
	self   port.MemberRecord
	writes int
}

func newDirectory() *fakeDirectory {
	return &fakeDirectory{shard.New[string, dirState](1), make(chan struct{}, 1)}
}

func (d *fakeDirectory) get() dirState {
	s, _ := d.state.Get("")
	return s
}

func (d *fakeDirectory) update(f func(s *dirState)) {
	d.state.Update("", func(s dirState, _ bool) (dirState, bool) { f(&s); return s, true })
}

func (d *fakeDirectory) set(dec *declare.Declaration) {
	d.update(func(s *dirState) { s.d = dec })
	signal(d.changed)
}

func (d *fakeDirectory) Declaration() (*declare.Declaration, time.Duration) { return d.get().d, 0 }
func (d *fakeDirectory) Members(fleet.Kind) []port.MemberRecord             { return nil }
func (d *fakeDirectory) Subscribe() (<-chan struct{}, func())               { return d.changed, func() {} }
func (d *fakeDirectory) UpdateSelf(change func(*port.MemberRecord)) {
	d.update(func(s *dirState) { change(&s.self); s.writes++ })
}

// bed is an agent behind the real protocol with stand-ins behind it.
type bed struct {
	*testing.T
	agent   *Agent
	client  *rpc.Client
	addr    fleet.Address
	dir     *fakeDirectory
	weights *porttest.Weights
	ledger  *porttest.Ledger
	kv      *porttest.KV
	metrics *otelmetrics.Metrics
	target  string
}

var bedLimits = declare.Limits{MaxRequests: 8, MaxBytes: 1 << 20, ColdRequests: 2, RampStep: 10 * time.Millisecond}

func declaration(rev uint64, v fleet.Version, o declare.Overlap) *declare.Declaration {
	vm := declare.Selector{{Key: "kind", Op: declare.In, Values: []string{"engine"}}}
	svc := declare.Selector{{Key: "kind", Op: declare.In, Values: []string{"service"}}}
	return &declare.Declaration{
		Revision: rev,
		Groups:   map[fleet.Group]declare.Group{"g": {VMs: vm, Limits: bedLimits, Overlap: o}},
		Models:   map[fleet.Model]declare.Model{"m": {Versions: map[string]fleet.Version{"now": v}}},
		Rules:    []declare.Rule{{Name: "r", Version: "now"}},
		Services: map[fleet.Service]declare.Service{"s": {VMs: svc, Limits: bedLimits, Calls: map[string]declare.Call{
			"read": {}, "log": {AtMostOnce: true},
		}}},
	}
}

// newBed starts an agent. kind is "engine" or "service".
func newBed(t *testing.T, kind string, o engine.Options) *bed {
	t.Helper()
	b := buildBed(t, kind, o)
	b.start()
	return b
}

// buildBed makes an agent that does not run yet.
func buildBed(t *testing.T, kind string, o engine.Options) *bed {
	t.Helper()
	metrics, err := otelmetrics.New()
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{
		T: t, client: rpc.NewClient(), dir: newDirectory(), weights: porttest.NewWeights(),
		ledger: porttest.NewLedger(), kv: porttest.NewKV(time.Now), metrics: metrics,
	}
	d := Deps{
		Clock: sysclock.Clock{}, KV: b.kv, Weights: b.weights, Ledger: b.ledger, Directory: b.dir,
		Metrics: metrics, Log: logging.New(testLog{t}, "agent", "vm1"),
	}
	var h *httptest.Server
	if kind == "engine" {
		h = httptest.NewServer(engine.New(o).Handler())
		d.Engine = enginehttp.New(fleet.Address(h.Listener.Addr().String()))
	} else {
		h = httptest.NewServer(service.New().Handler())
		d.Service = servicehttp.New(fleet.Address(h.Listener.Addr().String()))
	}
	b.target = h.URL
	t.Cleanup(h.Close)
	b.agent = New(Identity{VM: "vm1", Domain: "a", BootID: 7, Labels: declare.Labels{"kind": kind}}, d)
	return b
}

func (b *bed) start() {
	srv, err := rpc.NewServer(rpc.Handlers{Agent: b.agent})
	if err != nil {
		b.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.addr = fleet.Address(lis.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(ctx, lis) })
	wg.Go(func() { b.agent.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		b.client.Close()
		wg.Wait()
	})
}

// testLog writes log lines to the test.
type testLog struct{ t *testing.T }

func (l testLog) Write(b []byte) (int, error) {
	l.t.Log(strings.TrimSpace(string(b)))
	return len(b), nil
}

func (b *bed) eventually(what string, f func() bool) {
	b.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	b.Fatalf("not reached: %s; status %+v", what, b.agent.Status())
}

// admin calls an admin path of the stand-in.
func (b *bed) admin(path, body string) {
	b.Helper()
	resp, err := httptestClient.Post(b.target+path, "application/json", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (b *bed) request(id string, body string) port.ServeRequest {
	return port.ServeRequest{ID: fleet.RequestID(id), Group: "g", Customer: "c", Class: fleet.ClassSummary, Body: []byte(body), Timeout: 20 * time.Second}
}

func (b *bed) serve(r port.ServeRequest) (port.AnswerHead, string, error) {
	ans, err := b.client.Serve(context.Background(), b.addr, r, nil)
	if err != nil {
		return port.AnswerHead{}, "", err
	}
	defer func() { _ = ans.Close() }()
	var out strings.Builder
	for {
		p, err := ans.Next()
		if err == io.EOF {
			return ans.Head(), out.String(), nil
		}
		if err != nil {
			return ans.Head(), out.String(), err
		}
		out.Write(p)
	}
}

// want returns the answer that the whole weights give.
func want(id, version, weights, body string) string {
	var out strings.Builder
	for i := range engine.Tokens([]byte(body)) {
		fmt.Fprintf(&out, "{\"request_id\":%q,\"version\":%q,\"seq\":%d,\"text\":%q}\n",
			id, version, i, engine.Token([]byte(weights), []byte(body), i))
	}
	return out.String()
}

// checkEffects compares the effects that the stand-in service counted.
func (b *bed) checkEffects(want map[string]int64) {
	b.Helper()
	resp, err := httptestClient.Get(b.target + "/effects")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := map[string]int64{}
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		b.Fatal(err)
	}
	for k, n := range want {
		if got[k] != n {
			b.Errorf("key %s had %d effects, want %d", k, got[k], n)
		}
	}
}
