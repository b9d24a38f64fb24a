package chunks

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/chain"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/port"
)

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

// bed is a set of fetchers that reach each other in memory, and an origin.
type bed struct {
	members  []chain.Member
	fetchers map[fleet.Address]*Fetcher
	weights  []byte
	man      manifest.Manifest
	drawn    atomic.Int64
	rate     int64
	// spoilt makes that many chunks of peers wrong.
	spoilt atomic.Int64
	mu     sync.Mutex
	dead   map[fleet.Address]bool
}

const chunkBytes = 1 << 10

func newBed(regions, each int) *bed {
	b := &bed{fetchers: map[fleet.Address]*Fetcher{}, weights: make([]byte, 64*chunkBytes), dead: map[fleet.Address]bool{}}
	for i := range b.weights {
		b.weights[i] = byte(i * 7 / 5)
	}
	b.man = manifest.Split("m", b.weights, chunkBytes)
	for r := range regions {
		for i := range each {
			vm := fmt.Sprintf("r%d-%d", r, i)
			b.members = append(b.members, chain.Member{VM: fleet.VM(vm), Region: fleet.Region(fmt.Sprint(r)), Address: fleet.Address(vm)})
		}
	}
	for _, m := range b.members {
		b.fetchers[m.Address] = New(Settings{Self: m}, Deps{
			Peers: b, Origin: originOnly{b}, Clock: sysclock.Clock{}, Metrics: noMetrics{},
			Members: func() []chain.Member { return b.members }, OriginRate: func() int64 { return b.rate },
		})
	}
	return b
}

func (b *bed) kill(a fleet.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dead[a] = true
}

func (b *bed) peer(a fleet.Address) (*Fetcher, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead[a] {
		return nil, errors.New("no answer")
	}
	return b.fetchers[a], nil
}

func (b *bed) Manifest(_ context.Context, a fleet.Address, v fleet.Version) (manifest.Manifest, error) {
	p, err := b.peer(a)
	if err != nil {
		return manifest.Manifest{}, err
	}
	if man, ok := p.Manifest(v); ok {
		return man, nil
	}
	return manifest.Manifest{}, port.ErrManifestUnknown
}

func (b *bed) WatchChunks(context.Context, fleet.Address, fleet.Version, fleet.VM) (port.ChunkStream, error) {
	return nil, errors.New("not used")
}

func (b *bed) FetchChunk(ctx context.Context, a fleet.Address, r port.ChunkRequest) (io.ReadCloser, error) {
	p, err := b.peer(a)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := p.SendChunk(ctx, r, &out); err != nil {
		return nil, err
	}
	data := bytes.Clone(out.Bytes())
	if len(data) > 0 && b.spoilt.Add(-1) >= 0 {
		data[0]++
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

// Chunk returns a chunk of the origin.
func (b *bed) Chunk(_ context.Context, _ fleet.Version, i int) (io.ReadCloser, error) {
	b.drawn.Add(1)
	return io.NopCloser(bytes.NewReader(b.weights[i*chunkBytes : (i+1)*chunkBytes])), nil
}

// originOnly implements port.Origin.
type originOnly struct{ *bed }

func (o originOnly) Manifest(context.Context, fleet.Version) (manifest.Manifest, error) {
	return o.man, nil
}

// run makes the members with the given indexes fetch, and returns once all are
// complete.
func (b *bed) run(t *testing.T, who ...int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	id := b.man.Version()
	for _, i := range who {
		f := b.fetchers[b.members[i].Address]
		wg.Go(func() { f.Run(ctx) })
		f.Want("m@1", id, b.man)
	}
	for _, i := range who {
		f := b.fetchers[b.members[i].Address]
		select {
		case <-f.Complete(id):
		case <-ctx.Done():
			t.Fatalf("%s is not complete", b.members[i].VM)
		}
		for c := range b.man.Chunks {
			if data, ok := f.Chunk(id, c); !ok || b.man.VerifyChunk(c, data) != nil {
				t.Fatalf("%s: chunk %d", b.members[i].VM, c)
			}
		}
	}
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestOneCopyFromTheOrigin guards against more than one copy from the origin,
// whose link is the bottleneck of a new version.
func TestOneCopyFromTheOrigin(t *testing.T) {
	b := newBed(3, 4)
	b.run(t, all(12)...)
	if n := b.drawn.Load(); n > 70 {
		t.Errorf("%d chunks of 64 left the origin", n)
	}
}

// TestDeadMembersAreSkipped guards against members that never complete because
// one that they wait for is gone.
func TestDeadMembersAreSkipped(t *testing.T) {
	b := newBed(2, 4)
	b.kill("r0-0")
	b.kill("r1-2")
	b.run(t, 1, 2, 3, 4, 5, 7)
}

// TestSpoiltChunks guards against a chunk that was spoilt on the way and is kept.
func TestSpoiltChunks(t *testing.T) {
	b := newBed(1, 3)
	b.spoilt.Store(5)
	b.run(t, all(3)...)
}

// TestHeldChunks guards against a fetch of chunks that are in the engine's area
// already, and against one that has gone bad there.
func TestHeldChunks(t *testing.T) {
	b := newBed(1, 1)
	f := b.fetchers[b.members[0].Address]
	f.Want("m@1", b.man.Version(), b.man)
	for i := range b.man.Chunks {
		data := bytes.Clone(b.weights[i*chunkBytes : (i+1)*chunkBytes])
		if i == 3 {
			data[7]++
		}
		if ok := f.Add(b.man.Version(), i, data); ok != (i != 3) {
			t.Errorf("chunk %d kept: %v", i, ok)
		}
	}
	b.run(t, 0)
	if n := b.drawn.Load(); n != 1 {
		t.Errorf("%d chunks were fetched, want 1", n)
	}
}

// TestNamedManifest guards against a member that asks the origin for a manifest
// that another member of its region has.
func TestNamedManifest(t *testing.T) {
	b := newBed(1, 3)
	first, last := b.fetchers["r0-0"], b.fetchers["r0-2"]
	if _, ok := first.Resolve(context.Background(), "m@1"); ok {
		t.Error("the first of the chain asks nobody")
	}
	time.AfterFunc(50*time.Millisecond, func() { first.Want("m@1", b.man.Version(), b.man) })
	man, ok := last.Resolve(context.Background(), "m@1")
	if !ok || man.Version() != b.man.Version() {
		t.Errorf("manifest found: %v", ok)
	}
}

// TestManifestIsWaitedFor guards against dozens of members that each draw a
// manifest from the origin because the first one needs longer than a question is
// kept for, and against one that waits for members that are gone.
func TestManifestIsWaitedFor(t *testing.T) {
	b := newBed(1, 3)
	first, last := b.fetchers["r0-0"], b.fetchers["r0-2"]
	time.AfterFunc(2*holdTime, func() { first.Want("m@1", b.man.Version(), b.man) })
	if _, ok := last.Resolve(context.Background(), "m@1"); !ok {
		t.Error("the manifest was not waited for")
	}
	b.kill("r0-0")
	b.kill("r0-1")
	start := time.Now()
	if _, ok := last.Resolve(context.Background(), "m@2"); ok || time.Since(start) > manifestPatience/2 {
		t.Errorf("found %v after %v", ok, time.Since(start))
	}
}

// TestOriginInTurn guards against members that all fetch from the origin at a
// time: they share its link, and nothing is there to pass on before the end.
func TestOriginInTurn(t *testing.T) {
	b := newBed(1, 64)
	b.rate = 64 * chunkBytes // a chunk takes 1/64 s
	start := time.Now()
	b.run(t, all(64)...)
	if d := time.Since(start); d < 700*time.Millisecond {
		t.Errorf("64 chunks were drawn within %v, the link takes a second", d)
	}
}
