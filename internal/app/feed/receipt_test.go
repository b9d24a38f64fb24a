package feed

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/confirmation"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// TestReaderThatReceivesKeepsFollowers guards against followers that all fetch a configuration from the store because
// their reader, which is receiving it, can't confirm the one that it replaces.
func TestReaderThatReceivesKeepsFollowers(t *testing.T) {
	clock := sysclock.Clock{}
	for name, c := range map[string]struct {
		receivedAgo time.Duration
		want        error
	}{
		"receiving":           {100 * time.Millisecond, nil},
		"silent for too long": {maxConfirmationAge + time.Second, ErrStale},
	} {
		s := NewServer(clock, func(string) (confirmation.Coverage, bool) {
			return confirmation.Coverage{At: clock.SinceBoot() - 10*maxConfirmationAge}, true
		})
		s.SetReceipts(func() time.Duration { return clock.SinceBoot() - c.receivedAgo })
		apply, _ := s.AddPrefix("p/", func() bool { return true }, 0)
		apply(follow.Event{Reset: true, At: 1})
		reply, err := s.Feed(context.Background(), port.FeedRequest{Prefix: "p/", After: 1, Wait: time.Millisecond})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if err == nil && reply.Age < 10*maxConfirmationAge {
			t.Errorf("%s: states a confirmation of %v ago, want that of its view", name, reply.Age)
		}
	}
}

// refusingFeed is a port.FeedClient whose readers refuse until a time, and then pass on the age of a confirmation.
type refusingFeed struct {
	until time.Time
	age   time.Duration
}

func (f refusingFeed) Feed(context.Context, fleet.Address, port.FeedRequest) (port.FeedReply, error) {
	if time.Now().Before(f.until) {
		return port.FeedReply{}, ErrStale
	}
	return port.FeedReply{At: 1, Age: f.age}, nil
}

func newFollowerOf(f port.FeedClient, store port.Store, delay time.Duration) *Source {
	readers := func() []core.Member { return []core.Member{{ID: "r", Address: "r"}} }
	return NewSource(store, f, sysclock.Clock{}, logging.New(io.Discard, "x", "1"), readers,
		map[string]PrefixOptions{"p/": {TakeoverDelay: func() time.Duration { return delay }}})
}

// TestTakeoverWaitsForReaders guards against processes that read the same large change from the store at the moment at
// which they lose their reader, and against one that asks others before each call although it reads the store itself.
func TestTakeoverWaitsForReaders(t *testing.T) {
	const delay = 400 * time.Millisecond
	store := &countingStore{Store: porttest.NewStore()}
	s := newFollowerOf(refusingFeed{until: time.Now().Add(delay / 2)}, store, delay)
	if _, _, err := s.Changes(context.Background(), "p/", 0, time.Millisecond); err != nil || store.calls.Load() > 0 {
		t.Errorf("%d calls to the store although a reader replies within the delay, %v", store.calls.Load(), err)
	}
	s = newFollowerOf(refusingFeed{until: time.Now().Add(time.Hour)}, store, delay)
	for i, longest := range []time.Duration{2 * delay, delay / 2} {
		start := time.Now()
		_, _, err := s.Changes(context.Background(), "p/", 0, time.Millisecond)
		took := time.Since(start)
		if err != nil || store.calls.Load() != int64(i+1) || took > longest || i == 0 && took < delay {
			t.Errorf("call %d: %d calls to the store, took %v, %v", i, store.calls.Load(), took, err)
		}
	}
}

// TestReaderAwaitsStore guards against followers that check their view while their reader receives a change, each of
// which transfers the change once more, and against some that wait for a reader whose view is confirmed.
func TestReaderAwaitsStore(t *testing.T) {
	for age, want := range map[time.Duration]bool{maxConfirmationAge / 2: false, 2 * maxConfirmationAge: true} {
		s := newFollowerOf(refusingFeed{age: age}, porttest.NewStore(), 0)
		if _, _, err := s.Changes(context.Background(), "p/", 0, time.Millisecond); err != nil {
			t.Fatal(err)
		}
		if got := s.ReaderAwaitsStore("p/", time.Minute); got != want {
			t.Errorf("confirmed %v ago: awaits the store %v, want %v", age, got, want)
		}
		if s.ReaderAwaitsStore("p/", 0) {
			t.Errorf("confirmed %v ago: a reader without a reply counts as one that awaits the store", age)
		}
	}
}
