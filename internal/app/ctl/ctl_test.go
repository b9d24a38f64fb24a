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

// steps is a clock that passes only while somebody waits, and a source of
// numbers that counts.
type steps struct {
	mu  sync.Mutex
	now time.Time
	n   uint64
}

func (s *steps) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *steps) After(d time.Duration) <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
	ch := make(chan time.Time, 1)
	ch <- s.now
	return ch
}

func (s *steps) IntN(int) int { return 0 }

func (s *steps) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	return s.n
}

// peers answers with a table that the test changes between looks.
type peers struct {
	port.MemberClient
	looks  int
	answer func(look int) port.ExchangeMessage
}

func (p *peers) Members(_ context.Context, a fleet.Address) (port.ExchangeMessage, error) {
	if a != "127.0.0.1:1" {
		return port.ExchangeMessage{}, errors.New("connection refused")
	}
	p.looks++
	return p.answer(p.looks), nil
}

func (p *peers) Exchange(context.Context, fleet.Address, port.ExchangeMessage) (port.ExchangeMessage, error) {
	return port.ExchangeMessage{}, errors.New("connection refused")
}

func agent(id string, dom fleet.Domain, pool string, rev uint64) port.MemberRecord {
	return port.MemberRecord{
		ID: id, Kind: fleet.KindAgent, Domain: dom, Revision: rev, Incarnation: 1,
		Labels: map[string]string{"pool": pool},
	}
}

// rig is a platform, peers, and a transcript of commands.
type rig struct {
	t        *testing.T
	fixtures string
	url      string
	addr     fleet.Address
	clock    *steps
	peers    *peers
	script   bytes.Buffer
}

func newRig(t *testing.T) *rig {
	t.Helper()
	fixtures, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	srv := httptest.NewServer(platform.New().Handler())
	t.Cleanup(srv.Close)
	r := &rig{
		t: t, fixtures: fixtures, url: srv.URL, addr: fleet.Address(strings.TrimPrefix(srv.URL, "http://")),
		clock: &steps{now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)},
	}
	r.peers = &peers{answer: func(int) port.ExchangeMessage {
		return port.ExchangeMessage{Revision: 1, Records: []port.MemberRecord{
			agent("a-w1", "a", "model", 1), agent("b-w1", "b", "model", 1), agent("a-s1", "a", "status", 1),
		}}
	}}
	return r
}

func (r *rig) file(name, text string) {
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) faults(body string) {
	resp, err := http.Post(r.url+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// exec runs one command line and returns its exit code.
func (r *rig) exec(out, errOut io.Writer, line string) int {
	return r.execUntil(context.Background(), out, errOut, line)
}

// execUntil is exec with a context that interrupts the command.
func (r *rig) execUntil(ctx context.Context, out, errOut io.Writer, line string) int {
	args := []string{"masticwingctl"}
	args = append(args, strings.Fields(line)...)
	if !strings.Contains(line, "--platform") {
		args = append(args, "--platform", string(r.addr))
	}
	return Main(ctx, Deps{
		KV: func(a fleet.Address) port.KV { return kvhttp.New(a) }, Members: r.peers,
		Clock: r.clock, Rand: r.clock, Out: out, Err: errOut, Operator: "amaya",
	}, args)
}

// run adds a command and what it printed to the transcript.
func (r *rig) run(line string) int {
	var out bytes.Buffer
	code := r.exec(&out, &out, line)
	fmt.Fprintf(&r.script, "$ masticwingctl %s\n%s[exit %d]\n\n", line, out.String(), code)
	return code
}

func (r *rig) golden(name string) {
	r.t.Helper()
	goldie.New(r.t, goldie.WithFixtureDir(r.fixtures)).Assert(r.t, name, r.script.Bytes())
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

// TestChangeSession guards against a change in what operators see and against
// wrong exit codes: faults, first apply, difference, refusal, conflict, cordon.
func TestChangeSession(t *testing.T) {
	r := newRig(t)
	r.file("bad.ini", "[group g]\nvms = a in b\nsize = 3\n[zone x]\n")
	r.file("main.ini", config("one"))
	r.run("validate bad.ini")
	r.run("validate main.ini")
	r.run("get")
	r.run("apply main.ini" + peer)
	r.file("main.ini", config("two"))
	r.run("diff main.ini" + peer)
	r.run("apply main.ini --revision 1" + peer)
	r.run("apply main.ini --revision 1 --operator bela" + peer)
	r.file("out.ini", strings.Replace(config("two"), "pool=model", "pool=none", 1))
	r.run("apply out.ini" + peer)
	r.run("apply out.ini --force --output json" + peer)
	r.run("apply main.ini")
	r.run("cordon domain b" + peer)
	r.run("cordon domain a" + peer)
	r.run("cordon vm typo" + peer)
	r.run("cordon vm a-w1 --force" + peer)
	r.run("uncordon domain b" + peer)
	r.run("get")
	r.run("history")
	r.golden("change")
}

// TestFutureRevision guards against a base revision that does not exist and that
// is reported as a change of another operator.
func TestFutureRevision(t *testing.T) {
	r := newRig(t)
	r.file("main.ini", config("one"))
	var errs bytes.Buffer
	if code := r.exec(io.Discard, io.Discard, "apply main.ini"+peer); code != 0 {
		t.Fatalf("first change: exit %d", code)
	}
	code := r.exec(io.Discard, &errs, "apply main.ini --revision 9"+peer)
	want := "revision 9 does not exist yet; the declaration is at revision 1"
	if code != ExitConflict || !strings.Contains(errs.String(), want) {
		t.Errorf("exit %d: %q, want exit %d and %q", code, errs.String(), ExitConflict, want)
	}
}

// TestUsageSession guards against exit codes and messages that scripts depend
// on: wrong usage, a platform or peers that cannot be reached.
func TestUsageSession(t *testing.T) {
	r := newRig(t)
	r.file("main.ini", config("one"))
	r.run("bogus")
	r.run("apply")
	r.run("apply --nonsense")
	r.run("apply main.ini --wait")
	r.run("get --output yaml")
	r.run("get --platform nowhere")
	r.run("status --peer here")
	r.run("status --peer 127.0.0.1:2")
	r.run("apply main.ini --peer 127.0.0.1:2")
	r.run("validate absent.ini")
	r.run("apply --help")
	r.faults(`{"down": true}`)
	r.run("apply .")
	r.run("get --timeout 300ms")
	r.run("apply main.ini --timeout 300ms" + peer)
	r.golden("usage")
}

// TestStatusSession guards against a status that hides processes that are
// behind or unseen, and machines that are stuck.
func TestStatusSession(t *testing.T) {
	r := newRig(t)
	r.file("main.ini", config("one"))
	target := fleet.Version(strings.Repeat("1", 64))
	status := func(look int, have int, reason string) *port.AgentStatus {
		s := &port.AgentStatus{Group: "summaries", Progress: port.Progress{
			Target: target, State: "fetching", Chunks: 100, ChunksHave: min(100, have*look), BytesTotal: 100 << 20, Reason: reason,
		}}
		if s.Progress.ChunksHave == 100 {
			s.Version = target
		}
		return s
	}
	r.peers.answer = func(look int) port.ExchangeMessage {
		rs := []port.MemberRecord{
			agent("a-w1", "a", "model", 2), agent("a-w2", "a", "model", 2), agent("a-w3", "a", "model", 1),
			agent("b-w1", "b", "model", 1), agent("c-w1", "c", "model", 2),
		}
		rs[0].Status, rs[1].Status = status(look, 100, ""), status(look, 10, "")
		rs[2].Status, rs[4].Status = status(look, 0, "waiting for origin"), status(look, 0, "")
		rs[3].State, rs[3].Age = port.MemberDead, 42*time.Second
		if look > 6 {
			rs[2].Revision = 2
		}
		return port.ExchangeMessage{Revision: 2, Age: 1500 * time.Millisecond, Records: rs}
	}
	r.run("status" + peer)
	r.peers.looks = 0
	r.run("status --output json" + peer)
	r.peers.looks = 0
	r.run("apply main.ini" + peer)
	r.peers.looks = 4
	r.run("apply main.ini --wait" + peer)
	r.run("apply main.ini --wait --wait-timeout 1s" + peer)
	r.golden("status")
}

// TestWatchSession guards against a watch that shows no rate, time left or
// reason while a version spreads, and against one that goes on after it was
// interrupted.
func TestWatchSession(t *testing.T) {
	r := newRig(t)
	ctx, cancel := context.WithCancel(t.Context())
	r.peers.answer = func(look int) port.ExchangeMessage {
		rs := []port.MemberRecord{agent("a-w1", "a", "model", 2), agent("a-w2", "a", "model", 2)}
		for i, have := range []int{min(100, 40*look), 10} {
			rs[i].Status = &port.AgentStatus{Group: "summaries", Progress: port.Progress{
				Target: "2222", State: "fetching", Chunks: 100, ChunksHave: have, BytesTotal: 100 << 20,
			}}
		}
		if look >= 3 {
			rs[0].Status.Version = "2222"
			rs[1].Status.Progress.Reason = "no peer has chunk 7"
			cancel()
		}
		return port.ExchangeMessage{Revision: 2, Age: time.Second, Records: rs}
	}
	var out bytes.Buffer
	code := r.execUntil(ctx, &out, &out, "status --watch"+peer)
	fmt.Fprintf(&r.script, "$ masticwingctl status --watch\n%s[exit %d]\n", out.String(), code)
	r.golden("watch")
}
