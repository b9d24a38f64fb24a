package chunks

import (
	"bytes"
	"io"
	"testing"
	"time"
)

const (
	testRate  = 900_000
	testChunk = 32 << 10
)

// simulatedLink is a link whose transfers share its rate equally. A transfer that takes longer
// than the timeout is given up.
type simulatedLink struct {
	l       *limiter
	now     time.Time
	timeout time.Duration
	active  []*simulatedTransfer
}

type simulatedTransfer struct {
	*transfer
	started time.Time
	credit  float64
	left    int
}

// run starts a transfer whenever the limiter allows it, at a link of rate bytes per second. It
// returns the most transfers at a time in the last second.
func (s *simulatedLink) run(rate int, d time.Duration) (most int) {
	const step = time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for s.l.available() {
			s.l.acquire()
			r := bytes.NewReader(make([]byte, testChunk))
			s.active = append(s.active, &simulatedTransfer{transfer: s.l.startTransfer(r, s.now), started: s.now, left: testChunk})
		}
		if end.Sub(s.now) <= time.Second {
			most = max(most, len(s.active))
		}
		share := float64(rate) * step.Seconds() / float64(len(s.active))
		var still []*simulatedTransfer
		for _, t := range s.active {
			t.credit += share
			n, _ := t.Read(make([]byte, min(int(t.credit), t.left)))
			t.credit -= float64(n)
			t.left -= n
			if t.left > 0 && s.now.Sub(t.started) < s.timeout {
				still = append(still, t)
				continue
			}
			t.end(t.left == 0, testRate, s.now)
			s.l.release()
		}
		s.active = still
	}
	return most
}

// receive records n transfers that start at an interval and take the same time each.
func (s *simulatedLink) receive(n int, interval, took time.Duration) {
	const step = time.Millisecond
	started := 0
	for begin := s.now; started < n || len(s.active) > 0; s.now = s.now.Add(step) {
		if started < n && s.now.Sub(begin) >= time.Duration(started)*interval {
			r := bytes.NewReader(make([]byte, testChunk))
			s.active = append(s.active, &simulatedTransfer{transfer: s.l.startTransfer(r, s.now), started: s.now, left: testChunk})
			started++
		}
		var still []*simulatedTransfer
		for _, t := range s.active {
			due := int(testChunk * min(1, s.now.Sub(t.started).Seconds()/took.Seconds()))
			n, _ := t.Read(make([]byte, due-(testChunk-t.left)))
			t.left -= n
			if t.left > 0 {
				still = append(still, t)
				continue
			}
			t.end(true, testRate, s.now)
		}
		s.active = still
	}
}

// TestLimiterOnSlowLink guards against chunks that fill a slow link for seconds,
// which delays the engine's requests, and against a limit that stays low after the
// link has become fast again.
func TestLimiterOnSlowLink(t *testing.T) {
	l := newLimiter(24)
	s := &simulatedLink{l: l, now: time.Unix(1000, 0)}
	s.receive(20, 280*time.Millisecond, time.Second) // 118 KB/s
	if l.allowed != minParallel {
		t.Errorf("%d parallel fetches on a slow link", l.allowed)
	}
	s.receive(24, 36*time.Millisecond, 40*time.Millisecond)
	if l.allowed != 24 {
		t.Errorf("%d parallel fetches on a link that is fast again", l.allowed)
	}
}

// TestLimiterOnBusyLink guards against a limit that falls because transfers take
// long only while they share a link of the declared rate.
func TestLimiterOnBusyLink(t *testing.T) {
	l := newLimiter(24)
	s := &simulatedLink{l: l, now: time.Unix(1000, 0)}
	s.receive(60, 38*time.Millisecond, 600*time.Millisecond) // 860 KB/s
	if l.allowed != 24 {
		t.Errorf("%d parallel fetches on a busy link", l.allowed)
	}
}

// TestLimiterCountsBrokenTransfers guards against a limit that stays high because hardly any
// transfer over a slow link completes before its timeout.
func TestLimiterCountsBrokenTransfers(t *testing.T) {
	l := newLimiter(maxTransfers)
	s := &simulatedLink{l: l, now: time.Unix(1000, 0), timeout: transferTimeout}
	if most := s.run(75_000, 5*time.Second); most != minParallel {
		t.Errorf("%d parallel transfers on a slow link", most)
	}
}

// TestLimiterCountsRareTransfers guards against a limit that stays high because transfers end
// more than a second apart.
func TestLimiterCountsRareTransfers(t *testing.T) {
	l := newLimiter(maxTransfers)
	s := &simulatedLink{l: l, now: time.Unix(1000, 0), timeout: time.Minute}
	if most := s.run(30_000, 30*time.Second); most != minParallel {
		t.Errorf("%d parallel transfers on a slow link", most)
	}
}

// TestLimiterStartsLow guards against the first transfers over a link that is slower than
// declared: all of them together would delay the engine's requests for seconds.
func TestLimiterStartsLow(t *testing.T) {
	l := newTransferLimiter(maxTransfers)
	s := &simulatedLink{l: l, now: time.Unix(1000, 0), timeout: transferTimeout}
	if most := s.run(75_000, time.Second); most != minParallel {
		t.Errorf("%d parallel transfers at the start", most)
	}
	s = &simulatedLink{l: newTransferLimiter(maxTransfers), now: time.Unix(1000, 0), timeout: transferTimeout}
	if s.run(testRate, time.Second); s.l.allowed != maxTransfers {
		t.Errorf("%d parallel transfers on a fast link after a second", s.l.allowed)
	}
}

// TestTransferReadsItsData guards against a transfer that changes or drops data.
func TestTransferReadsItsData(t *testing.T) {
	want := []byte("0123456789")
	got, err := io.ReadAll(newLimiter(1).startTransfer(bytes.NewReader(want), time.Unix(1000, 0)))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("read %q, %v", got, err)
	}
}
