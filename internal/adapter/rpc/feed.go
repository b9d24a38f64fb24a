package rpc

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/confirmation"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

var _ port.FeedClient = (*Client)(nil)

// feedTimeoutMargin is added to the wait of a request to get its timeout. In this
// time a configuration of a few hundred kilobytes passes a shared link of 40 Mbit/s.
const feedTimeoutMargin = 600 * time.Millisecond

// codeFeedRefused is the drpc error code of port.ErrFeedRefused.
const codeFeedRefused = 1

// Feed implements port.FeedClient.
func (c *Client) Feed(ctx context.Context, addr fleet.Address, r port.FeedRequest) (port.FeedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+feedTimeoutMargin)
	defer cancel()
	req := &pb.FeedRequest{Prefix: r.Prefix, After: r.After, WaitMs: r.Wait.Milliseconds()}
	in, err := pb.NewDRPCFeedClient(c.conn(ctx, addr)).Read(ctx, req)
	if err != nil {
		c.closeIdleOnTimeout(ctx, addr)
		if drpcerr.Code(err) == codeFeedRefused {
			reason := strings.TrimSuffix(err.Error(), ": "+port.ErrFeedRefused.Error())
			return port.FeedReply{}, errors.Wrap(port.ErrFeedRefused, reason)
		}
		return port.FeedReply{}, errors.Wrap(err, "requesting store changes")
	}
	return feedReply(in)
}

// feedReply converts a reply.
func feedReply(in *pb.FeedReply) (port.FeedReply, error) {
	if in.GetAgeMs() < 0 {
		// A negative age would date the confirmation of the operator keys into the future.
		return port.FeedReply{}, errors.Errorf("reply is %d ms old", in.GetAgeMs())
	}
	out := port.FeedReply{
		At: in.GetAt(), Age: fromMillis(in.GetAgeMs()), View: confirmation.Digest(in.GetView()), Held: max(0, fromMillis(in.GetHeldMs())),
		Era: in.GetEra(),
	}
	left := maxReplyBytes
	for _, x := range in.GetChanges() {
		value := x.GetValue()
		if x.GetCompressed() {
			var err error
			value, err = decompress(value, left)
			left -= len(value)
			if err != nil {
				return port.FeedReply{}, errors.Wrapf(err, "requesting store changes: key %s", x.GetKey())
			}
		}
		out.Changes = append(out.Changes, feed.Change{
			Key: x.GetKey(), Value: value, Revision: x.GetRevision(), Removed: x.GetRemoved(),
			Age: changeAge(x.GetAgeMs()),
		})
	}
	return out, nil
}

// changeAge returns the age of a change, which is unknown if it is not positive.
func changeAge(ms int64) moment.Age {
	if ms <= 0 {
		return moment.Age{}
	}
	return moment.KnownAge(fromMillis(ms))
}

// changeAgeMillis returns the age of a change in milliseconds, rounded up, or zero if it is
// unknown.
func changeAgeMillis(a moment.Age) int64 {
	age, known := a.Get()
	if !known {
		return 0
	}
	return max(1, (age + time.Millisecond - 1).Milliseconds())
}

const (
	// minCompressBytes is the minimum size of a value that is compressed. A
	// configuration of 100 KB goes to all processes of a domain over the link of
	// one process, which also carries answers to callers.
	minCompressBytes = 4 << 10
	// maxReplyBytes bounds the compressed values of a reply after decompression, all
	// together. The store accepts values of up to 1 MB, and few keys have large ones.
	maxReplyBytes = 8 << 20
)

// decompress returns a decompressed value of at most maxBytes.
func decompress(b []byte, maxBytes int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a value")
	}
	if len(out) > maxBytes {
		return nil, errors.Errorf("values of a reply are longer than %d bytes", maxReplyBytes)
	}
	return out, nil
}

// compressedValue is the compressed value of a key at a revision.
type compressedValue struct {
	revision int64
	value    []byte
}

type feedServer struct {
	h port.FeedHandler
	// cache holds the compressed values of the few keys with large values, since
	// a dozen processes request each of them.
	cache *shard.Map[string, compressedValue]
}

// compress returns the value to send and whether it is compressed.
func (s *feedServer) compress(c feed.Change) ([]byte, bool) {
	if len(c.Value) < minCompressBytes {
		s.cache.Delete(c.Key)
		return c.Value, false
	}
	if p, ok := s.cache.Get(c.Key); ok && p.revision == c.Revision {
		return p.value, true
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return c.Value, false
	}
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(c.Value)
	_ = w.Close()
	s.cache.Put(c.Key, compressedValue{c.Revision, b.Bytes()})
	return b.Bytes(), true
}

// maxFeedWait bounds the time for which a request is held. Followers wait up to 15 s.
const maxFeedWait = time.Minute

// feedRequest converts a request.
func feedRequest(in *pb.FeedRequest) port.FeedRequest {
	return port.FeedRequest{Prefix: in.GetPrefix(), After: in.GetAfter(), Wait: min(max(0, fromMillis(in.GetWaitMs())), maxFeedWait)}
}

// Read implements the generated interface.
func (s *feedServer) Read(ctx context.Context, in *pb.FeedRequest) (*pb.FeedReply, error) {
	reply, err := s.h.Feed(ctx, feedRequest(in))
	if errors.Is(err, port.ErrFeedRefused) {
		return nil, drpcerr.WithCode(err, codeFeedRefused)
	}
	if err != nil {
		return nil, err
	}
	// Ages are rounded up, so that the receiver never sees a smaller one.
	out := &pb.FeedReply{At: reply.At, AgeMs: reply.Age.Milliseconds() + 1, HeldMs: reply.Held.Milliseconds(), View: uint64(reply.View), Era: reply.Era}
	for _, x := range reply.Changes {
		value, compressed := s.compress(x)
		out.Changes = append(out.Changes, &pb.FeedChange{
			Key: x.Key, Value: value, Revision: x.Revision, Removed: x.Removed, Compressed: compressed,
			AgeMs: changeAgeMillis(x.Age),
		})
	}
	return out, nil
}
