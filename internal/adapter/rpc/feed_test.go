package rpc

import (
	"bytes"
	"context"
	"fmt"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

type feedHandlerFunc func(ctx context.Context, r port.FeedRequest) (port.FeedReply, error)

func (f feedHandlerFunc) Feed(ctx context.Context, r port.FeedRequest) (port.FeedReply, error) {
	return f(ctx, r)
}

// TestFeedRoundTrip guards against a change that loses a field in conversion, and
// against an age that gets smaller.
func TestFeedRoundTrip(t *testing.T) {
	want := port.FeedReply{At: 9, Age: 1500 * time.Microsecond, Held: 10 * time.Millisecond, View: 1<<63 + 5, Changes: []feed.Change{
		{Key: "p/a", Value: []byte("1"), Revision: 7}, {Key: "p/b", Revision: 8, Removed: true, Age: moment.KnownAge(2 * time.Second)},
	}}
	addr := startServer(t, Handlers{Feed: feedHandlerFunc(func(_ context.Context, r port.FeedRequest) (port.FeedReply, error) {
		if r != (port.FeedRequest{Prefix: "p/", After: 5, Wait: 20 * time.Millisecond}) {
			return port.FeedReply{}, errors.Errorf("request %+v", r)
		}
		return want, nil
	})})
	c := NewClient()
	defer c.Close()
	got, err := c.Feed(t.Context(), addr, port.FeedRequest{Prefix: "p/", After: 5, Wait: 20 * time.Millisecond})
	if err != nil || got.At != want.At || got.Age < want.Age || got.Held != want.Held || got.View != want.View || !reflect.DeepEqual(got.Changes, want.Changes) {
		t.Errorf("reply %+v, %v", got, err)
	}
}

// TestFeedTimeout guards against a request that waits forever for a process that
// does not respond.
func TestFeedTimeout(t *testing.T) {
	addr := startServer(t, Handlers{Feed: feedHandlerFunc(func(ctx context.Context, _ port.FeedRequest) (port.FeedReply, error) {
		<-ctx.Done()
		return port.FeedReply{}, ctx.Err()
	})})
	c := NewClient()
	defer c.Close()
	start := time.Now()
	_, err := c.Feed(t.Context(), addr, port.FeedRequest{Prefix: "p/", Wait: 20 * time.Millisecond})
	if d := time.Since(start); err == nil || d < feedTimeoutMargin || d > 5*feedTimeoutMargin {
		t.Errorf("error %v after %v", err, d)
	}
}

// TestLargeValuesAreCompressed guards against a configuration that saturates the
// link of the process that sends it, and against a cached older revision that is
// sent in place of the newest.
func TestLargeValuesAreCompressed(t *testing.T) {
	value := func(revision int64) []byte {
		var b bytes.Buffer
		for i := range 250 {
			fmt.Fprintf(&b, `{"Name":"route-%d","Host":"h%d.example","Prefix":"/p%d/","Version":%d},`, i, i%7, i*31, revision)
		}
		return b.Bytes()
	}
	var revision atomic.Int64
	addr := startServer(t, Handlers{Feed: feedHandlerFunc(func(context.Context, port.FeedRequest) (port.FeedReply, error) {
		r := revision.Load()
		return port.FeedReply{Changes: []feed.Change{{Key: "op/config", Value: value(r), Revision: r}}}, nil
	})})
	c := NewClient()
	defer c.Close()
	for _, r := range []int64{1, 1, 2, 1, 2} {
		revision.Store(r)
		got, err := c.Feed(t.Context(), addr, port.FeedRequest{Prefix: "op/"})
		if err != nil || len(got.Changes) != 1 || !bytes.Equal(got.Changes[0].Value, value(r)) {
			t.Fatalf("revision %d: %v, other bytes", r, err)
		}
	}
	s := &feedServer{nil, shard.New[string, compressedValue](0)}
	if b, compressed := s.compress(feed.Change{Key: "k", Value: value(1), Revision: 1}); !compressed || len(b) > len(value(1))/4 {
		t.Errorf("%d bytes of %d", len(b), len(value(1)))
	}
	if b, compressed := s.compress(feed.Change{Key: "k", Value: []byte("small"), Revision: 2}); compressed || string(b) != "small" {
		t.Errorf("%q, compressed %v", b, compressed)
	}
}

// TestFeedBytesAreBounded guards against a reply of a few kilobytes whose values
// together fill the memory once they are decompressed.
func TestFeedBytesAreBounded(t *testing.T) {
	var values atomic.Int64
	addr := startServer(t, Handlers{Feed: feedHandlerFunc(func(context.Context, port.FeedRequest) (port.FeedReply, error) {
		var r port.FeedReply
		for i := range values.Load() {
			r.Changes = append(r.Changes, feed.Change{Key: fmt.Sprintf("p/%d", i), Value: make([]byte, 1<<20), Revision: i + 1})
		}
		return r, nil
	})})
	c := NewClient()
	defer c.Close()
	for n, ok := range map[int64]bool{4: true, 16: false} {
		values.Store(n)
		r, err := c.Feed(t.Context(), addr, port.FeedRequest{Prefix: "p/", Wait: time.Second})
		if (err == nil) != ok {
			t.Errorf("%d values of 1 MiB: %d changes, %v", n, len(r.Changes), err)
		}
	}
}
