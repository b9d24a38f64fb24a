package chunks

import (
	"bytes"
	"io"
	"testing"
	"time"
)

const (
	testChunkBytes = 32 << 10
	testRate       = 900_000 // bytes per second of a link that is not disturbed
	slowRate       = 75_000  // of a link of 0.6 Mbit/s
)

// testLink delivers chunks over a link at a rate, one after the other.
type testLink struct {
	limit *linkLimit
	now   time.Time
}

func newTestLink(maxAllowed int) *testLink {
	return &testLink{newLinkLimit(maxAllowed), time.Unix(1000, 0)}
}

// receive receives n chunks, each of which shares the link with as many others as are allowed.
func (l *testLink) receive(n int, rate float64) {
	var inFlight []*transfer
	for range n {
		for len(inFlight) < l.limit.allowed() {
			inFlight = append(inFlight, l.start())
		}
		l.deliver(inFlight[0], testChunkBytes, rate)
		inFlight[0].end(true, testChunkBytes, l.now)
		inFlight = inFlight[1:]
	}
	for _, t := range inFlight {
		t.end(false, testChunkBytes, l.now)
	}
}

func (l *testLink) start() *transfer {
	return l.limit.startTransfer(bytes.NewReader(make([]byte, testChunkBytes)), l.now)
}

// deliver delivers n bytes of a transfer.
func (l *testLink) deliver(t *transfer, n int64, rate float64) {
	l.now = l.now.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	_, _ = io.CopyN(io.Discard, t, n)
}

// TestLimitOnSlowLink guards against chunks that fill a slow link for seconds, which
// delays the engine's requests, and against a limit that stays low after the link has
// become fast again.
func TestLimitOnSlowLink(t *testing.T) {
	const slowRate = 118_000
	l := newTestLink(24)
	l.receive(20, slowRate)
	if n := l.limit.allowed(); n != 1 {
		t.Errorf("%d chunks at a time on a slow link", n)
	}
	l = newTestLink(maxTransfers)
	l.receive(20, slowRate)
	l.receive(maxTransfers, testRate)
	if n := l.limit.allowed(); n != maxTransfers {
		t.Errorf("%d chunks at a time on a link that is fast again", n)
	}
}

// TestLimitOnBusyLink guards against a limit that falls because transfers take long
// only while they share a link of the declared rate.
func TestLimitOnBusyLink(t *testing.T) {
	l := newTestLink(maxTransfers)
	l.receive(60, 860_000)
	if n := l.limit.allowed(); n != maxTransfers {
		t.Errorf("%d chunks at a time on a busy link", n)
	}
}

// TestGivenUpTransfersLowerLimit guards against a link that stays full because transfers that
// are given up do not count as slow.
func TestGivenUpTransfersLowerLimit(t *testing.T) {
	l := newTestLink(maxTransfers)
	l.receive(maxTransfers, testRate)
	slow := l.start()
	l.deliver(slow, testChunkBytes-1, slowRate)
	slow.end(false, testChunkBytes, l.now)
	if n := l.limit.allowed(); n != 1 {
		t.Errorf("%d chunks at a time after a transfer that was given up", n)
	}
}

// TestRareTransfersLowerLimit guards against a link that stays full because its transfers are so
// slow that only few of them end.
func TestRareTransfersLowerLimit(t *testing.T) {
	l := newTestLink(maxTransfers)
	l.receive(maxTransfers, testRate)
	l.now = l.now.Add(5 * time.Second)
	l.receive(1, slowRate)
	if n := l.limit.allowed(); n != 1 {
		t.Errorf("%d chunks at a time after one slow transfer", n)
	}
}

// TestLimitStartsLow guards against the first chunks of a version that fill a link which has
// become slow since the last one.
func TestLimitStartsLow(t *testing.T) {
	l := newTestLink(maxTransfers)
	first := l.limit.allowed()
	l.receive(maxTransfers, testRate)
	l.limit.restart()
	if n := l.limit.allowed(); first != 1 || n != 1 {
		t.Errorf("%d chunks at a time at first, %d with a new version", first, n)
	}
}
