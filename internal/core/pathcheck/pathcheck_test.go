package pathcheck

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// TestPathOfFullLink guards against requests that wait on a link that fills up: it plays a link whose delay grows
// by one second each second, as after a cut, and a process that sends a request each 50 ms over a kept connection
// while the path counts as open, and otherwise over a new connection that has to open within 250 ms. No request
// may arrive later than 0.5 s after it was sent, since its caller may leave at once.
func TestPathOfFullLink(t *testing.T) {
	const connectWithin, maxDelay = 250 * time.Millisecond, 500 * time.Millisecond
	start := time.Unix(1000, 0)
	delay := func(at time.Time) time.Duration { return max(2*time.Millisecond, at.Sub(start)-time.Second) }
	p := New("a")
	type arrival struct {
		sentAt, knownAt time.Time
	}
	var pending []arrival
	sentOnKept := 0
	for since := time.Duration(0); since < 6*time.Second; since += 50 * time.Millisecond {
		now := start.Add(since)
		for len(pending) > 0 && !pending[0].knownAt.After(now) {
			p.RecordArrival("b", pending[0].sentAt)
			pending = pending[1:]
		}
		d := delay(now)
		if !p.Open("b", now) {
			if d > connectWithin {
				continue // The connection is given up; nothing was sent.
			}
			p.RecordArrival("b", now)
		} else {
			sentOnKept++
		}
		pending = append(pending, arrival{now, now.Add(d + 2*time.Millisecond)})
		if d > maxDelay {
			t.Errorf("a request sent after %v arrives %v later", since, d)
		}
	}
	if sentOnKept < 15 {
		t.Errorf("%d requests were sent over kept connections, want most of those of the first second", sentOnKept)
	}
}

// TestPathOfOwnDomain guards against new connections to targets of the own domain, and against an arrival that is
// known late and replaces a newer one.
func TestPathOfOwnDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New("a")
	if !p.Open("a", now) || p.Open("b", now) {
		t.Error("the path to the own domain is not open, or one without any arrival is")
	}
	p.RecordArrival("b", now)
	p.RecordArrival("b", now.Add(-time.Minute))
	for d, want := range map[time.Duration]bool{0: true, maxAge: true, maxAge + 1: false} {
		if got := p.Open(fleet.Domain("b"), now.Add(d)); got != want {
			t.Errorf("after %v: open %v", d, got)
		}
	}
}
