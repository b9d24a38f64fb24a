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

// TestAgentRestarts kills an agent during its fetch and restarts it. It guards
// against an agent that never completes the version afterwards, and against a
// restart that costs the origin more than one further copy.
func TestAgentRestarts(t *testing.T) {
	d := startDeployment(t, nil)
	before, err := d.OriginBytes(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	v := d.publishAndApply(2)
	n := d.agentsIn("b")[1]
	d.waitForPartialCopy(n, v, 0.4)
	if err := n.Proc.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := d.StartNode(t.Context(), n); err != nil {
		t.Fatal(err)
	}
	d.waitForVersion(v, d.Agents...)
	after, err := d.OriginBytes(t.Context())
	if copies := float64(after-before) / newBytes; err != nil || copies > 5 {
		t.Fatalf("the origin sent %.2f copies, %v", copies, err)
	}
	d.checkResponses(originVersion(2, newBytes), d.Entries[1])
}

// TestAgentPauses stops an agent with SIGSTOP for 5 s during the fetch. It
// guards against agents that wait for the stopped one, and against a resumed
// agent that does not catch up.
func TestAgentPauses(t *testing.T) {
	d := startDeployment(t, nil)
	v := d.publishAndApply(2)
	n := d.agentsIn("b")[0]
	d.waitForPartialCopy(n, v, 0.3)
	if err := n.Proc.Pause(); err != nil {
		t.Fatal(err)
	}
	pausedAt := time.Now()
	d.waitForVersion(v, append(d.agentsIn("a"), d.agentsIn("b")[1:]...)...)
	time.Sleep(time.Until(pausedAt.Add(5 * time.Second)))
	if err := n.Proc.Resume(); err != nil {
		t.Fatal(err)
	}
	d.waitForVersion(v, n)
}

// TestOriginDown guards against agents that do not report that they wait for the
// origin, or do not continue when it is back.
func TestOriginDown(t *testing.T) {
	d := startDeployment(t, nil)
	v := d.publishAndApply(2)
	d.waitForPartialCopy(d.Agents[0], v, 0.2)
	d.setOriginFaults(origin.Faults{Down: true})
	d.waitForStatusText("waiting for origin")
	d.checkResponses(originVersion(1, oldBytes), d.Entries[0])
	d.setOriginFaults(origin.Faults{})
	d.waitForVersion(v, d.Agents...)
}

// waitForStatusText waits until masticwingctl status prints a text.
func (d *deployment) waitForStatusText(text string) {
	d.t.Helper()
	err := harness.WaitFor(d.t.Context(), waitTimeout, "status to show "+text, func() error {
		out, _, err := d.Ctl(d.t.Context(), "status", "--peer", d.Entries[0].RPC)
		if err == nil && !strings.Contains(out, text) {
			return statusTextError(out)
		}
		return err
	})
	if err != nil {
		d.t.Fatal(err)
	}
}

// TestOriginDownBeforeManifest guards against two faults of the status: the
// origin is not named as the reason while an agent has no manifest of the
// version, and an origin that responds without having the version is reported as
// unreachable.
func TestOriginDownBeforeManifest(t *testing.T) {
	d := startDeployment(t, nil)
	v := d.publishVersion(2)
	d.setOriginFaults(origin.Faults{Down: true})
	d.applyVersion(2)
	for _, n := range d.Agents {
		d.waitForStatusText("stuck: " + n.Name + ": waiting for origin")
	}
	d.checkResponses(originVersion(1, oldBytes), d.Entries[0])
	d.setOriginFaults(origin.Faults{})
	d.waitForVersion(v, d.Agents...)
	d.digests["v3"] = strings.Repeat("3", len(v))
	d.applyVersion(3)
	d.waitForStatusText("origin does not have the version")
}

type statusTextError string

func (e statusTextError) Error() string { return "status shows: " + string(e) }

func (d *deployment) setOriginFaults(f origin.Faults) {
	d.t.Helper()
	if err := harness.SetFaults(d.t.Context(), d.OriginAddr, f); err != nil {
		d.t.Fatal(err)
	}
}

// TestOriginCorrupts guards against corrupted chunks that reach an engine or keep
// the agents from completing the version.
func TestOriginCorrupts(t *testing.T) {
	d := startDeployment(t, nil)
	d.setOriginFaults(origin.Faults{Corrupt: 0.1})
	v := d.publishAndApply(2)
	d.waitForVersion(v, d.Agents...)
	d.checkResponses(originVersion(2, newBytes), d.Entries[0])
	d.checkResponses(originVersion(2, newBytes), d.Entries[1])
	for _, n := range d.Agents {
		if strings.Contains(readMetrics(t, n), "weights_corrupted_chunks") {
			return
		}
	}
	t.Fatal("no agent counted a corrupted chunk")
}

func readMetrics(t *testing.T, n *harness.Node) string {
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

// limitMemory leaves an agent memory for one new version, not for two.
func limitMemory(s *harness.Spec) {
	s.AgentSettings = map[string]map[string]string{"weights": {"memory": "4MiB"}}
}

// TestVersionChanges declares another version during a fetch. It guards against
// a partial copy that keeps its memory: the memory does not hold two copies, so
// the newest version completes only if the partial one was released.
func TestVersionChanges(t *testing.T) {
	d := startDeployment(t, limitMemory)
	withdrawn := d.publishAndApply(2)
	d.waitForPartialCopy(d.Agents[0], withdrawn, 0.3)
	v := d.publishAndApply(3)
	d.waitForStatus("the newest version or the one before the change", d.Agents, func(s agentStatus) bool {
		if s.Version == withdrawn {
			t.Fatal("an engine serves the version that was withdrawn")
		}
		return s.Version == v
	})
	d.checkResponses(originVersion(3, newBytes), d.Entries[0])
}

// TestMemoryForOneVersion guards against a change of version that never ends
// because the complete old version leaves no memory for the new one.
func TestMemoryForOneVersion(t *testing.T) {
	d := startDeployment(t, func(s *harness.Spec) {
		limitMemory(s)
		s.LimitLines = []string{"max_requests = 8", "max_bytes = 4MiB", "cold_requests = 2", "ramp_step = 200ms", "overlap = drain-first"}
	})
	d.waitForVersion(d.publishAndApply(2), d.Agents...)
	d.waitForVersion(d.publishAndApply(3), d.Agents...)
	d.checkResponses(originVersion(3, newBytes), d.Entries[0])
}

// TestDomainCutOff guards against a failure domain whose agents stop exchanging
// the chunks that they hold, or stop serving, while they reach neither the
// platform, nor the origin, nor other failure domains. The test stops the outside
// processes with SIGSTOP; to the domain this looks like a network partition that
// drops all packets.
func TestDomainCutOff(t *testing.T) {
	d := startDeployment(t, nil)
	v := d.publishAndApply(2)
	inside := d.agentsIn("b")
	d.waitForPartialCopy(inside[0], v, 0.15)
	outside := []*harness.Process{d.Platform, d.Origin}
	for _, n := range d.NodesInDomain("a") {
		outside = append(outside, n.Proc)
	}
	for _, p := range outside {
		if err := p.Pause(); err != nil {
			t.Fatal(err)
		}
	}
	fewestBefore := 1 << 30
	for _, n := range inside {
		s, err := d.agentStatus(n)
		if err != nil {
			t.Fatal(err)
		}
		fewestBefore = min(fewestBefore, s.Progress.ChunksHave)
	}
	fewestNow := -1
	err := harness.WaitFor(t.Context(), waitTimeout, "equal chunk counts in the domain", func() error {
		lo, hi := 1<<30, 0
		for _, n := range inside {
			s, err := d.agentStatus(n)
			if err != nil {
				return err
			}
			lo, hi = min(lo, s.Progress.ChunksHave), max(hi, s.Progress.ChunksHave)
		}
		if fewestNow = lo; lo != hi || lo <= fewestBefore {
			return statusTextError(time.Now().String())
		}
		return nil
	})
	if err != nil {
		t.Fatalf("%v; fewest chunks at first %d, now %d", err, fewestBefore, fewestNow)
	}
	d.checkResponses(originVersion(1, oldBytes), d.Entries[1])
	for _, p := range outside {
		if err := p.Resume(); err != nil {
			t.Fatal(err)
		}
	}
	d.waitForVersion(v, d.Agents...)
}
