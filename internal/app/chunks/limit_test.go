package chunks

import (
	"testing"
	"time"
)

// TestLimiterOnSlowLink guards against chunks that fill a slow link for seconds,
// which delays the engine's requests, and against a limit that stays low after the
// link has become fast again.
func TestLimiterOnSlowLink(t *testing.T) {
	const rate, chunk = 900_000, 32 << 10
	l := newLimiter(24)
	now := time.Unix(1000, 0)
	for range 20 { // 118 KB/s
		now = now.Add(280 * time.Millisecond)
		l.recordTransfer(chunk, time.Second, rate, now)
	}
	if l.allowed != minParallel {
		t.Errorf("%d parallel fetches on a slow link", l.allowed)
	}
	for range 24 {
		now = now.Add(36 * time.Millisecond)
		l.recordTransfer(chunk, 40*time.Millisecond, rate, now)
	}
	if l.allowed != 24 {
		t.Errorf("%d parallel fetches on a link that is fast again", l.allowed)
	}
}

// TestLimiterOnBusyLink guards against a limit that falls because transfers take
// long only while they share a link of the declared rate.
func TestLimiterOnBusyLink(t *testing.T) {
	const rate, chunk = 900_000, 32 << 10
	l := newLimiter(24)
	now := time.Unix(1000, 0)
	for range 60 { // 860 KB/s
		now = now.Add(38 * time.Millisecond)
		l.recordTransfer(chunk, 600*time.Millisecond, rate, now)
	}
	if l.allowed != 24 {
		t.Errorf("%d parallel fetches on a busy link", l.allowed)
	}
}
