package harness

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/standin/relay"
)

func TestMain(m *testing.M) {
	if os.Getenv(panicEnv) != "" {
		panicAfterStart()
	}
	os.Exit(Main(m))
}

func startPlatform(t *testing.T, h *Harness) (*Process, string) {
	t.Helper()
	addr := h.FreeAddr()
	p, err := h.StartStandin(t.Context(), "platform", "standin-platform", addr)
	if err != nil {
		t.Fatal(err)
	}
	return p, addr
}

// TestSignals guards against a Pause that leaves the process running, a Stop that
// does not wait for the exit, and a Kill that leaves a paused process behind.
func TestSignals(t *testing.T) {
	h := ForTest(t)
	p, addr := startPlatform(t, h)
	if err := p.Pause(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := GetCounts(ctx, addr); err == nil {
		t.Error("a paused process responds")
	}
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	if _, err := GetCounts(t.Context(), addr); err != nil {
		t.Errorf("a resumed process: %v", err)
	}
	if code, err := p.Stop(5 * time.Second); code != 0 || err != nil {
		t.Errorf("Stop = %d, %v", code, err)
	}
	q, _ := startPlatform(t, h)
	if err := q.Pause(); err != nil {
		t.Fatal(err)
	}
	if err := q.Kill(); err != nil || q.ExitCode() != -1 {
		t.Errorf("Kill of a paused process: %v, code %d", err, q.ExitCode())
	}
}

// TestWaitReportsEarlyExit guards against a wait that runs until its timeout
// although the process has already exited, and against lost process output.
func TestWaitReportsEarlyExit(t *testing.T) {
	h := ForTest(t)
	start := time.Now()
	_, err := h.StartStandin(t.Context(), "platform", "standin-platform", "127.0.0.1:none")
	if err == nil || !strings.Contains(err.Error(), "exited with code 1") || time.Since(start) > startTimeout/2 {
		t.Errorf("after %v: %v", time.Since(start), err)
	}
}

const panicEnv = "HARNESS_TEST_PANIC"

// panicAfterStart starts a process and panics. TestPanicKillsProcesses runs it
// in a child process.
func panicAfterStart() {
	h, err := New(log.Printf)
	if err != nil {
		log.Fatal(err)
	}
	addr := h.FreeAddr()
	if _, err := h.StartStandin(context.Background(), "platform", "standin-platform", addr); err != nil {
		log.Fatal(err)
	}
	fmt.Println("ADDR " + addr)
	panic("expected by the test")
}

// TestPanicKillsProcesses guards against processes that outlive a test that
// panics before it closes its harness.
func TestPanicKillsProcesses(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), panicEnv+"=1", "TMPDIR="+t.TempDir())
	out, err := cmd.CombinedOutput()
	_, rest, ok := strings.Cut(string(out), "ADDR ")
	if err == nil || !ok {
		t.Fatalf("the child did not panic: %v\n%s", err, out)
	}
	addr, _, _ := strings.Cut(rest, "\n")
	err = WaitFor(t.Context(), 5*time.Second, "the platform to exit", func() error {
		if _, err := GetCounts(t.Context(), addr); err == nil {
			return http.ErrServerClosed
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// TestRelayRoutes guards against node settings that bypass a relayed link and
// against faults that affect another route.
func TestRelayRoutes(t *testing.T) {
	h, ctx := ForTest(t), t.Context()
	d := &Deployment{Harness: h, relayAddrs: map[string]string{}, Spec: Spec{
		Domains: []DomainSpec{{Name: "a", Region: "r1", Entries: 1, Engines: 1}}, RelayedLinks: []Link{LinkPlatform},
	}}
	d.assignAddresses()
	_, d.PlatformAddr = startPlatform(t, h)
	var err error
	if d.Relay, err = h.StartStandin(ctx, "relay", "standin-relay", d.RelayAddr); err != nil {
		t.Fatal(err)
	}
	addrs := map[string]string{}
	for _, n := range d.Nodes() {
		if err := d.configureNode(ctx, n); err != nil {
			t.Fatal(err)
		}
		addrs[n.Name] = d.linkAddr(n, LinkPlatform, d.PlatformAddr)
		if s := d.settingsText(n); strings.Contains(s, d.PlatformAddr) || !strings.Contains(s, addrs[n.Name]) {
			t.Errorf("settings of %s bypass the relay:\n%s", n.Name, s)
		}
	}
	if err := d.SetLinkFaults(ctx, LinkPlatform, relay.Faults{Cut: true}, d.Entries...); err != nil {
		t.Fatal(err)
	}
	if _, err := GetCounts(ctx, addrs["a-e1"]); err == nil {
		t.Error("the cut route responds")
	}
	if _, err := GetCounts(ctx, addrs["a-w1"]); err != nil {
		t.Errorf("the other route: %v", err)
	}
}

// TestCheckComplete guards against a check that accepts an incomplete response or
// one that mixes requests or versions.
func TestCheckComplete(t *testing.T) {
	const line, end = `{"request_id":"q","version":"v"}`, `{"end":{"verdict":"ran","version":"v","frames":1,"request_id":"q"}}`
	for body, ok := range map[string]bool{
		line + "\n" + end + "\n": true,
		line + "\n":              false,
		end + "\n":               false,
		strings.Replace(line, `"q"`, `"p"`, 1) + "\n" + end:        false,
		strings.Replace(line, `"v"`, `"w"`, 1) + "\n" + end:        false,
		line + "\n" + `{"error":{"code":"c","verdict":"ran"}}`:     false,
		line + "\n" + strings.Replace(end, `"q"`, `"p"`, 1) + "\n": false,
		line + "\n" + strings.Replace(end, `ran`, `not-run`, 1):    false,
		line + "\n" + end + "\n" + line:                            false,
		line + "\n" + strings.Replace(end, `"v"`, `"other"`, 1):    false,
		strings.Repeat(line+"\n", 2) + end:                         false,
		`half of a line` + "\n" + end:                              false,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/x-ndjson")
			w.Header().Set(HeaderRequest, "q")
			w.Header().Set(HeaderVersion, "v")
			w.Header().Set("Trailer", HeaderVerdict)
			_, _ = w.Write([]byte(body))
			w.Header().Set(HeaderVerdict, "ran")
		}))
		a, err := NewCaller(srv.Listener.Addr().String()).Send(t.Context(), Request{Path: GeneratePath("g")})
		if err == nil {
			err = a.CheckComplete()
		}
		if (err == nil) != ok {
			t.Errorf("%q: %v", body, err)
		}
		srv.Close()
	}
	if u, err := uuid.Parse(NewKey()); err != nil || u.Version() != 7 {
		t.Errorf("NewKey: version %v, %v", u.Version(), err)
	}
}

// TestFreeAddrBesideForks guards against an address that a process which is just being started still listens on: until
// it executes its program, it has a copy of each open socket.
func TestFreeAddrBesideForks(t *testing.T) {
	h := ForTest(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var wg conc.WaitGroup
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command("true").Run()
			}
		})
	}
	for ctx.Err() == nil {
		lis, err := net.Listen("tcp", h.FreeAddr())
		if err != nil {
			t.Error(err)
			break
		}
		_ = lis.Close()
	}
	cancel()
	wg.Wait()
}
