package harness

import (
	"context"
	"fmt"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

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
	addr := h.Addr()
	p, err := h.StartStandin(t.Context(), "platform", "standin-platform", addr)
	if err != nil {
		t.Fatal(err)
	}
	return p, addr
}

// TestSignals guards against a pause that does not stop a process, a stop that
// does not wait, and a kill that leaves the process behind.
func TestSignals(t *testing.T) {
	h := ForTest(t)
	p, addr := startPlatform(t, h)
	if err := p.Pause(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := Counts(ctx, addr); err == nil {
		t.Error("a paused process answers")
	}
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	if _, err := Counts(t.Context(), addr); err != nil {
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

// TestWaitNamesEarlyExit guards against a wait that runs into its deadline
// when the process has already ended, and against lost output.
func TestWaitNamesEarlyExit(t *testing.T) {
	h := ForTest(t)
	start := time.Now()
	_, err := h.StartStandin(t.Context(), "platform", "standin-platform", "127.0.0.1:none")
	if err == nil || !strings.Contains(err.Error(), "ended with code 1") || time.Since(start) > startTimeout/2 {
		t.Errorf("after %v: %v", time.Since(start), err)
	}
}

const panicEnv = "HARNESS_TEST_PANIC"

// panicAfterStart starts a process and panics. TestPanicKills runs it in a
// child process.
func panicAfterStart() {
	h, err := New(log.Printf)
	if err != nil {
		log.Fatal(err)
	}
	addr := h.Addr()
	if _, err := h.StartStandin(context.Background(), "platform", "standin-platform", addr); err != nil {
		log.Fatal(err)
	}
	fmt.Println("ADDR " + addr)
	panic("as the test wants")
}

// TestPanicKills guards against processes that outlive a test that panics
// before it could close its harness.
func TestPanicKills(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), panicEnv+"=1", "TMPDIR="+t.TempDir())
	out, err := cmd.CombinedOutput()
	_, rest, ok := strings.Cut(string(out), "ADDR ")
	if err == nil || !ok {
		t.Fatalf("the child did not panic: %v\n%s", err, out)
	}
	addr, _, _ := strings.Cut(rest, "\n")
	err = WaitFor(t.Context(), 5*time.Second, "the platform to end", func() error {
		if _, err := Counts(t.Context(), addr); err == nil {
			return http.ErrServerClosed
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// TestRelayRoutes guards against settings that bypass a relayed link and
// against faults that hit another route.
func TestRelayRoutes(t *testing.T) {
	h, ctx := ForTest(t), t.Context()
	d := &Deployment{Harness: h, relayed: map[string]string{}, Spec: Spec{
		Domains: []DomainSpec{{Name: "a", Region: "r1", Entries: 1, Engines: 1}}, Relays: []Link{LinkPlatform},
	}}
	d.layOut()
	_, d.PlatformAddr = startPlatform(t, h)
	var err error
	if d.Relay, err = h.StartStandin(ctx, "relay", "standin-relay", d.RelayAt); err != nil {
		t.Fatal(err)
	}
	addrs := map[string]string{}
	for _, n := range d.Nodes() {
		if err := d.prepare(ctx, n); err != nil {
			t.Fatal(err)
		}
		addrs[n.Name] = d.through(n, LinkPlatform, d.PlatformAddr)
		if s := d.settingsOf(n); strings.Contains(s, d.PlatformAddr) || !strings.Contains(s, addrs[n.Name]) {
			t.Errorf("settings of %s bypass the relay:\n%s", n.Name, s)
		}
	}
	if err := d.SetLinkFaults(ctx, LinkPlatform, relay.Faults{Cut: true}, d.Entries...); err != nil {
		t.Fatal(err)
	}
	if _, err := Counts(ctx, addrs["a-e1"]); err == nil {
		t.Error("the cut route answers")
	}
	if _, err := Counts(ctx, addrs["a-w1"]); err != nil {
		t.Errorf("the other route: %v", err)
	}
}

// TestCheckWhole guards against a check that takes a broken or crossed answer
// for a whole one.
func TestCheckWhole(t *testing.T) {
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
			err = a.CheckWhole()
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
