package chain

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Stall says what a fetch that makes no progress waits for.
type Stall struct {
	// Missing is the number of chunks that are not held, of which Origin are requested from the
	// origin next.
	Missing, Origin int
	// Sources are the members of which the most other chunks are requested, the most first.
	Sources []WaitingFor
	// Skipped is the number of members that are skipped because they failed or do not fetch the
	// version.
	Skipped int
	// Corrupted is the number of chunks that did not match their digests.
	Corrupted int
}

// WaitingFor is the number of chunks that are requested from a member.
type WaitingFor struct {
	VM     fleet.VM
	Chunks int
}

// maxStallSources bounds the members that a Stall names.
const maxStallSources = 3

// Stall returns what the missing chunks wait for.
func (t *Table) Stall(now time.Time) Stall {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Stall{Missing: t.missing, Corrupted: t.corrupted}
	waiting := map[fleet.VM]int{}
	for c := range t.chunks {
		if t.chunks[c].held {
			continue
		}
		if f := t.nextSource(c, now); f.Origin {
			out.Origin++
		} else {
			waiting[f.From.VM]++
		}
	}
	for _, until := range t.skipUntil {
		if now.Before(until) {
			out.Skipped++
		}
	}
	for vm, n := range waiting {
		out.Sources = append(out.Sources, WaitingFor{vm, n})
	}
	slices.SortFunc(out.Sources, func(a, b WaitingFor) int {
		return cmp.Or(cmp.Compare(b.Chunks, a.Chunks), cmp.Compare(a.VM, b.VM))
	})
	out.Sources = out.Sources[:min(maxStallSources, len(out.Sources))]
	return out
}
