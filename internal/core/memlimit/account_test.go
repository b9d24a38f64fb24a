package memlimit

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSmallBodiesKeepTheirShare guards against large bodies, or a single client account, that take the
// memory of all others.
func TestSmallBodiesKeepTheirShare(t *testing.T) {
	const memory, body = 284 << 20, 4 << 20
	a := NewAccount(memory)
	byClient := map[string]int{}
	for i := range 200 {
		client := "x"
		if i >= 100 {
			client = "y"
		}
		if a.NewBody(client).TryGrow(body) {
			byClient[client]++
		}
	}
	if byClient["x"] == 0 || byClient["y"] == 0 || byClient["x"] > byClient["y"]+1 {
		t.Errorf("large bodies by client account: %v, want a share for each", byClient)
	}
	if held := a.Used(); held[Large] > memory/4 || held[Small]+held[Large]+held[Responses] > memory/2 {
		t.Errorf("%v bytes are held of %d", held, memory)
	}
	for range 100 {
		if !a.NewBody("x").TryGrow(600) {
			t.Fatal("a small body has no memory")
		}
	}
	if !a.TryReserve(Responses, 1<<20) {
		t.Error("a response has no memory")
	}
}

// TestBodiesReturnTheirMemory guards against memory that stays reserved, and against more than the limits.
func TestBodiesReturnTheirMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(64 << 20)
		var bodies []*Body
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(bodies) > 0 && rapid.Bool().Draw(t, "grow") {
				b := bodies[rapid.IntRange(0, len(bodies)-1).Draw(t, "body")]
				b.TryGrow(b.held + rapid.Int64Range(0, 6<<20).Draw(t, "by"))
			} else {
				b := a.NewBody(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "client"))
				b.TryGrow(rapid.Int64Range(0, 6<<20).Draw(t, "bytes"))
				bodies = append(bodies, b)
			}
			for c, b := range a.budgets {
				if b.Used() > b.limit {
					t.Fatalf("%v: %d of %d bytes", Class(c), b.Used(), b.limit)
				}
			}
		}
		for _, b := range bodies {
			b.Release()
			b.Release()
		}
		for c, n := range a.Used() {
			if n != 0 {
				t.Errorf("%v: %d bytes stay reserved", c, n)
			}
		}
		if a.clients.Len() != 0 {
			t.Error("client accounts stay known")
		}
	})
}

// TestConnectionsFitInMemory guards against connections that take a process over its memory while all classes
// are used up, and against a limit that is below what descriptors allow on the machines of deployments.
func TestConnectionsFitInMemory(t *testing.T) {
	for _, c := range []struct{ mib, least int }{{64, 100}, {128, 800}, {184, 1800}, {284, 1900}, {536, 3900}} {
		memory := int64(c.mib) << 20
		n := Connections(memory)
		held := int64(processBytes) + int64(n)*connectionBytes
		for _, b := range NewAccount(memory).budgets {
			held += b.limit
		}
		if held > memory {
			t.Errorf("%d connections take %d MiB of %d", n, held>>20, c.mib)
		}
		if n < c.least {
			t.Errorf("%d connections fit in %d MiB, want %d", n, c.mib, c.least)
		}
	}
	if n := Connections(16 << 20); n < 1 {
		t.Errorf("%d connections", n)
	}
}
