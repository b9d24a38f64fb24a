package spread_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/harness"
)

func contains(line []byte, s string) bool { return bytes.Contains(line, []byte(s)) }

// TestAgentRestarts guards against an agent that is killed half way and does
// not get the version after its restart, and against more than one further
// copy from the origin on its account.
func TestAgentRestarts(t *testing.T) {
	b := start(t, nil)
	before, err := b.OriginBytes(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	v := b.declare(2)
	n := b.agents("b")[1]
	b.partly(n, v, 0.4)
	if err := n.Proc.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := b.StartNode(t.Context(), n); err != nil {
		t.Fatal(err)
	}
	b.serves(v, b.Agents...)
	after, err := b.OriginBytes(t.Context())
	if copies := float64(after-before) / newBytes; err != nil || copies > 5 {
		t.Fatalf("the origin gave %.2f copies, %v", copies, err)
	}
	b.answers(version(2, newBytes), b.Entries[1])
}

// TestAgentStops guards against machines that wait for one that is stopped,
// and against one that does not catch up after 5 s.
func TestAgentStops(t *testing.T) {
	b := start(t, nil)
	v := b.declare(2)
	n := b.agents("b")[0]
	b.partly(n, v, 0.3)
	if err := n.Proc.Pause(); err != nil {
		t.Fatal(err)
	}
	at := time.Now()
	b.serves(v, append(b.agents("a"), b.agents("b")[1:]...)...)
	time.Sleep(time.Until(at.Add(5 * time.Second)))
	if err := n.Proc.Resume(); err != nil {
		t.Fatal(err)
	}
	b.serves(v, n)
}

// TestOriginDown guards against a spread that does not say what it waits for,
// or does not go on when the origin is back.
func TestOriginDown(t *testing.T) {
	b := start(t, nil)
	v := b.declare(2)
	b.partly(b.Agents[0], v, 0.2)
	b.faults(origin.Faults{Down: true})
	b.shows("waiting for origin")
	b.answers(version(1, oldBytes), b.Entries[0])
	b.faults(origin.Faults{})
	b.serves(v, b.Agents...)
}

// shows waits until masticwingctl status shows a text.
func (b *bed) shows(text string) {
	b.t.Helper()
	err := harness.WaitFor(b.t.Context(), limit, "status to show "+text, func() error {
		out, _, err := b.Ctl(b.t.Context(), "status", "--peer", b.Entries[0].RPC)
		if err == nil && !strings.Contains(out, text) {
			return errNotShown(out)
		}
		return err
	})
	if err != nil {
		b.t.Fatal(err)
	}
}

// TestOriginDownBeforeManifest guards against a status that does not name the
// origin as the reason while a version has not even a manifest, and that calls
// an origin down that answers and does not have the version.
func TestOriginDownBeforeManifest(t *testing.T) {
	b := start(t, nil)
	v := b.publish(2)
	b.faults(origin.Faults{Down: true})
	b.apply(2)
	for _, n := range b.Agents {
		b.shows("stuck: " + n.Name + ": waiting for origin")
	}
	b.answers(version(1, oldBytes), b.Entries[0])
	b.faults(origin.Faults{})
	b.serves(v, b.Agents...)
	b.ids["v3"] = strings.Repeat("3", len(v))
	b.apply(3)
	b.shows("origin does not have the version")
}

type errNotShown string

func (e errNotShown) Error() string { return "status shows: " + string(e) }

func (b *bed) faults(f origin.Faults) {
	b.t.Helper()
	if err := harness.SetFaults(b.t.Context(), b.OriginAddr, f); err != nil {
		b.t.Fatal(err)
	}
}

// TestOriginCorrupts guards against a corrupted chunk that reaches an engine
// or stops the spread.
func TestOriginCorrupts(t *testing.T) {
	b := start(t, nil)
	b.faults(origin.Faults{Corrupt: 0.1})
	v := b.declare(2)
	b.serves(v, b.Agents...)
	b.answers(version(2, newBytes), b.Entries[0])
	b.answers(version(2, newBytes), b.Entries[1])
	for _, n := range b.Agents {
		if strings.Contains(metrics(t, n), "weights_corrupted_chunks") {
			return
		}
	}
	t.Fatal("no agent counted a corrupted chunk")
}

func metrics(t *testing.T, n *harness.Node) string {
	t.Helper()
	resp, err := http.Get("http://" + n.Admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func memory(s *harness.Spec) {
	s.AgentSettings = map[string]map[string]string{"weights": {"memory": "4MiB"}}
}

// TestVersionChanges guards against a partial copy that keeps its memory when
// the version changes: two copies do not fit, so the newest one arrives only
// if the other was released.
func TestVersionChanges(t *testing.T) {
	b := start(t, memory)
	old := b.declare(2)
	b.partly(b.Agents[0], old, 0.3)
	v := b.declare(3)
	b.until("the newest version or the one before the change", b.Agents, func(s status) bool {
		if s.Version == old {
			t.Fatal("an engine serves the version that was withdrawn")
		}
		return s.Version == v
	})
	b.answers(version(3, newBytes), b.Entries[0])
}

// TestMemoryForOneVersion guards against a change that never ends because the
// complete old version leaves no memory for the new one.
func TestMemoryForOneVersion(t *testing.T) {
	b := start(t, func(s *harness.Spec) {
		memory(s)
		s.LimitLines = []string{"max_requests = 8", "max_bytes = 4MiB", "cold_requests = 2", "ramp_step = 200ms", "overlap = drain-first"}
	})
	b.serves(b.declare(2), b.Agents...)
	b.serves(b.declare(3), b.Agents...)
	b.answers(version(3, newBytes), b.Entries[0])
}

// TestDomainCutOff guards against a failure domain that stops spreading what
// it has, or stops to serve, when it hears neither from the platform and the
// origin nor from other failure domains. The processes outside are stopped,
// which is what a cut that drops all packets looks like from inside.
func TestDomainCutOff(t *testing.T) {
	b := start(t, nil)
	v := b.declare(2)
	inside := b.agents("b")
	b.partly(inside[0], v, 0.15)
	outside := []*harness.Process{b.Platform, b.Origin}
	for _, n := range b.NodesInDomain("a") {
		outside = append(outside, n.Proc)
	}
	for _, p := range outside {
		if err := p.Pause(); err != nil {
			t.Fatal(err)
		}
	}
	least := 1 << 30
	for _, n := range inside {
		s, err := b.status(n)
		if err != nil {
			t.Fatal(err)
		}
		least = min(least, s.Progress.ChunksHave)
	}
	have := -1
	err := harness.WaitFor(t.Context(), limit, "equal parts inside", func() error {
		lo, hi := 1<<30, 0
		for _, n := range inside {
			s, err := b.status(n)
			if err != nil {
				return err
			}
			lo, hi = min(lo, s.Progress.ChunksHave), max(hi, s.Progress.ChunksHave)
		}
		if have = lo; lo != hi || lo <= least {
			return errNotShown(time.Now().String())
		}
		return nil
	})
	if err != nil {
		t.Fatalf("%v; least at first %d, now %d", err, least, have)
	}
	b.answers(version(1, oldBytes), b.Entries[1])
	for _, p := range outside {
		if err := p.Resume(); err != nil {
			t.Fatal(err)
		}
	}
	b.serves(v, b.Agents...)
}
