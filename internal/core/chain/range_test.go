package chain

import (
	"testing"
	"time"
)

// TestPaceDoesNotOverflow guards against an origin whose configured link is so slow that the
// time of the last chunks overflows into the past, or that chunks are never requested.
func TestPaceDoesNotOverflow(t *testing.T) {
	const chunks = 1 << 16
	self := Member{VM: "a", Region: "r"}
	now := time.Unix(1000, 0)
	table := NewTable(chunks, self, nil)
	table.PaceOrigin(8<<20*time.Second, now) // a chunk of 8 MiB at 1 byte/s
	for c := range chunks {
		if c != 0 {
			table.chunks[c].held = c != chunks-1
		}
	}
	f, ok := table.Next(Capacity{Data: true}, now)
	if !ok || f.Chunk != 0 {
		t.Errorf("the first fetch is %+v, %v; want chunk 0", f, ok)
	}
	table.MarkHeld(0)
	table.Done(f, Got, now)
	if f, ok := table.Next(Capacity{Data: true}, now); ok {
		t.Errorf("chunk %d is due at once", f.Chunk)
	}
	if _, ok := table.Next(Capacity{Data: true}, now.Add(chunks*maxOriginInterval)); !ok {
		t.Error("the last chunk is never requested")
	}
}
