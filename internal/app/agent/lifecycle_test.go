package agent

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/inisettings"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/rollout"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/engine"
)

// TestStatusStream guards against a change of state that reaches an entry late,
// against a stream without heartbeats, and against a member record that is
// updated on every request.
func TestStatusStream(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	st, err := b.client.WatchStatus(context.Background(), b.address, "e1", "a")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = st.Close() }()
	first, err := st.Next()
	if err != nil || first.Version != "v1" || first.Revision != 1 || first.BootID != 7 || first.Load.Limit != 2 {
		t.Fatalf("first status %+v, %v", first, err)
	}
	writes := b.directory.get().writes
	for range 3 {
		if _, _, err := b.serve(b.request("r", "x")); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	beat, err := st.Next()
	if d := time.Since(start); err != nil || d > 1500*time.Millisecond || d < 500*time.Millisecond {
		t.Fatalf("heartbeat after %v: %+v, %v", d, beat, err)
	}
	if n := b.directory.get().writes - writes; n > 1 {
		t.Errorf("%d changes of the member record without a change of state", n)
	}
	d := declaration(2, "v1", declare.KeepOld)
	d.Cordons.VMs = map[fleet.VM]bool{"vm1": true}
	start = time.Now()
	b.directory.setDeclaration(d)
	for {
		got, err := st.Next()
		if err != nil {
			t.Fatal(err)
		}
		if got.Cordoned && got.Revision == 2 {
			break
		}
	}
	if d := time.Since(start); d > 500*time.Millisecond {
		t.Errorf("cordon announced after %v", d)
	}
}

// TestDrainFirst guards against two loaded versions in an engine that has memory
// for one, and against an unload while a request uses the version.
func TestDrainFirst(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{CheckFence: true, MemoryBytes: 8, TokenDelay: 5 * time.Millisecond})
	b.weights.Put("v1", []byte("weights1"))
	b.directory.setDeclaration(declaration(1, "v1", declare.DrainFirst))
	b.waitServing("v1")
	var wg conc.WaitGroup
	wg.Go(func() {
		_, got, err := b.serve(b.request("r1", `{"max_tokens":60}`))
		if err != nil || got != expectedResponse("r1", "v1", "weights1", `{"max_tokens":60}`) {
			t.Errorf("request in progress during the change: %v", err)
		}
	})
	b.eventually("request in progress", func() bool { return b.agent.Load().InFlight == 1 })
	b.directory.setDeclaration(declaration(2, "v2", declare.DrainFirst))
	time.Sleep(20 * time.Millisecond)
	if st := b.agent.Status(); st.Version != "v1" {
		t.Errorf("left rotation before the new version was complete: %+v", st)
	}
	b.weights.Put("v2", []byte("weights2"))
	b.eventually("out of rotation", func() bool { return !b.agent.Status().Ready })
	_, _, err := b.serve(b.request("r2", "x"))
	wantError(t, err, verdict.NotRun, verdict.CodeVersionNotServing)
	b.waitServing("v2")
	wg.Wait()
	if _, got, err := b.serve(b.request("r3", "x")); err != nil || got != expectedResponse("r3", "v2", "weights2", "x") {
		t.Fatalf("response %q, error %v", got, err)
	}
}

// TestOrderEndsWithLease guards against a long load that continues after the
// order lease was revoked, when another agent may hold it.
func TestOrderEndsWithLease(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{LoadPerMiB: 4 * time.Second})
	b.weights.Put("v1", make([]byte, 1<<20))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	var lease port.LeaseID
	b.eventually("order lease taken", func() bool {
		e, err := b.kv.Get(context.Background(), "order/vm1")
		lease = port.LeaseID(e.Value[bytes.LastIndexByte(e.Value, '/')+1:])
		return err == nil
	})
	if err := b.kv.Revoke(context.Background(), lease); err != nil {
		t.Fatal(err)
	}
	b.eventually("order ended", func() bool {
		return strings.Contains(b.agent.Status().Progress.Reason, errLeaseLost.Error())
	})
	b.waitServing("v1")
}

// TestOrderWithoutPlatformSuperseded guards against an agent that cannot reach
// the platform and continues an order after another agent of the VM has sent
// one.
func TestOrderWithoutPlatformSuperseded(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{LoadPerMiB: 4 * time.Second})
	b.kv.SetUnavailable(true)
	b.weights.Put("v1", make([]byte, 4<<20))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	time.Sleep(rollout.LeaseDuration + time.Second)
	b.eventually("order given", func() bool { return b.agent.Status().Progress.State == "loading" })
	b.postToTarget("/v1/unload?version=v0&fence=99", "")
	b.eventually("order ended", func() bool {
		return strings.Contains(b.agent.Status().Progress.Reason, errSuperseded.Error())
	})
	time.Sleep(2 * rollout.LeaseDuration)
	if st := b.agent.Status(); st.Progress.Reason != "waiting for the order lease" {
		t.Fatalf("an order was sent after that of another agent: %+v", st.Progress)
	}
	b.kv.SetUnavailable(false)
	b.eventually("order given with the lease", func() bool { return b.agent.Status().Progress.State == "loading" })
}

// TestAtMostOnceCallOutlivesCaller guards against a call that is canceled when
// its caller disconnects, which would leave its outcome unknown.
func TestAtMostOnceCallOutlivesCaller(t *testing.T) {
	b := newTestbed(t, "service", engine.Options{})
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.eventually("ready", func() bool { return b.agent.Status().Ready })
	b.postToTarget("/faults", `{"delay_ms":200}`)
	r := port.ServeRequest{ID: "r1", Service: "s", Call: "log", Customer: "c", Body: []byte("x"), IdempotencyKey: "k1", Timeout: 5 * time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := b.client.Serve(ctx, b.address, r, nil); verdict.FromError(err).Verdict != verdict.MayHaveRun {
		t.Fatalf("got %v for a caller that gave up", err)
	}
	b.eventually("call done", func() bool { return b.ledger.Outcomes.Load() == 1 })
	h, got, err := b.serve(r)
	if err != nil || !h.Replayed || got != "log ok: x\n" {
		t.Fatalf("retry: head %+v, response %q, error %v", h, got, err)
	}
	b.checkEffects(map[string]int64{"k1": 1})
}

// TestPlannedStop guards against a graceful shutdown that interrupts a response, or
// that does not end.
func TestPlannedStop(t *testing.T) {
	b := buildTestbed(t, "engine", engine.Options{TokenDelay: 10 * time.Millisecond})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	srv, err := rpc.NewServer(rpc.Handlers{Agent: b.agent})
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.client.Close)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	st := Components{Run: func(ctx context.Context) { <-ctx.Done() }, NotReadyReason: func() string { return "" }}
	env := daemon.Env{Log: b.agent.deps.Log, Admin: &daemon.Admin{}}
	wg.Go(func() { done <- Serve(ctx, b.agent, srv, lis, st, Settings{DrainTimeout: 10 * time.Second}, env) })
	b.waitServing("v1")
	b.address = fleet.Address(lis.Addr().String())
	wg.Go(func() {
		if _, got, err := b.serve(b.request("r1", `{"max_tokens":60}`)); err != nil || got != expectedResponse("r1", "v1", "w", `{"max_tokens":60}`) {
			t.Errorf("the stop interrupted a request: %v", err)
		}
	})
	b.eventually("request in progress", func() bool { return b.agent.Load().InFlight == 1 })
	stop()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("stop failed: %v", err)
		}
	case <-time.After(8 * time.Second):
		t.Error("the stop does not end")
	}
}

// TestSettings guards against an example configuration that does not load, and
// against contradictory settings that are accepted.
func TestSettings(t *testing.T) {
	var c Settings
	s := settings.New("masticwing-agent")
	c.Register(s)
	text := s.Example()
	for k, v := range map[string]string{
		"id": "vm1", "admin": "127.0.0.1:1", "domain": "a", "region": "r1", "rpc": "127.0.0.1:2", "address": "127.0.0.1:3",
	} {
		text = strings.Replace(text, "\n"+k+" =\n", "\n"+k+" = "+v+"\n", 1)
	}
	path := filepath.Join(t.TempDir(), "agent.ini")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	if f := s.Load(path, inisettings.Read); len(f) > 0 {
		t.Fatalf("faults in the example: %v", f)
	}
	write(strings.ReplaceAll(text, ";address = \n", "address = 127.0.0.1:4\n") + "\n[nope]\nx = 1\n")
	var out bytes.Buffer
	role := daemon.Role{Name: "masticwing-agent", Settings: func(s *settings.Set) *daemon.Common {
		var fresh Settings
		fresh.Register(s)
		return &fresh.Common
	}}
	code := daemon.Main(daemon.Adapters{ReadSettings: inisettings.Read}, role, []string{"masticwing-agent", "check-config", "--config", path}, &out, &out)
	if code != daemon.ExitSettings {
		t.Fatalf("exit code %d: %s", code, out.String())
	}
	write(strings.ReplaceAll(text, ";address = \n", "address = 127.0.0.1:4\n"))
	if f := s.Load(path, inisettings.Read); len(f) != 1 || f[0].Section != "service" {
		t.Fatalf("got faults %v for an agent with two targets", f)
	}
}
