package chunks

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// testCluster is a set of fetchers that reach each other in memory, and an origin.
type testCluster struct {
	members       []chain.Member
	fetchers      map[fleet.Address]*Fetcher
	weights       []byte
	man           manifest.Manifest
	originFetches atomic.Int64
	originRate    int64
	// corruptions is the number of chunks sent by peers that are still to be corrupted.
	corruptions atomic.Int64
	// panics is the number of transfers from peers that are still to panic.
	panics atomic.Int64
	// originDown makes the origin refuse chunks.
	originDown atomic.Bool
	mu         sync.Mutex
	down       map[fleet.Address]bool
}

const chunkBytes = 1 << 10

func newTestCluster(regions, perRegion int) *testCluster {
	tc := &testCluster{fetchers: map[fleet.Address]*Fetcher{}, weights: make([]byte, 64*chunkBytes), down: map[fleet.Address]bool{}}
	for i := range tc.weights {
		tc.weights[i] = byte(i * 7 / 5)
	}
	tc.man = manifest.Split("m", tc.weights, chunkBytes)
	for r := range regions {
		for i := range perRegion {
			vm := fmt.Sprintf("r%d-%d", r, i)
			tc.members = append(tc.members, chain.Member{VM: fleet.VM(vm), Region: fleet.Region(fmt.Sprint(r)), Address: fleet.Address(vm)})
		}
	}
	for _, m := range tc.members {
		tc.fetchers[m.Address] = New(Settings{Self: m}, Deps{
			Peers: tc, Origin: clusterOrigin{tc}, Clock: sysclock.Clock{}, Metrics: noMetrics{},
			Members: func() []chain.Member { return tc.members }, OriginRate: func() int64 { return tc.originRate },
		})
	}
	return tc
}

func (tc *testCluster) stop(a fleet.Address) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.down[a] = true
}

func (tc *testCluster) peer(a fleet.Address) (*Fetcher, error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.down[a] {
		return nil, errors.New("member is down")
	}
	return tc.fetchers[a], nil
}

func (tc *testCluster) Manifest(ctx context.Context, a fleet.Address, v fleet.Version) (manifest.Manifest, error) {
	p, err := tc.peer(a)
	if err != nil {
		return manifest.Manifest{}, err
	}
	found := make(chan bool, 1)
	var man manifest.Manifest
	go func() {
		var ok bool
		man, ok = p.Manifest(v)
		found <- ok
	}()
	select {
	case <-ctx.Done():
		return manifest.Manifest{}, ctx.Err()
	case ok := <-found:
		if !ok {
			return manifest.Manifest{}, port.ErrManifestUnknown
		}
		return man, nil
	}
}

func (tc *testCluster) WatchChunks(context.Context, fleet.Address, fleet.Version, fleet.VM) (port.ChunkStream, error) {
	return nil, errors.New("not used")
}

func (tc *testCluster) FetchChunk(ctx context.Context, a fleet.Address, r port.ChunkRequest) (io.ReadCloser, error) {
	p, err := tc.peer(a)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := p.SendChunk(ctx, r, &out); err != nil {
		return nil, err
	}
	if tc.panics.Add(-1) >= 0 {
		panic("index out of range")
	}
	data := bytes.Clone(out.Bytes())
	if len(data) > 0 && tc.corruptions.Add(-1) >= 0 {
		data[0]++
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

// Chunk returns a chunk from the origin.
func (tc *testCluster) Chunk(_ context.Context, _ fleet.Version, i int) (io.ReadCloser, error) {
	if tc.originDown.Load() {
		return nil, errors.New("connection refused")
	}
	tc.originFetches.Add(1)
	return io.NopCloser(bytes.NewReader(tc.weights[i*chunkBytes : (i+1)*chunkBytes])), nil
}

// clusterOrigin implements port.Origin.
type clusterOrigin struct{ *testCluster }

func (o clusterOrigin) Manifest(context.Context, fleet.Version) (manifest.Manifest, error) {
	return o.man, nil
}

// fetch runs the members with the given indexes and returns once all of them have
// the complete version.
func (tc *testCluster) fetch(t *testing.T, indexes ...int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	id := tc.man.Version()
	for _, i := range indexes {
		f := tc.fetchers[tc.members[i].Address]
		wg.Go(func() { f.Run(ctx) })
		f.SetVersion("m@1", id, tc.man)
	}
	for _, i := range indexes {
		f := tc.fetchers[tc.members[i].Address]
		select {
		case <-f.Completed(id):
		case <-ctx.Done():
			t.Fatalf("%s does not have the complete version", tc.members[i].VM)
		}
		for c := range tc.man.Chunks {
			if data, ok := f.Chunk(id, c); !ok || tc.man.VerifyChunk(c, data) != nil {
				t.Fatalf("%s: chunk %d is missing or corrupted", tc.members[i].VM, c)
			}
		}
	}
}

func firstIndexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestOneCopyFromOrigin guards against more than one copy being fetched from the
// origin, whose link is the bottleneck when a new version is distributed.
func TestOneCopyFromOrigin(t *testing.T) {
	tc := newTestCluster(3, 4)
	tc.fetch(t, firstIndexes(12)...)
	if n := tc.originFetches.Load(); n > 70 {
		t.Errorf("%d chunks were fetched from the origin, want about 64", n)
	}
}

// TestDeadMembersAreSkipped guards against members that never have all chunks
// because they wait for a member that is gone.
func TestDeadMembersAreSkipped(t *testing.T) {
	tc := newTestCluster(2, 4)
	tc.stop("r0-0")
	tc.stop("r1-2")
	tc.fetch(t, 1, 2, 3, 4, 5, 7)
}

// TestCorruptedChunks guards against storing a chunk that was corrupted in transit.
func TestCorruptedChunks(t *testing.T) {
	tc := newTestCluster(1, 3)
	tc.corruptions.Store(5)
	tc.fetch(t, firstIndexes(3)...)
}

// TestPanickingFetches guards against a fault in single transfers that takes their places for
// good, or ends the fetch of the version.
func TestPanickingFetches(t *testing.T) {
	tc := newTestCluster(1, 3)
	tc.panics.Store(30)
	tc.fetch(t, 0, 1, 2)
}

// TestAddChunk guards against fetching chunks that are in the engine's staging area
// already, and against accepting one that was corrupted there.
func TestAddChunk(t *testing.T) {
	tc := newTestCluster(1, 1)
	f := tc.fetchers[tc.members[0].Address]
	f.SetVersion("m@1", tc.man.Version(), tc.man)
	for i := range tc.man.Chunks {
		data := bytes.Clone(tc.weights[i*chunkBytes : (i+1)*chunkBytes])
		if i == 3 {
			data[7]++
		}
		if ok := f.AddChunk(tc.man.Version(), i, data); ok != (i != 3) {
			t.Errorf("chunk %d accepted: %v", i, ok)
		}
	}
	tc.fetch(t, 0)
	if n := tc.originFetches.Load(); n != 1 {
		t.Errorf("%d chunks were fetched, want 1", n)
	}
}

// TestFindManifestByName guards against a member that asks the origin for a manifest
// that another member of its region has.
func TestFindManifestByName(t *testing.T) {
	tc := newTestCluster(1, 3)
	first, last := tc.fetchers["r0-0"], tc.fetchers["r0-2"]
	if _, ok := first.FindManifest(context.Background(), "m@1"); ok {
		t.Error("a manifest was found, but the first member has no member to ask")
	}
	time.AfterFunc(50*time.Millisecond, func() { first.SetVersion("m@1", tc.man.Version(), tc.man) })
	man, ok := last.FindManifest(context.Background(), "m@1")
	if !ok || man.Version() != tc.man.Version() {
		t.Errorf("manifest found: %v, or another version", ok)
	}
}

// TestFindManifestRetries guards against dozens of members that each fetch a
// manifest from the origin because the first member needs longer than longPollTime
// to get it, and against a member that waits for members that are gone.
func TestFindManifestRetries(t *testing.T) {
	tc := newTestCluster(1, 3)
	first, last := tc.fetchers["r0-0"], tc.fetchers["r0-2"]
	time.AfterFunc(2*longPollTime, func() { first.SetVersion("m@1", tc.man.Version(), tc.man) })
	if _, ok := last.FindManifest(context.Background(), "m@1"); !ok {
		t.Error("the manifest was not found")
	}
	tc.stop("r0-0")
	tc.stop("r0-1")
	start := time.Now()
	if _, ok := last.FindManifest(context.Background(), "m@2"); ok || time.Since(start) > manifestRetryTime/2 {
		t.Errorf("found %v after %v", ok, time.Since(start))
	}
}

// TestHeadOfRegionDoesNotWaitForFirstMember guards against all regions that wait for the one
// member that is the last to learn of a version, and against a region whose members ask the origin
// beside its head.
func TestHeadOfRegionDoesNotWaitForFirstMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(2, 4)
		start := time.Now()
		if _, ok := tc.fetchers["r1-0"].FindManifest(t.Context(), "m@1"); ok || time.Since(start) > longPollTime {
			t.Errorf("head of the second region: found %v after %v", ok, time.Since(start))
		}
		// The head has the manifest once it has asked the origin.
		defer time.Sleep(longPollTime) // for the last requests of members to end
		var wg conc.WaitGroup
		defer wg.Wait()
		time.AfterFunc(150*time.Millisecond, func() { tc.fetchers["r1-0"].SetVersion("m@1", tc.man.Version(), tc.man) })
		for _, name := range []fleet.Address{"r1-1", "r1-2", "r1-3"} {
			wg.Go(func() {
				if _, ok := tc.fetchers[name].FindManifest(t.Context(), "m@1"); !ok {
					t.Errorf("%s asks the origin", name)
				}
			})
		}
	})
}

// TestOriginFetchesAreSpaced guards against members that all fetch from the origin
// at the same time: their fetches share its link, so that hardly any chunk is
// complete and can be served to others before the end.
func TestOriginFetchesAreSpaced(t *testing.T) {
	tc := newTestCluster(1, 64)
	tc.originRate = 64 * chunkBytes // a chunk takes 1/64 s
	start := time.Now()
	tc.fetch(t, firstIndexes(64)...)
	if d := time.Since(start); d < 700*time.Millisecond {
		t.Errorf("64 chunks were fetched from the origin within %v; its link takes a second", d)
	}
}

// TestManifestWaitWhileOriginIsDown guards against dozens of members that ask an origin which is back
// for the same manifest, and against an origin that nobody tries.
func TestManifestWaitWhileOriginIsDown(t *testing.T) {
	tc := newTestCluster(3, 33)
	within := 0
	for _, f := range tc.fetchers {
		f.deps.OriginDown = func() bool { return true }
		sources, rank := chain.ManifestSources(f.settings.Self, tc.members)
		if f.manifestWait(len(sources), rank) < time.Second {
			within++
		}
		if f.IsFirst() != (f.manifestWait(len(sources), rank) == 0) {
			t.Errorf("%s: first %v", f.settings.Self.VM, f.IsFirst())
		}
	}
	if within != 3 {
		t.Errorf("%d members try the origin within a second, want the head of each region", within)
	}
}
