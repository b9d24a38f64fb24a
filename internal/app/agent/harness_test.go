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

// fakeDirectory implements port.Directory for one subscriber.
type fakeDirectory struct {
	state   *shard.Map[string, directoryState]
	changed chan struct{}
}

type directoryState struct {
	d      *declare.Declaration
	self   port.MemberRecord
	writes int
}

func newFakeDirectory() *fakeDirectory {
	return &fakeDirectory{shard.New[string, directoryState](1), make(chan struct{}, 1)}
}

func (d *fakeDirectory) get() directoryState {
	s, _ := d.state.Get("")
	return s
}

func (d *fakeDirectory) update(f func(s *directoryState)) {
	d.state.Update("", func(s directoryState, _ bool) (directoryState, bool) { f(&s); return s, true })
}

func (d *fakeDirectory) setDeclaration(dec *declare.Declaration) {
	d.update(func(s *directoryState) { s.d = dec })
	signal(d.changed)
}

func (d *fakeDirectory) Declaration() (*declare.Declaration, time.Duration) {
	return d.get().d, 0
}
func (d *fakeDirectory) Members(fleet.Kind) []port.MemberRecord { return nil }
func (d *fakeDirectory) Subscribe() (<-chan struct{}, func())   { return d.changed, func() {} }
func (d *fakeDirectory) UpdateSelf(change func(*port.MemberRecord)) {
	d.update(func(s *directoryState) { change(&s.self); s.writes++ })
}

// testbed runs an agent that serves the real RPC protocol, with a stand-in as
// its target.
type testbed struct {
	*testing.T
	agent     *Agent
	client    *rpc.Client
	address   fleet.Address
	directory *fakeDirectory
	weights   *porttest.Weights
	ledger    *porttest.Ledger
	kv        *porttest.KV
	metrics   *otelmetrics.Metrics
	targetURL string
}

var testLimits = declare.Limits{MaxRequests: 8, MaxBytes: 1 << 20, ColdRequests: 2, RampStep: 10 * time.Millisecond}

func declaration(revision uint64, version fleet.Version, overlap declare.Overlap) *declare.Declaration {
	vm := declare.Selector{{Key: "kind", Op: declare.In, Values: []string{"engine"}}}
	svc := declare.Selector{{Key: "kind", Op: declare.In, Values: []string{"service"}}}
	return &declare.Declaration{
		Revision: revision,
		Groups:   map[fleet.Group]declare.Group{"g": {VMs: vm, Limits: testLimits, Overlap: overlap}},
		Models:   map[fleet.Model]declare.Model{"m": {Versions: map[string]fleet.Version{"now": version}}},
		Rules:    []declare.Rule{{Name: "r", Version: "now"}},
		Services: map[fleet.Service]declare.Service{"s": {VMs: svc, Limits: testLimits, Calls: map[string]declare.Call{
			"read": {}, "log": {AtMostOnce: true},
		}}},
	}
}

// newTestbed starts an agent. kind is "engine" or "service".
func newTestbed(t *testing.T, kind string, o engine.Options) *testbed {
	t.Helper()
	b := buildTestbed(t, kind, o)
	b.start()
	return b
}

// buildTestbed creates an agent without starting it.
func buildTestbed(t *testing.T, kind string, o engine.Options) *testbed {
	t.Helper()
	metrics, err := otelmetrics.New()
	if err != nil {
		t.Fatal(err)
	}
	b := &testbed{
		T: t, client: rpc.NewClient(), directory: newFakeDirectory(), weights: porttest.NewWeights(),
		ledger: porttest.NewLedger(), kv: porttest.NewKV(time.Now), metrics: metrics,
	}
	d := Deps{
		Clock: sysclock.Clock{}, KV: b.kv, Weights: b.weights, Ledger: b.ledger, Directory: b.directory,
		Metrics: metrics, Log: logging.New(testLogWriter{t}, "agent", "vm1"),
	}
	var h *httptest.Server
	if kind == "engine" {
		h = httptest.NewServer(engine.New(o).Handler())
		d.Engine = enginehttp.New(fleet.Address(h.Listener.Addr().String()))
	} else {
		h = httptest.NewServer(service.New().Handler())
		d.Service = servicehttp.New(fleet.Address(h.Listener.Addr().String()))
	}
	b.targetURL = h.URL
	t.Cleanup(h.Close)
	b.agent = New(Identity{VM: "vm1", Domain: "a", BootID: 7, Labels: declare.Labels{"kind": kind}}, d)
	return b
}

func (b *testbed) start() {
	srv, err := rpc.NewServer(rpc.Handlers{Agent: b.agent})
	if err != nil {
		b.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.address = fleet.Address(lis.Addr().String())
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

// testLogWriter writes log lines to the test's log.
type testLogWriter struct{ t *testing.T }

func (l testLogWriter) Write(b []byte) (int, error) {
	l.t.Log(strings.TrimSpace(string(b)))
	return len(b), nil
}

func (b *testbed) eventually(what string, f func() bool) {
	b.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	b.Fatalf("timeout waiting for: %s; status %+v", what, b.agent.Status())
}

// postToTarget sends a POST request to the stand-in.
func (b *testbed) postToTarget(path, body string) {
	b.Helper()
	resp, err := targetClient.Post(b.targetURL+path, "application/json", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (b *testbed) request(id string, body string) port.ServeRequest {
	return port.ServeRequest{ID: fleet.RequestID(id), Group: "g", Customer: "c", Class: fleet.ClassSummary, Body: []byte(body), Timeout: 20 * time.Second}
}

func (b *testbed) serve(r port.ServeRequest) (port.AnswerHead, string, error) {
	ans, err := b.client.Serve(context.Background(), b.address, r, nil)
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

// expectedResponse returns the response that the stand-in engine computes from
// complete weights.
func expectedResponse(id, version, weights, body string) string {
	var out strings.Builder
	for i := range engine.FrameCount([]byte(body)) {
		fmt.Fprintf(&out, "{\"request_id\":%q,\"version\":%q,\"seq\":%d,\"text\":%q}\n",
			id, version, i, engine.FrameText([]byte(weights), []byte(body), i))
	}
	return out.String()
}

// checkEffects checks how often the stand-in service ran the call of each
// idempotency key.
func (b *testbed) checkEffects(want map[string]int64) {
	b.Helper()
	resp, err := targetClient.Get(b.targetURL + "/effects")
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
