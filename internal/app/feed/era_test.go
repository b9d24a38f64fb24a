package feed

import (
	"context"
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
	"github.com/masticwing/masticwing/internal/core/storeera"
	"github.com/masticwing/masticwing/internal/port"
)

// fixedReply is a port.FeedClient with the same reply to all requests.
type fixedReply port.FeedReply

func (f fixedReply) Feed(context.Context, fleet.Address, port.FeedRequest) (port.FeedReply, error) {
	return port.FeedReply(f), nil
}

// storeAt is a store whose changes end at a revision.
type storeAt struct {
	port.Store
	at int64
}

func (s storeAt) Changes(context.Context, string, int64, time.Duration) ([]port.StoreChange, int64, error) {
	return nil, s.at, nil
}

// TestEraOfReply guards against a follower that goes on with the revisions of the old era after its reader
// has seen a restore of the store, and against one that believes a reader which has not seen it, or whose build
// knows of no eras and replies with the revision of the request.
func TestEraOfReply(t *testing.T) {
	after, end := storeera.Stamp(2, 10), storeera.Stamp(2, 30)
	for name, c := range map[string]struct {
		reply     port.FeedReply
		at        int64
		gone, own bool
	}{
		"same era":               {reply: port.FeedReply{At: after + 1, Era: 2}, at: after + 1},
		"later era":              {reply: port.FeedReply{At: storeera.Stamp(3, 4), Era: 3}, at: after, gone: true},
		"older era":              {reply: port.FeedReply{At: storeera.Stamp(1, 40), Era: 1}, at: end, own: true},
		"older build":            {reply: port.FeedReply{At: 40}, at: end, own: true},
		"older build that echos": {reply: port.FeedReply{At: after}, at: end, own: true},
	} {
		readers := func() []core.Member { return []core.Member{{ID: "r", Address: "r", Gateway: true}} }
		s := NewSource(storeAt{at: end}, fixedReply(c.reply), sysclock.Clock{}, logging.New(io.Discard, "x", "1"), readers, nil)
		_, at, err := s.Changes(context.Background(), "p/", after, time.Second)
		if at != c.at || errors.Is(err, port.ErrHistoryGone) != c.gone || s.FromStore("p/") != c.own {
			t.Errorf("%s: at %d, %v, own reading %v", name, at, err, s.FromStore("p/"))
		}
	}
}

// TestReaderStatesItsEra guards against a reader that has not seen the restore and confirms to a follower which
// has that nothing changed since.
func TestReaderStatesItsEra(t *testing.T) {
	clock := sysclock.Clock{}
	s := NewServer(clock, func(string) (confirmation.Coverage, bool) { return confirmation.Coverage{At: clock.SinceBoot()}, true })
	apply, _ := s.AddPrefix("p/", func() bool { return true }, 0)
	listed := storeera.Stamp(2, 10)
	apply(follow.Event{Reset: true, At: listed})
	if r, err := s.Feed(context.Background(), port.FeedRequest{Prefix: "p/", After: listed}); err != nil || r.Era != 2 || r.At != listed {
		t.Errorf("same era: %+v, %v", r, err)
	}
	_, err := s.Feed(context.Background(), port.FeedRequest{Prefix: "p/", After: storeera.Stamp(3, 1)})
	if !errors.Is(err, port.ErrFeedRefused) {
		t.Errorf("request of a later era: %v", err)
	}
}
