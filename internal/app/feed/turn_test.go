package feed

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// turnClock is a virtual clock whose time of day advances with it.
type turnClock struct{ virtualClock }

func (c *turnClock) Now() time.Time { return time.Unix(1000, 0).Add(c.elapsed) }

// refusingReader is a port.FeedClient of a reader that has no confirmed view.
type refusingReader struct{}

func (refusingReader) Feed(context.Context, fleet.Address, port.FeedRequest) (port.FeedReply, error) {
	return port.FeedReply{}, port.ErrFeedRefused
}

// TestProcessesTakeTurnsAtTheStore guards against a domain whose processes all read a large item from the
// store at the same moment after a cut, which filled the link between two regions for seconds.
func TestProcessesTakeTurnsAtTheStore(t *testing.T) {
	for _, turn := range []time.Duration{0, time.Second, 32 * time.Second} {
		clock := &turnClock{}
		readers := func() []core.Member { return []core.Member{{ID: "r", Address: "r", Gateway: true}} }
		s := NewSource(porttest.NewStore(), refusingReader{}, clock, logging.New(io.Discard, "x", "1"), readers, map[string]PrefixOptions{
			"c/": {Wait: 3 * time.Second, PreferReaders: true, StoreTurn: func() time.Duration { return turn }},
		})
		if _, _, err := s.List(context.Background(), "c/"); err != nil {
			t.Fatal(err)
		}
		want := preferReadersTime + turn
		if clock.elapsed < want || clock.elapsed > want+2*readerRetryPause {
			t.Errorf("turn %v: the store is read after %v, want %v", turn, clock.elapsed, want)
		}
	}
}
