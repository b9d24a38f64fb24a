package spread_test

import (
	"regexp"
	"strconv"
	"testing"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// TestPeerCorrupts runs with one agent whose chunks all arrive corrupted at its
// peers. It guards against corrupted chunks that reach an engine, a region that
// never completes the version because only that agent holds some chunks, peers
// that fetch from the agent again and again, and an origin that sends more than
// its quota.
func TestPeerCorrupts(t *testing.T) {
	d := startDeployment(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkRPC} })
	sender := d.agentsIn("b")[0]
	if err := d.SetLinkFaults(t.Context(), harness.LinkRPC, relay.Faults{CorruptToCaller: true}, sender); err != nil {
		t.Fatal(err)
	}
	before, err := d.OriginBytes(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	v := d.publishAndApply(2)
	d.waitForVersion(v, d.Agents...)
	after, err := d.OriginBytes(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	copies := float64(after-before) / newBytes
	t.Logf("the origin sent %.2f copies", copies)
	if copies > 4 {
		t.Errorf("the origin sent %.2f copies", copies)
	}
	total := 0
	for _, n := range d.Agents {
		got := corruptedChunks(t, n)
		t.Logf("%s dropped %d corrupted chunks", n.Name, got)
		if total += got; got > maxCorruptedChunks {
			t.Errorf("%s fetched %d corrupted chunks from one sender", n.Name, got)
		}
	}
	if total == 0 {
		t.Error("no chunk arrived corrupted")
	}
	d.checkResponses(originVersion(2, newBytes), d.Entries[0])
	d.checkResponses(originVersion(2, newBytes), d.Entries[1])
}

// maxCorruptedChunks is the number of chunks that one agent may fetch from a sender
// that corrupts all of them: 2 fetches are in progress when the first arrives,
// and 4 more follow as a last resort after 1, 2, 4 and 8 s.
const maxCorruptedChunks = 2 + 4

var corruptedMetric = regexp.MustCompile(`(?m)^\S*weights_corrupted_chunks\S* (\d+)`)

func corruptedChunks(t *testing.T, n *harness.Node) int {
	t.Helper()
	m := corruptedMetric.FindStringSubmatch(readMetrics(t, n))
	if m == nil {
		return 0
	}
	c, err := strconv.Atoi(m[1])
	if err != nil {
		t.Fatal(err)
	}
	return c
}
