package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/platform"
)

// fakeClock is a clock that advances only by calls of After, and a random source
// that returns consecutive numbers.
type fakeClock struct {
	mu         sync.Mutex
	now        time.Time
	lastNumber uint64
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	ch := make(chan time.Time, 1)
	ch <- c.now
	return ch
}

func (c *fakeClock) IntN(int) int { return 0 }

func (c *fakeClock) Uint64() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// peers is a MemberClient with one reachable address, 127.0.0.1:1. It returns the
// member table that reply computes for each call.
type peers struct {
	port.MemberClient
	calls int
	reply func(call int) port.ExchangeMessage
}

func (p *peers) Members(_ context.Context, a fleet.Address) (port.ExchangeMessage, error) {
	if a != "127.0.0.1:1" {
		return port.ExchangeMessage{}, errors.New("connection refused")
	}
	p.calls++
	return p.reply(p.calls), nil
}

func (p *peers) Exchange(context.Context, fleet.Address, port.ExchangeMessage) (port.ExchangeMessage, error) {
	return port.ExchangeMessage{}, errors.New("connection refused")
}

func agentRecord(id string, dom fleet.Domain, pool string, rev uint64) port.MemberRecord {
	return port.MemberRecord{
		ID: id, Kind: fleet.KindAgent, Domain: dom, Revision: rev, Incarnation: 1,
		Labels: map[string]string{"pool": pool},
	}
}

// harness runs commands against a stand-in platform and fake peers, and keeps a
// transcript.
type harness struct {
	t          *testing.T
	fixtures   string
	url        string
	addr       fleet.Address
	clock      *fakeClock
	peers      *peers
	transcript bytes.Buffer
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	fixtures, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	srv := httptest.NewServer(platform.New().Handler())
	t.Cleanup(srv.Close)
	h := &harness{
		t: t, fixtures: fixtures, url: srv.URL, addr: fleet.Address(strings.TrimPrefix(srv.URL, "http://")),
		clock: &fakeClock{now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)},
	}
	h.peers = &peers{reply: func(int) port.ExchangeMessage {
		return port.ExchangeMessage{Revision: 1, Records: []port.MemberRecord{
			agentRecord("a-w1", "a", "model", 1), agentRecord("b-w1", "b", "model", 1), agentRecord("a-s1", "a", "status", 1),
		}}
	}}
	return h
}

func (h *harness) writeFile(name, text string) {
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) setFaults(body string) {
	resp, err := http.Post(h.url+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// exec runs one command line and returns its exit code.
func (h *harness) exec(out, errOut io.Writer, line string) int {
	return h.execContext(context.Background(), out, errOut, line)
}

// execContext is exec with a context that can interrupt the command.
func (h *harness) execContext(ctx context.Context, out, errOut io.Writer, line string) int {
	args := []string{"masticwingctl"}
	args = append(args, strings.Fields(line)...)
	if !strings.Contains(line, "--platform") {
		args = append(args, "--platform", string(h.addr))
	}
	return Main(ctx, Deps{
		Version: "dev",
		KV:      func(a fleet.Address) port.KV { return kvhttp.New(a) }, Members: h.peers,
		Clock: h.clock, Rand: h.clock, Out: out, Err: errOut, Operator: "amaya",
	}, args)
}

// run runs a command line and appends it with its output to the transcript.
func (h *harness) run(line string) int {
	var out bytes.Buffer
	code := h.exec(&out, &out, line)
	fmt.Fprintf(&h.transcript, "$ masticwingctl %s\n%s[exit %d]\n\n", line, out.String(), code)
	return code
}

func (h *harness) assertGolden(name string) {
	h.t.Helper()
	goldie.New(h.t, goldie.WithFixtureDir(h.fixtures)).Assert(h.t, name, h.transcript.Bytes())
}

func config(version string) string {
	return `[domain a]
region = r1
[domain b]
region = r2
[model summarizer]
labels = family=survey
version.one = ` + strings.Repeat("1", 64) + `
version.two = ` + strings.Repeat("2", 64) + `
[group summaries]
vms = pool=model
labels = tier=main
[serve main]
groups = tier=main
models = family=survey
version = ` + version + `
[service status]
vms = pool=status
call.log = once
`
}

const peer = " --peer 127.0.0.1:1"

// TestChangeCommands guards against changes of the output and exit codes of the
// commands that change the declaration: faults, first apply, diff, failed checks,
// conflicts and cordons.
func TestChangeCommands(t *testing.T) {
	h := newHarness(t)
	h.writeFile("bad.ini", "[group g]\nvms = a in b\nsize = 3\n[zone x]\n")
	h.writeFile("main.ini", config("one"))
	h.run("validate bad.ini")
	h.run("validate main.ini")
	h.run("get")
	h.run("apply main.ini" + peer)
	h.writeFile("main.ini", config("two"))
	h.run("diff main.ini" + peer)
	h.run("apply main.ini --revision 1" + peer)
	h.run("apply main.ini --revision 1 --operator bela" + peer)
	h.writeFile("out.ini", strings.Replace(config("two"), "pool=model", "pool=none", 1))
	h.run("apply out.ini" + peer)
	h.run("apply out.ini --force --output json" + peer)
	h.run("apply main.ini")
	h.run("cordon domain b" + peer)
	h.run("cordon domain a" + peer)
	h.run("cordon vm typo" + peer)
	h.run("cordon vm a-w1 --force" + peer)
	h.run("uncordon domain b" + peer)
	h.run("get")
	h.run("history")
	h.assertGolden("change")
}

// TestApplyToFutureRevision guards against a base revision that does not exist yet
// being reported as a conflict with another operator.
func TestApplyToFutureRevision(t *testing.T) {
	h := newHarness(t)
	h.writeFile("main.ini", config("one"))
	var errs bytes.Buffer
	if code := h.exec(io.Discard, io.Discard, "apply main.ini"+peer); code != 0 {
		t.Fatalf("first change: exit %d", code)
	}
	code := h.exec(io.Discard, &errs, "apply main.ini --revision 9"+peer)
	want := "revision 9 does not exist yet; the declaration is at revision 1"
	if code != ExitConflict || !strings.Contains(errs.String(), want) {
		t.Errorf("exit %d: %q, want exit %d and %q", code, errs.String(), ExitConflict, want)
	}
}

// TestUsageErrors guards against changes of exit codes and messages that scripts
// depend on, for wrong usage and for an unreachable platform or peers.
func TestUsageErrors(t *testing.T) {
	h := newHarness(t)
	h.writeFile("main.ini", config("one"))
	h.run("bogus")
	h.run("apply")
	h.run("apply --nonsense")
	h.run("apply main.ini --wait")
	h.run("get --output yaml")
	h.run("get --platform nowhere")
	h.run("status --peer here")
	h.run("status --peer 127.0.0.1:2")
	h.run("apply main.ini --peer 127.0.0.1:2")
	h.run("validate absent.ini")
	h.run("apply --help")
	h.setFaults(`{"down": true}`)
	h.run("apply .")
	h.run("get --timeout 300ms")
	h.run("apply main.ini --timeout 300ms" + peer)
	h.assertGolden("usage")
}

// TestStatusCommand guards against a status that does not show processes that are
// behind or unreachable, or machines that make no progress.
func TestStatusCommand(t *testing.T) {
	h := newHarness(t)
	h.writeFile("main.ini", config("one"))
	target := fleet.Version(strings.Repeat("1", 64))
	status := func(call int, have int, reason string) *port.AgentStatus {
		s := &port.AgentStatus{Group: "summaries", Progress: port.Progress{
			Target: target, State: "fetching", Chunks: 100, ChunksHave: min(100, have*call), BytesTotal: 100 << 20, Reason: reason,
		}}
		if s.Progress.ChunksHave == 100 {
			s.Version = target
		}
		return s
	}
	h.peers.reply = func(call int) port.ExchangeMessage {
		records := []port.MemberRecord{
			agentRecord("a-w1", "a", "model", 2), agentRecord("a-w2", "a", "model", 2), agentRecord("a-w3", "a", "model", 1),
			agentRecord("b-w1", "b", "model", 1), agentRecord("c-w1", "c", "model", 2),
		}
		records[0].Status, records[1].Status = status(call, 100, ""), status(call, 10, "")
		records[2].Status, records[4].Status = status(call, 0, "waiting for origin"), status(call, 0, "")
		records[3].State, records[3].Age = port.MemberDead, 42*time.Second
		if call > 6 {
			records[2].Revision = 2
		}
		return port.ExchangeMessage{Revision: 2, Age: 1500 * time.Millisecond, Records: records}
	}
	h.run("status" + peer)
	h.peers.calls = 0
	h.run("status --output json" + peer)
	h.peers.calls = 0
	h.run("apply main.ini" + peer)
	h.peers.calls = 4
	h.run("apply main.ini --wait" + peer)
	h.run("apply main.ini --wait --wait-timeout 1s" + peer)
	h.assertGolden("status")
}

// TestStatusWatch guards against a watch that shows no rate, remaining time or
// reason during a rollout, and against one that continues after an interrupt.
func TestStatusWatch(t *testing.T) {
	h := newHarness(t)
	ctx, cancel := context.WithCancel(t.Context())
	h.peers.reply = func(call int) port.ExchangeMessage {
		records := []port.MemberRecord{agentRecord("a-w1", "a", "model", 2), agentRecord("a-w2", "a", "model", 2)}
		for i, have := range []int{min(100, 40*call), 10} {
			records[i].Status = &port.AgentStatus{Group: "summaries", Progress: port.Progress{
				Target: "2222", State: "fetching", Chunks: 100, ChunksHave: have, BytesTotal: 100 << 20,
			}}
		}
		if call >= 3 {
			records[0].Status.Version = "2222"
			records[1].Status.Progress.Reason = "no peer has chunk 7"
			cancel()
		}
		return port.ExchangeMessage{Revision: 2, Age: time.Second, Records: records}
	}
	var out bytes.Buffer
	code := h.execContext(ctx, &out, &out, "status --watch"+peer)
	fmt.Fprintf(&h.transcript, "$ masticwingctl status --watch\n%s[exit %d]\n", out.String(), code)
	h.assertGolden("watch")
}
