package weights

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/spread"
	"github.com/masticwing/masticwing/internal/port"
)

// readBytes is the most that is read from a sender before the link's budget is
// consulted.
const readBytes = 16 << 10

// dispatch starts fetches until the version is complete or ctx ends.
func (v *version) dispatch(ctx context.Context, b *body) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	var active, outside atomic.Int64
	for {
		if b.table.HeldCount() == len(b.man.Chunks) {
			v.complete.Store(true)
			v.setReason("")
			signal(v.m.changed)
			return
		}
		v.startOutside(ctx, b, &wg, &outside)
		v.startPeers(ctx, b, &wg, &active)
		select {
		case <-ctx.Done():
			return
		case <-v.wake:
		case <-v.m.deps.Clock.After(recheck):
		}
	}
}

func (v *version) startPeers(ctx context.Context, b *body, wg *conc.WaitGroup, active *atomic.Int64) {
	l := v.m.set.Limits
	for active.Load() < int64(l.Total) {
		now := v.m.deps.Clock.Now()
		resort := active.Load() == 0 && v.still(now) > resortAfter
		ch, ok := b.table.PickLocal(now, l, resort, v.m.rand)
		if !ok {
			return
		}
		v.start(ctx, b, wg, active, ch)
	}
}

func (v *version) startOutside(ctx context.Context, b *body, wg *conc.WaitGroup, active *atomic.Int64) {
	plan := v.plan.Load()
	if plan == nil {
		return
	}
	now := v.m.deps.Clock.Now()
	if !plan.Gateway || !b.table.PeersReported(now) {
		v.explain(b, now, false)
		return
	}
	v.grant(b, plan, now)
	blocked := false
	for active.Load() < int64(plan.ExternalLimit(v.m.set.Limits.External)) {
		now = v.m.deps.Clock.Now()
		var ch spread.Fetch
		var ok bool
		ch, ok, blocked = b.table.PickExternal(now, v.outside(b, plan, now), v.m.rand)
		if !ok {
			break
		}
		v.start(ctx, b, wg, active, ch)
	}
	v.explain(b, now, blocked)
}

// grant sets the allowance when the region is first seen to lack chunks.
func (v *version) grant(b *body, plan *spread.Plan, now time.Time) {
	first := b.man.Chunks[0].Bytes
	if v.allow.IsSet() {
		lost := func(vm fleet.VM) bool { return b.table.IsUnreachable(vm, now) }
		v.allow.Extend(first, now, v.still(now), plan.ExtensionDelay(lost))
		return
	}
	if lacking, _ := b.table.MissingInRegion(now); lacking > 0 {
		mean := b.size / int64(len(b.man.Chunks))
		v.allow.Set(int64(plan.Quota(lacking)) * max(mean, first))
	}
}

// outside returns what this gateway may fetch from outside its region now.
func (v *version) outside(b *body, plan *spread.Plan, now time.Time) spread.ExternalPolicy {
	sight := spread.GatewayView{
		IdleTime:    func(vm fleet.VM) time.Duration { return b.table.IdleTime(vm, now) },
		Unreachable: func(vm fleet.VM) bool { return b.table.IsUnreachable(vm, now) },
		FetchTime:   v.allow.AverageFetchTime(),
	}
	still := v.still(now)
	may := func(c int) (fetch, origin bool) {
		owner, _ := plan.Owner(c)
		fetch = owner == v.m.set.VM || plan.MayTakeOver(c, sight)
		// A region that draws chunk c from another region turns to the origin
		// when nothing arrives any more.
		origin = plan.FetchesFromOrigin(c) || still > 2*spread.MinTakeoverDelay
		return fetch, origin
	}
	return spread.ExternalPolicy{MayFetch: may, OriginReady: v.allow.CanFetch(now, b.man.Chunks[0].Bytes)}
}

// explain sets the reason why the version stands still.
func (v *version) explain(b *body, now time.Time, blocked bool) {
	if v.still(now) < stillAfter {
		v.setReason("")
		return
	}
	n, example := b.table.MissingInRegion(now)
	switch {
	case blocked && v.allow.Exhausted(b.man.Chunks[0].Bytes):
		v.setReason("quota of the origin used")
	case blocked:
		v.setReason("waiting for origin")
	case n > 0:
		v.setReason(fmt.Sprintf("no peer has chunk %d", example))
	default:
		v.setReason("peers do not send")
	}
}

func (v *version) start(ctx context.Context, b *body, wg *conc.WaitGroup, active *atomic.Int64, ch spread.Fetch) {
	active.Add(1)
	wg.Go(func() {
		defer func() {
			b.table.EndFetch(ch)
			active.Add(-1)
			signal(v.wake)
		}()
		if ch.Origin {
			v.fetchOrigin(ctx, b, ch)
			return
		}
		v.fetchPeer(ctx, b, ch)
	})
}

func (v *version) fetchOrigin(ctx context.Context, b *body, ch spread.Fetch) {
	start := v.m.deps.Clock.Now()
	size := b.man.Chunks[ch.Chunk].Bytes
	v.allow.Reserve(size)
	rc, err := v.m.deps.Origin.Chunk(ctx, v.id, ch.Chunk)
	var data []byte
	if err == nil {
		data, err = v.receive(ctx, b, ch, rc, v.m.counters.fromOrigin)
	}
	now := v.m.deps.Clock.Now()
	if err != nil {
		v.allow.FetchFailed(size-int64(len(data)), now)
		return
	}
	v.allow.FetchDone(0, now.Sub(start))
	v.accept(b, ch, data)
}

func (v *version) fetchPeer(ctx context.Context, b *body, ch spread.Fetch) {
	member, ok := v.watched.Get(ch.From)
	if !ok {
		return
	}
	local := member.Region == v.m.set.Region
	r := port.ChunkRequest{Version: v.id, Index: ch.Chunk, From: v.m.set.VM, FromRegion: v.m.set.Region}
	start := v.m.deps.Clock.Now()
	rc, err := v.m.deps.Peers.FetchChunk(ctx, member.Address, r)
	if err != nil {
		err = v.stalled(start, err)
	}
	var data []byte
	if err == nil {
		data, err = v.receive(ctx, b, ch, rc, func(n int) { v.m.counters.fromPeer(n, local) })
	}
	if err == nil {
		v.accept(b, ch, data)
		return
	}
	if ctx.Err() == nil {
		v.fetchFailed(b, ch, err)
	}
}

func (v *version) fetchFailed(b *body, ch spread.Fetch, err error) {
	now := v.m.deps.Clock.Now()
	switch {
	case errors.Is(err, port.ErrPeerBusy):
		b.table.MarkRefused(ch.From, ch.Chunk, true, now)
	case errors.Is(err, port.ErrChunkMissing):
		b.table.MarkRefused(ch.From, ch.Chunk, false, now)
	case errors.Is(err, errStalled):
		b.table.Avoid(ch.From, now.Add(spread.AvoidAfterStall))
		signal(v.replan)
	default:
		b.table.Avoid(ch.From, now.Add(spread.AvoidAfterFailure))
	}
}

// accept verifies a chunk and keeps it.
func (v *version) accept(b *body, ch spread.Fetch, data []byte) {
	if err := b.man.Verify(ch.Chunk, data); err != nil {
		v.m.counters.corruptedChunk()
		if !ch.Origin {
			b.table.MarkCorrupted(ch.From, v.m.deps.Clock.Now())
			signal(v.replan)
		}
		return
	}
	if !ch.Origin {
		b.table.MarkVerified(ch.From)
	}
	if v.store(b, ch.Chunk, data) {
		b.credit.AddReceived(int64(len(data)))
	}
}

// errStalled means that a fetch was abandoned because nothing arrived.
var errStalled = errors.New("fetch made no progress")

// stalled returns errStalled for an error that followed a long silence.
func (v *version) stalled(start time.Time, err error) error {
	if v.m.deps.Clock.Now().Sub(start) >= stallTime {
		return errStalled
	}
	return err
}

// receive reads a chunk at the pace of the link. It returns what arrived, also
// with an error. A sender that gives more than the chunk's size is cut off.
func (v *version) receive(
	ctx context.Context, b *body, ch spread.Fetch, rc io.ReadCloser, count func(int),
) ([]byte, error) {
	defer func() { _ = rc.Close() }()
	size := int(b.man.Chunks[ch.Chunk].Bytes)
	data := make([]byte, 0, size)
	for len(data) < size {
		start := v.m.deps.Clock.Now()
		n, err := rc.Read(data[len(data):min(size, len(data)+readBytes)])
		data = data[:len(data)+n]
		count(n)
		now := v.m.deps.Clock.Now()
		if err != nil && len(data) < size {
			return data, v.stalled(start, errors.Wrap(err, "receiving chunk"))
		}
		if n > 0 {
			b.table.MarkProgress(ch.Chunk, now)
		}
		if err := v.m.sleep(ctx, v.m.link.In.Reserve(now, n)); err != nil {
			return data, err
		}
	}
	// Reading the end lets the connection be used again.
	if n, _ := rc.Read(make([]byte, 1)); n > 0 {
		return data, errors.New("chunk does not end at its size")
	}
	return data, nil
}
