package weights

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/spread"
	"github.com/masticwing/masticwing/internal/port"
)

// maxReadBytes bounds a read between two reservations of the link's rate limit.
const maxReadBytes = 16 << 10

// dispatch starts chunk fetches until the version is complete or ctx ends, and then
// cancels those in flight and waits for them.
func (v *version) dispatch(ctx context.Context, cs *chunkState) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	var peerFetches, externalFetches atomic.Int64
	for {
		if cs.table.HeldCount() == len(cs.man.Chunks) {
			v.complete.Store(true)
			v.setReason("")
			signal(v.m.changed)
			return
		}
		v.startExternalFetches(ctx, cs, &wg, &externalFetches)
		v.startPeerFetches(ctx, cs, &wg, &peerFetches)
		select {
		case <-ctx.Done():
			return
		case <-v.wake:
		case <-v.m.deps.Clock.After(recheckInterval):
		}
	}
}

// startPeerFetches starts fetches from peers up to the limit in the settings.
func (v *version) startPeerFetches(ctx context.Context, cs *chunkState, wg *conc.WaitGroup, inFlight *atomic.Int64) {
	l := v.m.settings.Limits
	for inFlight.Load() < int64(l.Total) {
		now := v.m.deps.Clock.Now()
		lastResort := inFlight.Load() == 0 && v.sinceNewChunk(now) > lastResortAfter
		job, ok := cs.table.PickLocal(now, l, lastResort, v.m.rand)
		if !ok {
			return
		}
		v.startFetch(ctx, cs, wg, inFlight, job)
	}
}

// startExternalFetches starts fetches from external sources, which are the origin and
// peers of other regions, if this agent is a gateway of its region.
func (v *version) startExternalFetches(ctx context.Context, cs *chunkState, wg *conc.WaitGroup, inFlight *atomic.Int64) {
	plan := v.plan.Load()
	if plan == nil {
		return
	}
	now := v.m.deps.Clock.Now()
	if !plan.Gateway || !cs.table.PeersReported(now) {
		v.updateReason(cs, now, false)
		return
	}
	v.grantOriginQuota(cs, plan, now)
	blocked := false
	for inFlight.Load() < int64(plan.ExternalLimit(v.m.settings.Limits.External)) {
		now = v.m.deps.Clock.Now()
		var job spread.Fetch
		var ok bool
		job, ok, blocked = cs.table.PickExternal(now, v.externalPolicy(cs, plan, now), v.m.rand)
		if !ok {
			break
		}
		v.startFetch(ctx, cs, wg, inFlight, job)
	}
	v.updateReason(cs, now, blocked)
}

// grantOriginQuota sets the quota of bytes from the origin when the region is first
// seen to lack chunks. Later it extends a used quota after a time without new chunks.
func (v *version) grantOriginQuota(cs *chunkState, plan *spread.Plan, now time.Time) {
	chunkSize := cs.man.Chunks[0].Bytes
	if v.originQuota.IsSet() {
		unreachable := func(vm fleet.VM) bool { return cs.table.IsUnreachable(vm, now) }
		v.originQuota.Extend(chunkSize, now, v.sinceNewChunk(now), plan.ExtensionDelay(unreachable))
		return
	}
	if missing, _ := cs.table.MissingInRegion(now); missing > 0 {
		mean := cs.size / int64(len(cs.man.Chunks))
		v.originQuota.Set(int64(plan.Quota(missing)) * max(mean, chunkSize))
	}
}

// externalPolicy returns what this gateway may fetch from external sources now.
func (v *version) externalPolicy(cs *chunkState, plan *spread.Plan, now time.Time) spread.ExternalPolicy {
	gatewayView := spread.GatewayView{
		IdleTime:    func(vm fleet.VM) time.Duration { return cs.table.IdleTime(vm, now) },
		Unreachable: func(vm fleet.VM) bool { return cs.table.IsUnreachable(vm, now) },
		FetchTime:   v.originQuota.AverageFetchTime(),
	}
	sinceNewChunk := v.sinceNewChunk(now)
	mayFetch := func(c int) (fetch, origin bool) {
		owner, _ := plan.Owner(c)
		fetch = owner == v.m.settings.VM || plan.MayTakeOver(c, gatewayView)
		// A region that should get chunk c from another region falls back to the
		// origin after a time without new chunks.
		origin = plan.FetchesFromOrigin(c) || sinceNewChunk > 2*spread.MinTakeoverDelay
		return fetch, origin
	}
	return spread.ExternalPolicy{MayFetch: mayFetch, OriginReady: v.originQuota.CanFetch(now, cs.man.Chunks[0].Bytes)}
}

// updateReason sets the reason why no new chunk has arrived, or clears it.
func (v *version) updateReason(cs *chunkState, now time.Time, blocked bool) {
	if v.sinceNewChunk(now) < reasonAfter {
		v.setReason("")
		return
	}
	n, example := cs.table.MissingInRegion(now)
	switch {
	case blocked && v.originQuota.Exhausted(cs.man.Chunks[0].Bytes):
		v.setReason("quota of the origin used")
	case blocked:
		v.setReason("waiting for origin")
	case n > 0:
		v.setReason(fmt.Sprintf("no peer has chunk %d", example))
	default:
		v.setReason("peers do not send")
	}
}

func (v *version) startFetch(ctx context.Context, cs *chunkState, wg *conc.WaitGroup, inFlight *atomic.Int64, job spread.Fetch) {
	inFlight.Add(1)
	wg.Go(func() {
		defer func() {
			cs.table.EndFetch(job)
			inFlight.Add(-1)
			signal(v.wake)
		}()
		_ = supervise.Call(v.m.deps.Log, v.m.deps.Metrics, "chunk", func() error {
			if job.Origin {
				v.fetchFromOrigin(ctx, cs, job)
			} else {
				v.fetchFromPeer(ctx, cs, job)
			}
			return nil
		})
	})
}

func (v *version) fetchFromOrigin(ctx context.Context, cs *chunkState, job spread.Fetch) {
	start := v.m.deps.Clock.Now()
	size := cs.man.Chunks[job.Chunk].Bytes
	v.originQuota.Reserve(size)
	rc, err := v.m.deps.Origin.Chunk(ctx, v.id, job.Chunk)
	var data []byte
	if err == nil {
		data, err = v.receiveChunk(ctx, cs, job, rc, v.m.counters.addFromOrigin)
	}
	now := v.m.deps.Clock.Now()
	if err != nil {
		v.originQuota.FetchFailed(size-int64(len(data)), now)
		return
	}
	v.originQuota.FetchDone(0, now.Sub(start))
	v.acceptChunk(cs, job, data)
}

func (v *version) fetchFromPeer(ctx context.Context, cs *chunkState, job spread.Fetch) {
	member, ok := v.watchedPeers.Get(job.From)
	if !ok {
		return
	}
	local := member.Region == v.m.settings.Region
	r := port.ChunkRequest{Version: v.id, Index: job.Chunk, From: v.m.settings.VM, FromRegion: v.m.settings.Region}
	start := v.m.deps.Clock.Now()
	rc, err := v.m.deps.Peers.FetchChunk(ctx, member.Address, r)
	if err != nil {
		err = v.stallError(start, err)
	}
	var data []byte
	if err == nil {
		data, err = v.receiveChunk(ctx, cs, job, rc, func(n int) { v.m.counters.addFromPeer(n, local) })
	}
	if err == nil {
		v.acceptChunk(cs, job, data)
		return
	}
	if ctx.Err() == nil {
		v.recordFailure(cs, job, err)
	}
}

func (v *version) recordFailure(cs *chunkState, job spread.Fetch, err error) {
	now := v.m.deps.Clock.Now()
	switch {
	case errors.Is(err, port.ErrPeerBusy):
		cs.table.MarkRefused(job.From, job.Chunk, true, now)
	case errors.Is(err, port.ErrChunkMissing):
		cs.table.MarkRefused(job.From, job.Chunk, false, now)
	case errors.Is(err, errStalled):
		cs.table.Avoid(job.From, now.Add(spread.AvoidAfterStall))
		signal(v.replan)
	default:
		cs.table.Avoid(job.From, now.Add(spread.AvoidAfterFailure))
	}
}

// acceptChunk verifies a chunk and stores it.
func (v *version) acceptChunk(cs *chunkState, job spread.Fetch, data []byte) {
	if err := cs.man.VerifyChunk(job.Chunk, data); err != nil {
		v.m.counters.addCorrupted()
		if !job.Origin {
			cs.table.MarkCorrupted(job.From, v.m.deps.Clock.Now())
			signal(v.replan)
		}
		return
	}
	if !job.Origin {
		cs.table.MarkVerified(job.From)
	}
	if v.store(cs, job.Chunk, data) {
		cs.uploadCredit.AddReceived(int64(len(data)))
	}
}

// errStalled means that a fetch was abandoned because no data arrived.
var errStalled = errors.New("fetch made no progress")

// stallError returns errStalled instead of err if nothing arrived for stallTime
// since start.
func (v *version) stallError(start time.Time, err error) error {
	if v.m.deps.Clock.Now().Sub(start) >= stallTime {
		return errStalled
	}
	return err
}

// receiveChunk reads a chunk at the rate of the link. It returns the data received
// so far also with an error, and fails if the sender sends more than the chunk's
// size.
func (v *version) receiveChunk(
	ctx context.Context, cs *chunkState, job spread.Fetch, rc io.ReadCloser, count func(int),
) ([]byte, error) {
	defer func() { _ = rc.Close() }()
	size := int(cs.man.Chunks[job.Chunk].Bytes)
	data := make([]byte, 0, size)
	for len(data) < size {
		start := v.m.deps.Clock.Now()
		n, err := rc.Read(data[len(data):min(size, len(data)+maxReadBytes)])
		data = data[:len(data)+n]
		count(n)
		now := v.m.deps.Clock.Now()
		if err != nil && len(data) < size {
			return data, v.stallError(start, errors.Wrap(err, "receiving chunk"))
		}
		if n > 0 {
			cs.table.MarkProgress(job.Chunk, now)
		}
		if err := v.m.sleep(ctx, v.m.link.In.Reserve(now, n)); err != nil {
			return data, err
		}
	}
	// Reading up to EOF allows the connection to be reused.
	if n, _ := rc.Read(make([]byte, 1)); n > 0 {
		return data, errors.New("sender sent more than the size of the chunk")
	}
	return data, nil
}
