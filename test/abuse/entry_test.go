package abuse

import (
	"fmt"
	"testing"

	"github.com/masticwing/masticwing/test/harness"
)

// Bounds of the entry under test, and the crowd. The memory is that of the process, of which 8 MiB are held for
// callers; an entry without callers takes about 30 MiB.
const (
	entryMemoryMiB   = 64
	entryDescriptors = 800
	entryCrowd       = 1600
	entryBodyBytes   = 1 << 20
)

// startEntry starts a deployment with one entry, which is under test, and a plain service.
func startEntry(t *testing.T) *crowdTest {
	t.Helper()
	spec := harness.SmallSpec()
	spec.Domains = spec.Domains[:1]
	spec.EntrySettings = map[string]map[string]string{"limits": {"memory": "8MiB", "body": "1MiB", "connections": "500"}}
	d, err := harness.Deploy(t.Context(), harness.ForTest(t), spec)
	if err != nil {
		t.Fatal(err)
	}
	e := d.Entries[0]
	c := &crowdTest{
		t: t, process: e.Proc, callers: e.HTTP, healthURL: "http://" + e.Admin + "/ready", memoryMiB: entryMemoryMiB, descriptors: entryDescriptors, bodyBytes: entryBodyBytes,
		head: func(_, framing string) string {
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 600000\r\n%s\r\n", harness.CallPath(harness.Service, "read"),
				harness.HeaderCustomer, harness.Customer, harness.HeaderTimeout, framing)
		},
		body: func(id string) string { return id },
	}
	c.serveOrdinary("start")
	return c
}

// TestEntryBesideUnfinishedBodies is TestGatewayBesideUnfinishedBodies for an entry.
func TestEntryBesideUnfinishedBodies(t *testing.T) {
	for name, write := range map[string]writer{
		"small chunks": smallChunks, "one-byte chunks": tinyChunks, "large chunk": largeChunk, "announced": announced,
	} {
		t.Run(name, func(t *testing.T) {
			c := startEntry(t)
			c.run(entryCrowd, write)
			c.check()
		})
	}
}

// TestEntryBesideBodiesOverLimit is the same for bodies far over the limit.
func TestEntryBesideBodiesOverLimit(t *testing.T) {
	for name, write := range map[string]writer{"announced": announcedOverLimit, "chunked": chunkedOverLimit} {
		t.Run(name, func(t *testing.T) {
			c := startEntry(t)
			c.run(entryCrowd, write)
			c.check()
		})
	}
}

// TestEntryBesideLongHeaders is the same for headers that never end, far over the limit.
func TestEntryBesideLongHeaders(t *testing.T) {
	c := startEntry(t)
	c.run(entryCrowd, endlessHeader)
	c.check()
}

// TestEntryBesideAllKinds is the same for all kinds of such callers at once.
func TestEntryBesideAllKinds(t *testing.T) {
	c := startEntry(t)
	c.run(entryCrowd, smallChunks, tinyChunks, largeChunk, announced, longHeader, announcedOverLimit, chunkedOverLimit)
	c.check()
}
