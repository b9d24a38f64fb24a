// Package chunks fetches the chunks of a version of the weights from other members
// and the origin, in the order that package chain decides, and serves them to other
// members.
package chunks

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/chain"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/ratelimit"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// maxAnnounceRequests bounds the announce-only requests in flight. Most of them
	// are for chunks that the other member is still fetching; it responds as soon as
	// it has the chunk.
	maxAnnounceRequests = 32
	// maxTransfers bounds the chunks received at a time. More would fill a link that
	// is slower than declared for seconds; with fewer the link would be idle between
	// two chunks.
	maxTransfers = 6
	// announceTimeout bounds an announce-only request, to which a live member
	// responds within twice longPollTime. Until the timeout, other members wait for
	// the chunks that this one expects from a member that is gone.
	announceTimeout = 800 * time.Millisecond
	// transferTimeout bounds a request for the data of a chunk. It covers slotWait
	// and a transfer over shared links.
	transferTimeout = 1500 * time.Millisecond
	// recheckInterval bounds how late the end of a pause in the chunk table is
	// noticed.
	recheckInterval = 20 * time.Millisecond
	// longPollTime is how long a request waits for a version or chunk that this
	// member does not have yet.
	longPollTime = 300 * time.Millisecond
	// slotWait is how long a request then waits for an upload slot.
	slotWait = 600 * time.Millisecond
	// maxWriteBytes bounds a write between two reservations of the link's rate
	// limit. 8 KiB take 9 ms on the link of an engine's VM and delay the events of
	// the engine's streams by as much.
	maxWriteBytes = 8 << 10
	// maxUploads bounds the chunks sent at a time. With fewer at a time, each chunk
	// arrives earlier and can be served to others earlier.
	maxUploads = 3
)

// Settings holds the configuration of a Fetcher.
type Settings struct {
	Self chain.Member
	// InRate and OutRate limit the use of the link in bytes per second; 0 means no
	// limit.
	InRate, OutRate int64
}

// Deps are the ports that a Fetcher uses.
type Deps struct {
	Peers   port.PeerClient
	Origin  port.Origin
	Clock   port.Clock
	Metrics port.Metrics
	Log     port.Log
	// OriginRate returns the capacity of the origin's link in bytes per second, or 0
	// if it is not known.
	OriginRate func() int64
	// Members returns the members that may hold or fetch versions.
	Members func() []chain.Member
	// OriginDown reports whether the last call to the origin failed. Without it the origin counts as
	// up.
	OriginDown func() bool
	// Uses returns for how long engines may use a version, by its name, and for how long this
	// member's engine may use the weights that it holds. Without it no version is limited.
	Uses func(name fleet.Version) Uses
}

// Uses says for how long weights may be used.
type Uses struct {
	// Until is the time for which engines may use a version, if Limited is set.
	Until   time.Duration
	Limited bool
	// Served is the time for which the engine of this member may use the weights that it holds, or
	// zero.
	Served time.Duration
}

// Fetcher fetches the current version and serves the current and the previous one.
// It implements port.PeerHandler.
type Fetcher struct {
	settings Settings
	deps     Deps
	link     ratelimit.Link
	// linkLimit decides how many chunks of a version are received at a time.
	linkLimit   *linkLimit
	uploadSlots chan struct{}
	wake        chan struct{} // receives after SetVersion

	mu      sync.Mutex // guards the following
	current *version
	// previous is kept for members that still fetch it.
	previous *version
	// versionChanged is closed and replaced when current changes.
	versionChanged chan struct{}
}

// version is one version, complete or not.
type version struct {
	id fleet.Version
	// name identifies the version to members that do not know its digest yet.
	name   fleet.Version
	man    manifest.Manifest
	table  *chain.Table
	chunks *shard.Map[int, []byte]
	cancel context.CancelFunc
	// chunkStored is closed and replaced with each stored chunk; mu guards it.
	mu          sync.Mutex
	chunkStored chan struct{}
	completed   chan struct{}
}

var _ port.PeerHandler = (*Fetcher)(nil)

// New returns a fetcher without a version.
func New(s Settings, d Deps) *Fetcher {
	return &Fetcher{
		settings: s, deps: d, link: ratelimit.NewLink(s.InRate, s.OutRate, d.Clock.Now()),
		linkLimit: newLinkLimit(maxTransfers), uploadSlots: make(chan struct{}, maxUploads), wake: make(chan struct{}, 1),
		versionChanged: make(chan struct{}),
	}
}

// SetVersion makes a version the current one, which Run fetches. Members that do
// not know its digest yet can find its manifest by name.
func (f *Fetcher) SetVersion(name, id fleet.Version, man manifest.Manifest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.id == id {
		return
	}
	// The fetch of the replaced version continues: most of it is usually done, and
	// the version may be needed before the new one is complete.
	if f.previous != nil && f.previous.cancel != nil {
		f.previous.cancel()
	}
	f.previous = f.current
	f.current = &version{
		id: id, name: name, man: man, table: chain.NewTable(len(man.Chunks), f.settings.Self, f.deps.Members()),
		chunks: shard.New[int, []byte](8), chunkStored: make(chan struct{}), completed: make(chan struct{}),
	}
	f.paceOrigin(f.current, 0)
	close(f.versionChanged)
	f.versionChanged = make(chan struct{})
	f.linkLimit.restart()
	signal(f.wake)
}

// paceOrigin spaces the fetches of a version from the origin, from a time from now on.
func (f *Fetcher) paceOrigin(v *version, in time.Duration) {
	if rate := f.deps.OriginRate(); rate > 0 && len(v.man.Chunks) > 0 {
		transfer := time.Duration(v.man.Chunks[0].Bytes) * time.Second / time.Duration(rate)
		v.table.PaceOrigin(transfer, f.deps.Clock.Now().Add(in))
	}
}

func (f *Fetcher) findVersion(id fleet.Version) *version {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range []*version{f.current, f.previous} {
		if v != nil && (v.id == id || v.name == id) {
			return v
		}
	}
	return nil
}

// Completed returns a channel that is closed once all chunks of the version are
// held. It returns nil for an unknown version.
func (f *Fetcher) Completed(id fleet.Version) <-chan struct{} {
	if v := f.findVersion(id); v != nil {
		return v.completed
	}
	return nil
}

// Chunk returns a verified chunk, or false if it is not held.
func (f *Fetcher) Chunk(id fleet.Version, i int) ([]byte, bool) {
	v := f.findVersion(id)
	if v == nil {
		return nil, false
	}
	return v.chunks.Get(i)
}

// AddChunk stores a chunk that the caller obtained elsewhere. It returns false if
// the version is unknown or the chunk does not match its digest.
func (f *Fetcher) AddChunk(id fleet.Version, i int, data []byte) bool {
	v := f.findVersion(id)
	if v == nil || v.man.VerifyChunk(i, data) != nil {
		return false
	}
	v.table.MarkHeld(i)
	v.store(i, data)
	return true
}

// Run fetches the versions given to SetVersion until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	loops := supervise.NewGroup(f.deps.Clock, f.deps.Log, f.deps.Metrics)
	defer loops.Wait()
	for ctx.Err() == nil {
		f.mu.Lock()
		v := f.current
		var vctx context.Context
		if v != nil && v.cancel == nil {
			vctx, v.cancel = context.WithCancel(ctx)
		}
		f.mu.Unlock()
		if vctx != nil {
			loops.Go(vctx, "version", func(ctx context.Context) { f.fetchVersion(ctx, v) })
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		}
	}
}

// fetchVersion starts chunk fetches until the version is complete or ctx ends, and then
// waits for those in flight.
func (f *Fetcher) fetchVersion(ctx context.Context, v *version) {
	var wg conc.WaitGroup
	defer wg.Wait()
	state := &fetchState{
		announcements: newLimiter(func() int { return maxAnnounceRequests }), transfers: newLimiter(f.linkLimit.allowed),
		fetchEnded: make(chan struct{}, 1),
	}
	refreshed := f.deps.Clock.Now()
	stall := stallLog{f: f, v: v, missing: v.table.MissingCount(), since: refreshed}
	turn := originTurn{f: f, newer: v, waits: true}
	for ctx.Err() == nil {
		if v.table.MissingCount() == 0 {
			close(v.completed)
			return
		}
		now := f.deps.Clock.Now()
		stall.check(now)
		if now.Sub(refreshed) >= memberRefreshInterval {
			refreshed = now
			v.table.SetMembers(f.settings.Self, f.deps.Members())
		}
		capacity := chain.Capacity{
			AnnounceOnly: state.announcements.available(), Data: state.transfers.available(), NoOrigin: turn.olderFirst(now),
		}
		job, ok := v.table.Next(capacity, now)
		if !ok {
			f.waitForWork(ctx, v, state)
			continue
		}
		limit := state.transfers
		if job.AnnounceOnly {
			limit = state.announcements
		}
		limit.acquire()
		wg.Go(func() {
			f.fetchChunk(ctx, v, job, state)
			limit.release()
			signal(state.fetchEnded)
		})
	}
}

// fetchState is the state of the chunk fetches of one version.
type fetchState struct {
	announcements, transfers *limiter
	// fetchEnded receives a value after a chunk fetch has ended.
	fetchEnded chan struct{}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// memberRefreshInterval is the time between two updates of the table's members.
const memberRefreshInterval = 500 * time.Millisecond

// waitForWork waits until the table may have another fetch to start.
func (f *Fetcher) waitForWork(ctx context.Context, v *version, state *fetchState) {
	select {
	case <-ctx.Done():
	case <-state.fetchEnded:
	case <-v.chunkAdded():
	case <-f.deps.Clock.After(recheckInterval):
	}
}

// fetchChunk makes one fetch and records its outcome in the table and the metrics.
func (f *Fetcher) fetchChunk(ctx context.Context, v *version, job chain.Fetch, state *fetchState) {
	var data []byte
	err := supervise.Call(f.deps.Log, f.deps.Metrics, "chunk", func() (err error) {
		data, err = f.requestChunk(ctx, v, job)
		return err
	})
	outcome := chain.Failed
	switch {
	case err == nil && job.AnnounceOnly:
		outcome = chain.Announced
	case err == nil && v.man.VerifyChunk(job.Chunk, data) == nil:
		outcome = chain.Got
		v.store(job.Chunk, data)
	case err == nil:
		outcome = chain.Corrupted
	case errors.Is(err, port.ErrPeerBusy):
		outcome = chain.Pending
	case errors.Is(err, port.ErrChunkMissing):
		outcome = chain.Idle
	}
	source := "origin"
	if !job.Origin {
		source = "other_region"
		if job.From.Region == f.settings.Self.Region {
			source = "own_region"
		}
	}
	f.deps.Metrics.Count("chunk_fetches_total", 1, port.Attr{Key: "source", Value: source},
		port.Attr{Key: "outcome", Value: outcomeLabels[outcome]})
	v.table.Done(job, outcome, f.deps.Clock.Now())
}

var outcomeLabels = map[chain.Outcome]string{
	chain.Got: "got", chain.Pending: "pending", chain.Idle: "idle",
	chain.Announced: "announced", chain.Corrupted: "corrupted", chain.Failed: "failed",
}

func (f *Fetcher) requestChunk(ctx context.Context, v *version, job chain.Fetch) ([]byte, error) {
	var rc io.ReadCloser
	var err error
	if job.Origin {
		rc, err = f.deps.Origin.Chunk(ctx, v.id, job.Chunk)
	} else {
		var cancel context.CancelFunc
		timeout := transferTimeout
		if job.AnnounceOnly {
			timeout = announceTimeout
		}
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
		self := f.settings.Self
		r := port.ChunkRequest{Version: v.id, Index: job.Chunk, From: self.VM, FromRegion: self.Region, AnnounceOnly: job.AnnounceOnly}
		rc, err = f.deps.Peers.FetchChunk(ctx, job.From.Address, r)
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = rc.Close() }()
	first := make([]byte, 1)
	_, err = io.ReadFull(rc, first)
	if job.AnnounceOnly && errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	size := v.man.Chunks[job.Chunk].Bytes
	t := f.linkLimit.startTransfer(rc, f.deps.Clock.Now())
	rest, err := io.ReadAll(io.LimitReader(t, size))
	// All members share the link of the origin, so that its rate says nothing about this one.
	if !job.Origin {
		t.end(err == nil, size, f.deps.Clock.Now())
	}
	if err != nil {
		return nil, err
	}
	data := append(first, rest...)
	return data, f.sleep(ctx, f.link.In.Reserve(f.deps.Clock.Now(), len(data)))
}

func (f *Fetcher) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.deps.Clock.After(d):
		return nil
	}
}

// chunkAdded returns a channel that is closed when the next chunk is stored.
func (v *version) chunkAdded() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.chunkStored
}

func (v *version) store(i int, data []byte) {
	v.chunks.Put(i, data)
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.chunkStored)
	v.chunkStored = make(chan struct{})
}

// errWatchUnsupported is returned to a member whose deployment uses streams of
// chunk announcements.
var errWatchUnsupported = errors.New("chunks are not announced")

// WatchChunks implements port.PeerHandler. It always fails: members of this
// deployment use announce-only requests instead.
func (f *Fetcher) WatchChunks(context.Context, fleet.Version, fleet.VM, func(port.ChunkUpdate) error) error {
	return errWatchUnsupported
}

// SendChunk implements port.PeerHandler. It waits up to longPollTime for a version
// or chunk that is not held yet. It then returns port.ErrChunkMissing if the
// version is unknown and port.ErrPeerBusy if only the chunk is missing.
func (f *Fetcher) SendChunk(ctx context.Context, r port.ChunkRequest, w io.Writer) error {
	v := f.awaitVersion(ctx, r.Version)
	if v == nil {
		return port.ErrChunkMissing
	}
	data, ok := f.awaitChunk(ctx, v, r.Index)
	if !ok {
		return port.ErrPeerBusy
	}
	if r.AnnounceOnly {
		return nil
	}
	select {
	case f.uploadSlots <- struct{}{}:
	case <-f.deps.Clock.After(slotWait):
		return port.ErrPeerBusy
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.uploadSlots }()
	for len(data) > 0 {
		n := min(maxWriteBytes, len(data))
		if err := f.sleep(ctx, f.link.Out.Reserve(f.deps.Clock.Now(), n)); err != nil {
			return err
		}
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// awaitVersion returns a version once SetVersion was called for it, or nil after
// longPollTime.
func (f *Fetcher) awaitVersion(ctx context.Context, id fleet.Version) *version {
	timeout := f.deps.Clock.After(longPollTime)
	for {
		f.mu.Lock()
		changed := f.versionChanged
		f.mu.Unlock()
		if v := f.findVersion(id); v != nil {
			return v
		}
		select {
		case <-changed:
		case <-timeout:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// awaitChunk returns a chunk once it is held, or false after longPollTime.
func (f *Fetcher) awaitChunk(ctx context.Context, v *version, i int) ([]byte, bool) {
	timeout := f.deps.Clock.After(longPollTime)
	for {
		chunkAdded := v.chunkAdded()
		if data, ok := v.chunks.Get(i); ok {
			return data, true
		}
		select {
		case <-chunkAdded:
		case <-timeout:
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}
