package chunks

import (
	"testing"
	"time"
)

// TestNarrowLink guards against a narrow link that chunks fill for seconds, so
// that the requests of the engine on it are late, and against a link that is used
// by few fetches for ever after it was narrow for a while.
func TestNarrowLink(t *testing.T) {
	const rate, chunk = 900_000, 32 << 10
	l := newLimit(24)
	now := time.Unix(1000, 0)
	for range 20 { // 118 KB/s
		now = now.Add(280 * time.Millisecond)
		l.arrived(chunk, time.Second, rate, now)
	}
	if l.allowed != leastParallel {
		t.Errorf("%d fetches on a narrow link", l.allowed)
	}
	for range 24 {
		now = now.Add(36 * time.Millisecond)
		l.arrived(chunk, 40*time.Millisecond, rate, now)
	}
	if l.allowed != 24 {
		t.Errorf("%d fetches on a wide link", l.allowed)
	}
}

// TestBusyLink guards against a link that is used by fewer fetches because all of
// them share it.
func TestBusyLink(t *testing.T) {
	const rate, chunk = 900_000, 32 << 10
	l := newLimit(24)
	now := time.Unix(1000, 0)
	for range 60 { // 860 KB/s
		now = now.Add(38 * time.Millisecond)
		l.arrived(chunk, 600*time.Millisecond, rate, now)
	}
	if l.allowed != 24 {
		t.Errorf("%d fetches on a busy link", l.allowed)
	}
}
