package rpc

import (
	"math"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/port"
)

// TestFeedAgesOutOfRange guards against a stated age that is negative or overflows. It would
// date a confirmation into the future, and removed API keys would be accepted for as long.
func TestFeedAgesOutOfRange(t *testing.T) {
	for _, ms := range []int64{math.MinInt64, -1, math.MaxInt64, math.MaxInt64 / 1_000_000 * 2} {
		reply, err := feedReply(&pb.FeedReply{At: 1, AgeMs: ms})
		if err == nil && (reply.Age < 0 || reply.Age < time.Duration(min(ms, 1000))*time.Millisecond) {
			t.Errorf("an age of %d ms is read as %v", ms, reply.Age)
		}
		reply, err = feedReply(&pb.FeedReply{At: 1, Changes: []*pb.FeedChange{{Key: "k", AgeMs: ms}}})
		if err != nil {
			continue
		}
		age, known := reply.Changes[0].Age.Get()
		if known != (ms > 0) || age < 0 || age < time.Duration(min(ms, 1000))*time.Millisecond {
			t.Errorf("a change %d ms ago is read as %v (known: %v)", ms, age, known)
		}
	}
	reply, err := feedReply(&pb.FeedReply{At: 1, AgeMs: 1500})
	if err != nil || reply.Age != 1500*time.Millisecond {
		t.Errorf("%v, %v", reply, err)
	}
}

// TestFeedWaitOutOfRange guards against a request whose wait overflows: it got its reply at
// once, so that its sender asked again without a pause, or held a stream for years.
func TestFeedWaitOutOfRange(t *testing.T) {
	for ms, want := range map[int64]time.Duration{
		math.MinInt64: 0, -1: 0, 250: 250 * time.Millisecond, math.MaxInt64: maxFeedWait, math.MaxInt64 / 1_000_000 * 2: maxFeedWait,
	} {
		if r := feedRequest(&pb.FeedRequest{Prefix: "p/", WaitMs: ms}); r != (port.FeedRequest{Prefix: "p/", Wait: want}) {
			t.Errorf("%d ms are read as %+v", ms, r)
		}
	}
}
