package spread_test

import (
	"regexp"
	"strconv"
	"testing"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// TestPeerCorrupts guards against an agent whose chunks all arrive corrupted at
// its peers: one that reaches an engine, keeps its region from the version
// because nobody else has some chunks, is asked again and again, or makes the
// origin give more than its budget.
func TestPeerCorrupts(t *testing.T) {
	b := start(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkRPC} })
	bad := b.agents("b")[0]
	if err := b.SetLinkFaults(t.Context(), harness.LinkRPC, relay.Faults{CorruptToCaller: true}, bad); err != nil {
		t.Fatal(err)
	}
	before, err := b.OriginBytes(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	v := b.declare(2)
	b.serves(v, b.Agents...)
	after, err := b.OriginBytes(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	copies := float64(after-before) / newBytes
	t.Logf("the origin gave %.2f copies", copies)
	if copies > 4 {
		t.Errorf("the origin gave %.2f copies", copies)
	}
	all := 0
	for _, n := range b.Agents {
		got := corrupted(t, n)
		t.Logf("%s dropped %d corrupted chunks", n.Name, got)
		if all += got; got > mostCorrupted {
			t.Errorf("%s took %d corrupted chunks from one sender", n.Name, got)
		}
	}
	if all == 0 {
		t.Error("no chunk arrived corrupted")
	}
	b.answers(version(2, newBytes), b.Entries[0])
	b.answers(version(2, newBytes), b.Entries[1])
}

// mostCorrupted is what one agent may take from a sender that corrupts
// everything: the fetches in progress at the first one, and those as a last
// resort after 1, 2, 4 and 8 s.
const mostCorrupted = 2 + 4

var corruptedLine = regexp.MustCompile(`(?m)^\S*weights_corrupted_chunks\S* (\d+)`)

func corrupted(t *testing.T, n *harness.Node) int {
	t.Helper()
	m := corruptedLine.FindStringSubmatch(metrics(t, n))
	if m == nil {
		return 0
	}
	c, err := strconv.Atoi(m[1])
	if err != nil {
		t.Fatal(err)
	}
	return c
}
