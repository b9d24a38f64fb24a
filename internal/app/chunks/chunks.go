// Package chunks fetches the chunks of one version at a time from other members
// and the origin, along the chains of package chain, and serves them to others.
package chunks

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/chain"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/pace"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// asks is the number of chunks that other members are asked for at a time.
	// Most of them are on their way there, and are told of as soon as they come.
	asks = 32
	// transfers is the number of chunks that arrive at a time. More of them fill a
	// link that is narrower than declared for seconds; with fewer the link is idle
	// between two chunks.
	transfers = 6
	// askTimeout bounds a question, which a live member answers within twice
	// holdTime. Others wait for the chunks of a member that is gone.
	askTimeout = 800 * time.Millisecond
	// fetchTimeout bounds the transfer of a chunk from a member. It covers slotTime,
	// and the transfer over links that several share.
	fetchTimeout = 1500 * time.Millisecond
	// recheck bounds the time until a pause of the table has passed.
	recheck = 20 * time.Millisecond
	// holdTime is the time for which a member that asks for a chunk that is on
	// its way is kept waiting.
	holdTime = 300 * time.Millisecond
	// slotTime is the time for which it waits for a slot after that.
	slotTime = 600 * time.Millisecond
	// writeBytes is the most that is written before the link's budget is
	// consulted. 8 KiB take 9 ms on the link of an engine's VM, by which they
	// delay the events of the engine's streams.
	writeBytes = 8 << 10
	// uploads bounds the chunks sent at a time. A chunk that is sent alone arrives
	// earlier and is passed on earlier.
	uploads = 3
)

// Settings of a Fetcher.
type Settings struct {
	Self chain.Member
	// InRate and OutRate limit the link in bytes per second; 0 means no limit.
	InRate, OutRate int64
}

// Deps are the ports that a Fetcher uses.
type Deps struct {
	Peers   port.PeerClient
	Origin  port.Origin
	Clock   port.Clock
	Metrics port.Metrics
	// OriginRate returns the speed of the origin's link in bytes per second, or zero
	// if it is not known.
	OriginRate func() int64
	// Members returns the members that may hold or fetch versions.
	Members func() []chain.Member
}

// Fetcher implements port.PeerHandler.
type Fetcher struct {
	set   Settings
	deps  Deps
	link  pace.Link
	slots chan struct{}
	wake  chan struct{}

	mu      sync.Mutex // guards the following
	current *version
	// previous stays available to members that still fetch it.
	previous *version
	// wanted is closed and replaced with each version that is wanted.
	wanted chan struct{}
}

// version is one version, complete or not.
type version struct {
	id fleet.Version
	// name is what members call the version before they know its digest.
	name   fleet.Version
	man    manifest.Manifest
	table  *chain.Table
	chunks *shard.Map[int, []byte]
	cancel context.CancelFunc
	// arrived is closed and replaced with each chunk that arrives.
	mu      sync.Mutex
	arrived chan struct{}
	done    chan struct{}
}

var _ port.PeerHandler = (*Fetcher)(nil)

// New returns a fetcher that wants nothing.
func New(s Settings, d Deps) *Fetcher {
	return &Fetcher{
		set: s, deps: d, link: pace.NewLink(s.InRate, s.OutRate, d.Clock.Now()),
		slots: make(chan struct{}, uploads), wake: make(chan struct{}, 1), wanted: make(chan struct{}),
	}
}

// Want makes the fetcher work towards a version. Members that do not know its
// digest yet find its manifest by the name.
func (f *Fetcher) Want(name, id fleet.Version, man manifest.Manifest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.id == id {
		return
	}
	// The fetch of the version before goes on: it is mostly done, and may be needed
	// before the new one is complete.
	if f.previous != nil && f.previous.cancel != nil {
		f.previous.cancel()
	}
	f.previous = f.current
	table := chain.NewTable(len(man.Chunks), f.set.Self, f.deps.Members())
	if rate := f.deps.OriginRate(); rate > 0 && len(man.Chunks) > 0 {
		table.PaceOrigin(time.Duration(man.Chunks[0].Bytes)*time.Second/time.Duration(rate), f.deps.Clock.Now())
	}
	f.current = &version{
		id: id, name: name, man: man, table: table,
		chunks: shard.New[int, []byte](8), arrived: make(chan struct{}), done: make(chan struct{}),
	}
	close(f.wanted)
	f.wanted = make(chan struct{})
	signal(f.wake)
}

func (f *Fetcher) find(id fleet.Version) *version {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range []*version{f.current, f.previous} {
		if v != nil && (v.id == id || v.name == id) {
			return v
		}
	}
	return nil
}

// Complete returns a channel that is closed once the version is complete. It
// returns nil for a version that is not wanted.
func (f *Fetcher) Complete(id fleet.Version) <-chan struct{} {
	if v := f.find(id); v != nil {
		return v.done
	}
	return nil
}

// Chunk returns a verified chunk.
func (f *Fetcher) Chunk(id fleet.Version, i int) ([]byte, bool) {
	v := f.find(id)
	if v == nil {
		return nil, false
	}
	return v.chunks.Get(i)
}

// Add keeps a chunk that was found elsewhere, if it is intact.
func (f *Fetcher) Add(id fleet.Version, i int, data []byte) bool {
	v := f.find(id)
	if v == nil || v.man.Verify(i, data) != nil {
		return false
	}
	v.table.MarkHeld(i)
	v.store(i, data)
	return true
}

// Run fetches what is wanted until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		f.mu.Lock()
		v := f.current
		var vctx context.Context
		if v != nil && v.cancel == nil {
			vctx, v.cancel = context.WithCancel(ctx)
		}
		f.mu.Unlock()
		if vctx != nil {
			wg.Go(func() { f.fetch(vctx, v) })
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		}
	}
}

// fetch starts fetches until the version is complete or ctx ends.
func (f *Fetcher) fetch(ctx context.Context, v *version) {
	var wg conc.WaitGroup
	defer wg.Wait()
	run := &round{asks: newLimit(asks), transfers: newLimit(transfers), ended: make(chan struct{}, 1)}
	members := f.deps.Clock.Now()
	for ctx.Err() == nil {
		if v.table.MissingCount() == 0 {
			close(v.done)
			return
		}
		now := f.deps.Clock.Now()
		if now.Sub(members) >= membersEvery {
			members = now
			v.table.SetMembers(f.set.Self, f.deps.Members())
		}
		job, ok := v.table.Next(chain.Capacity{AnnounceOnly: run.asks.free(), Data: run.transfers.free()}, now)
		if !ok {
			f.pause(ctx, v, run)
			continue
		}
		limit := run.transfers
		if job.AnnounceOnly {
			limit = run.asks
		}
		limit.take()
		wg.Go(func() {
			f.one(ctx, v, job, run)
			limit.give()
			signal(run.ended)
		})
	}
}

// round is the state of the fetches of one version.
type round struct {
	asks, transfers *limit
	// ended receives after a fetch has ended.
	ended chan struct{}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// membersEvery is the time between two looks at the members.
const membersEvery = 500 * time.Millisecond

// pause waits for a fetch to end, or for pauses of the table to pass.
func (f *Fetcher) pause(ctx context.Context, v *version, run *round) {
	select {
	case <-ctx.Done():
	case <-run.ended:
	case <-v.next():
	case <-f.deps.Clock.After(recheck):
	}
}

// one makes one fetch.
func (f *Fetcher) one(ctx context.Context, v *version, job chain.Fetch, run *round) {
	data, err := f.receive(ctx, v, job, run.transfers)
	outcome := chain.Failed
	switch {
	case err == nil && job.AnnounceOnly:
		outcome = chain.Announced
	case err == nil && v.man.Verify(job.Chunk, data) == nil:
		outcome = chain.Got
		v.store(job.Chunk, data)
	case errors.Is(err, port.ErrPeerBusy):
		outcome = chain.Pending
	case errors.Is(err, port.ErrChunkMissing):
		outcome = chain.Idle
	}
	source := "origin"
	if !job.Origin {
		source = "other_region"
		if job.From.Region == f.set.Self.Region {
			source = "own_region"
		}
	}
	f.deps.Metrics.Count("chunk_fetches_total", 1, port.Attr{Key: "source", Value: source},
		port.Attr{Key: "outcome", Value: outcomes[outcome]})
	v.table.Done(job, outcome, f.deps.Clock.Now())
}

var outcomes = map[chain.Outcome]string{
	chain.Got: "got", chain.Pending: "pending", chain.Idle: "idle",
	chain.Announced: "announced", chain.Failed: "failed",
}

func (f *Fetcher) receive(ctx context.Context, v *version, job chain.Fetch, transfers *limit) ([]byte, error) {
	var rc io.ReadCloser
	var err error
	if job.Origin {
		rc, err = f.deps.Origin.Chunk(ctx, v.id, job.Chunk)
	} else {
		var cancel context.CancelFunc
		timeout := fetchTimeout
		if job.AnnounceOnly {
			timeout = askTimeout
		}
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
		self := f.set.Self
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
	start := f.deps.Clock.Now()
	rest, err := io.ReadAll(io.LimitReader(rc, v.man.Chunks[job.Chunk].Bytes))
	if err != nil {
		return nil, err
	}
	data := append(first, rest...)
	now := f.deps.Clock.Now()
	transfers.arrived(len(data), now.Sub(start), f.set.InRate, now)
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

func (v *version) next() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.arrived
}

func (v *version) store(i int, data []byte) {
	v.chunks.Put(i, data)
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.arrived)
	v.arrived = make(chan struct{})
}

// Manifest implements port.PeerHandler. A member that asks is kept waiting for a
// moment, since members learn of a version some milliseconds apart.
func (f *Fetcher) Manifest(id fleet.Version) (manifest.Manifest, bool) {
	v := f.awaitVersion(context.Background(), id)
	if v == nil {
		return manifest.Manifest{}, false
	}
	return v.man, true
}

const (
	// manifestSources bounds the members that are asked for a manifest.
	manifestSources = 2
	// manifestPatience is the time for which members that can be reached are asked
	// again. The first one draws two manifests from the origin meanwhile; if all did,
	// these would take half a second of the origin's link.
	manifestPatience = 1500 * time.Millisecond
	// manifestTimeout bounds one question, which is kept for holdTime.
	manifestTimeout = holdTime + 250*time.Millisecond
)

// Resolve asks other members for the manifest of a named version. It returns
// false if this member has to ask the origin.
func (f *Fetcher) Resolve(ctx context.Context, name fleet.Version) (manifest.Manifest, bool) {
	end := f.deps.Clock.Now().Add(manifestPatience)
	for ctx.Err() == nil && f.deps.Clock.Now().Before(end) {
		sources := chain.ManifestSources(f.set.Self, f.deps.Members())
		waiting := false
		for _, m := range sources[:min(manifestSources, len(sources))] {
			man, err := f.ask(ctx, m, name)
			if err == nil {
				return man, true
			}
			waiting = waiting || errors.Is(err, port.ErrManifestUnknown)
		}
		if !waiting {
			break
		}
	}
	return manifest.Manifest{}, false
}

func (f *Fetcher) ask(ctx context.Context, m chain.Member, name fleet.Version) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	man, err := f.deps.Peers.Manifest(ctx, m.Address, name)
	if err != nil {
		return manifest.Manifest{}, err
	}
	return man, man.Check(man.Version())
}

// errNoWatch is returned to a member of another kind of deployment.
var errNoWatch = errors.New("chunks are not announced")

// WatchChunks implements port.PeerHandler.
func (f *Fetcher) WatchChunks(context.Context, fleet.Version, fleet.VM, func(port.ChunkUpdate) error) error {
	return errNoWatch
}

// SendChunk implements port.PeerHandler. A member that works towards the version
// keeps the caller waiting for a moment before it says that the chunk is still
// on its way.
func (f *Fetcher) SendChunk(ctx context.Context, r port.ChunkRequest, w io.Writer) error {
	v := f.awaitVersion(ctx, r.Version)
	if v == nil {
		return port.ErrChunkMissing
	}
	data, ok := f.await(ctx, v, r.Index)
	if !ok {
		return port.ErrPeerBusy
	}
	if r.AnnounceOnly {
		return nil
	}
	select {
	case f.slots <- struct{}{}:
	case <-f.deps.Clock.After(slotTime):
		return port.ErrPeerBusy
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.slots }()
	for len(data) > 0 {
		n := min(writeBytes, len(data))
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

// awaitVersion returns a version once this member wants it, or nil after a
// moment. Members learn of a version some milliseconds apart.
func (f *Fetcher) awaitVersion(ctx context.Context, id fleet.Version) *version {
	late := f.deps.Clock.After(holdTime)
	for {
		f.mu.Lock()
		next := f.wanted
		f.mu.Unlock()
		if v := f.find(id); v != nil {
			return v
		}
		select {
		case <-next:
		case <-late:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// await returns a chunk once it is there, or false after a moment.
func (f *Fetcher) await(ctx context.Context, v *version, i int) ([]byte, bool) {
	late := f.deps.Clock.After(holdTime)
	for {
		next := v.next()
		if data, ok := v.chunks.Get(i); ok {
			return data, true
		}
		select {
		case <-next:
		case <-late:
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}
