package feed

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/confirmation"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// virtualClock is a clock whose waits end at once and add to the time.
type virtualClock struct {
	sysclock.Clock
	elapsed time.Duration
}

func (c *virtualClock) SinceBoot() time.Duration { return time.Hour + c.elapsed }

func (c *virtualClock) After(d time.Duration) <-chan time.Time {
	c.elapsed += d
	return time.After(0)
}

// silentReaders is a port.FeedClient whose calls end without a reply after the time that
// adapter/rpc gives them, or when ctx ends, except for those to one live reader.
type silentReaders struct {
	clock  *virtualClock
	silent bool
	live   fleet.Address
	asked  []fleet.Address
}

const rpcMargin = 600 * time.Millisecond

func (f *silentReaders) Feed(ctx context.Context, a fleet.Address, r port.FeedRequest) (port.FeedReply, error) {
	f.asked = append(f.asked, a)
	if !f.silent || a == f.live {
		return port.FeedReply{At: r.After}, nil
	}
	d := r.Wait + rpcMargin
	if end, ok := ctx.Deadline(); ok {
		d = min(d, time.Until(end).Round(10*time.Millisecond))
	}
	f.clock.elapsed += d
	return port.FeedReply{}, errDisconnected
}

// drainBound is the time after which a draining target must get no requests. A call for its
// changes begins up to drainPause after the last one.
const (
	drainBound = 2 * time.Second
	drainPause = 300 * time.Millisecond
)

// TestSilentReadersDelayTargetsWithinBound guards against a gateway that asks one silent reader
// after the other until a draining target has received requests past the bound.
func TestSilentReadersDelayTargetsWithinBound(t *testing.T) {
	for _, live := range []fleet.Address{"", "r3"} {
		clock, store := &virtualClock{}, porttest.NewStore()
		client := &silentReaders{clock: clock, live: live}
		readers := func() (out []core.Member) {
			for i := range 4 {
				id := fmt.Sprint("r", i)
				out = append(out, core.Member{ID: id, Address: fleet.Address(id), Gateway: true})
			}
			return out
		}
		s := NewSource(store, client, clock, logging.New(io.Discard, "x", "1"), readers, map[string]PrefixOptions{
			"t/": {Wait: 400 * time.Millisecond, MaxStoreWait: 2 * time.Second, Urgent: true},
		})
		ctx := context.Background()
		if _, _, err := s.Changes(ctx, "t/", 0, 15*time.Second); err != nil {
			t.Fatal(err)
		}
		client.silent = true
		store.Put("t/a", "draining")
		start := clock.elapsed
		cs, _, err := s.Changes(ctx, "t/", 0, 15*time.Second)
		if err != nil || live == "" && len(cs) != 1 || live != "" && client.asked[len(client.asked)-1] != live {
			t.Errorf("live reader %q: changes %v, error %v, asked %v", live, cs, err, client.asked)
		}
		if d := clock.elapsed - start; d > drainBound-drainPause {
			t.Errorf("live reader %q: a changed target is known after %v, want at most %v", live, d, drainBound-drainPause)
		}
	}
}

// TestWaitingCallEndsWhenStale guards against a call that waits for changes at a reader which
// has lost the store, past the age from which the reader serves none.
func TestWaitingCallEndsWhenStale(t *testing.T) {
	start := time.Now()
	confirmedAt := sysclock.Clock{}.SinceBoot() - maxConfirmationAge + 50*time.Millisecond
	s := NewServer(sysclock.Clock{}, func(string) (confirmation.Coverage, bool) {
		return confirmation.Coverage{At: confirmedAt}, true
	})
	publish, _ := s.AddPrefix("p/", func() bool { return true }, 0)
	publish(follow.Event{Reset: true, At: 1})
	const wait = 10 * time.Second
	_, err := s.Feed(context.Background(), port.FeedRequest{Prefix: "p/", After: 1, Wait: wait})
	if d := time.Since(start); !errors.Is(err, ErrStale) || d > wait/2 {
		t.Errorf("error %v after %v, want a refusal when the confirmation is too old", err, d)
	}
}
