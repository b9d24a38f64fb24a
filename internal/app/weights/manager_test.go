package weights_test

import (
	"context"
	"crypto/sha256"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/port"

	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/bench/spread/cluster"
)

var smallVersion = origin.Version{Model: "m", Bytes: 1<<20 + 17, ChunkBytes: 16 << 10, Seed: 7}

func startCluster(t *testing.T, cfg cluster.Config) *cluster.Cluster {
	t.Helper()
	c, err := cluster.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func waitComplete(t *testing.T, c *cluster.Cluster, d time.Duration) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	took, err := c.WaitComplete(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return took
}

// TestAllAgentsComplete guards against weights that are incomplete or differ from
// those of the origin, and against more copies from the origin than allowed.
func TestAllAgentsComplete(t *testing.T) {
	c := startCluster(t, cluster.Config{Machines: 12, Regions: 3, Version: smallVersion})
	c.SetVersion()
	t.Logf("took %v", waitComplete(t, c, 20*time.Second))
	want := sha256.Sum256(smallVersion.GenerateWeights())
	for _, a := range c.Agents {
		r, n, ok := a.Manager.Open(c.Target.Version)
		h := sha256.New()
		if _, err := io.Copy(h, r); !ok || err != nil || n != int64(smallVersion.Bytes) || [32]byte(h.Sum(nil)) != want {
			t.Fatalf("%s holds other weights", a.VM)
		}
	}
	got := c.LinkUsage()
	t.Logf("%+v", got)
	if got.Origin > 4 {
		t.Fatalf("the origin sent %.2f copies", got.Origin)
	}
}

// waitProgress waits until ok returns true for the progress of one agent.
func waitProgress(t *testing.T, a *cluster.Agent, what string, ok func(port.Progress) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok(a.Manager.Progress()) {
			return
		}
	}
	t.Fatalf("%s: not %s: %+v", a.VM, what, a.Manager.Progress())
}

func targetOf(v origin.Version) port.WantedVersion {
	return port.WantedVersion{Model: v.Model, Version: v.Manifest().Version()}
}

// TestVersionChangesMidway guards against a released version that keeps its memory,
// its transfers or its watchers, and against a new version that waits for them.
func TestVersionChangesMidway(t *testing.T) {
	next := smallVersion
	next.Seed = 8
	c := startCluster(t, cluster.Config{
		Machines: 6, Regions: 2, Version: smallVersion, OtherVersions: []origin.Version{next}, MachineRate: 512 << 10,
		Memory: int64(smallVersion.Bytes),
	})
	c.SetVersion()
	waitProgress(t, c.Agents[0], "half way", func(p port.Progress) bool { return p.ChunksHave > 20 })
	old := c.Target
	c.Target = targetOf(next)
	c.SetVersion()
	waitComplete(t, c, 20*time.Second)
	for _, a := range c.Agents {
		if _, ok := a.Manager.Manifest(old.Version); ok {
			t.Fatalf("%s still serves the old version", a.VM)
		}
	}
}

// TestMemoryLimit guards against a version that is fetched beyond the memory limit,
// and against a version that blocks one of a higher priority.
func TestMemoryLimit(t *testing.T) {
	next := smallVersion
	next.Seed = 8
	c := startCluster(t, cluster.Config{
		Machines: 1, Regions: 1, Version: smallVersion, OtherVersions: []origin.Version{next}, MachineRate: 1 << 20,
		Memory: int64(smallVersion.Bytes) + 100,
	})
	m := c.Agents[0].Manager
	m.Want([]port.WantedVersion{c.Target})
	waitProgress(t, c.Agents[0], "fetching", func(p port.Progress) bool { return p.ChunksHave > 2 })
	m.Want([]port.WantedVersion{targetOf(next), c.Target})
	waitProgress(t, c.Agents[0], "limited", func(p port.Progress) bool {
		_, _, ok := m.Open(targetOf(next).Version)
		return ok && p.Target == c.Target.Version && strings.HasPrefix(p.Reason, "memory limit")
	})
}

// TestOriginOutage guards against a fetch that does not continue after the origin
// hung, and against progress that states no reason during the outage.
func TestOriginOutage(t *testing.T) {
	c := startCluster(t, cluster.Config{Machines: 6, Regions: 2, Version: smallVersion, OriginRate: 1 << 20})
	c.SetVersion()
	waitProgress(t, c.Agents[0], "started", func(p port.Progress) bool { return p.ChunksHave > 5 })
	c.Origin.SetFaults(origin.Faults{Hang: true})
	for _, a := range c.Agents {
		waitProgress(t, a, "waiting", func(p port.Progress) bool {
			return p.Reason == "waiting for origin" || strings.HasPrefix(p.Reason, "no peer has chunk")
		})
	}
	c.Origin.SetFaults(origin.Faults{})
	waitComplete(t, c, 20*time.Second)
}

// TestFaults guards against a distribution that stops when one machine hangs with
// its connections open, another restarts empty, and chunks from machines and the
// origin arrive corrupted. It also guards against storing corrupted chunks.
func TestFaults(t *testing.T) {
	c := startCluster(t, cluster.Config{
		Machines: 10, Regions: 2, Version: smallVersion, MachineRate: 512 << 10, OriginRate: 2 << 20, Corrupt: 0.05,
	})
	c.Origin.SetFaults(origin.Faults{Corrupt: 0.05})
	c.SetVersion()
	waitProgress(t, c.Agents[1], "half way", func(p port.Progress) bool { return p.ChunksHave > 30 })
	c.Agents[0].FreezeUnnoticed()
	c.Agents[3].Stop()
	if err := c.Restart(3); err != nil {
		t.Fatal(err)
	}
	t.Logf("took %v, %+v", waitComplete(t, c, 30*time.Second), c.LinkUsage())
	want := sha256.Sum256(smallVersion.GenerateWeights())
	for _, a := range c.Agents {
		if a.IsLost() {
			continue
		}
		r, _, _ := a.Manager.Open(c.Target.Version)
		h := sha256.New()
		if _, err := io.Copy(h, r); err != nil || [32]byte(h.Sum(nil)) != want {
			t.Fatalf("%s holds other weights", a.VM)
		}
	}
}

// TestManyRegions guards against regions beyond the third that fetch all chunks
// from the origin or never get them.
func TestManyRegions(t *testing.T) {
	c := startCluster(t, cluster.Config{Machines: 20, Regions: 5, Version: smallVersion, RegionRate: 2 << 20, OriginRate: 4 << 20})
	c.SetVersion()
	took := waitComplete(t, c, 20*time.Second)
	got := c.LinkUsage()
	t.Logf("took %v, %+v", took, got)
	if got.Origin > 4 || got.RegionMax > 1.2 {
		t.Fatalf("too many copies: %+v", got)
	}
}

// TestLiveTrafficHasPriority guards against transfers of weights that take link
// capacity from live traffic: while responses of the sender, or request bodies of
// the receiver, use three quarters of the link, the transfer gets the rest.
func TestLiveTrafficHasPriority(t *testing.T) {
	t.Run("responses", func(t *testing.T) {
		testLiveTraffic(t, func(c *cluster.Cluster, n int) { c.Agents[0].Manager.ChargeLiveTraffic(0, n) })
	})
	t.Run("bodies", func(t *testing.T) {
		testLiveTraffic(t, func(c *cluster.Cluster, n int) { c.Agents[1].Manager.ChargeLiveTraffic(n, 0) })
	})
}

func testLiveTraffic(t *testing.T, charge func(c *cluster.Cluster, n int)) {
	const rate = 2 << 20
	c := startCluster(t, cluster.Config{Machines: 2, Regions: 1, Version: smallVersion, MachineRate: rate})
	c.Agents[0].Manager.Want([]port.WantedVersion{c.Target})
	waitProgress(t, c.Agents[0], "complete", func(p port.Progress) bool { return p.ChunksHave == p.Chunks && p.Chunks > 0 })
	begin := time.Now()
	c.Agents[1].Manager.Want([]port.WantedVersion{c.Target})
	for {
		if _, _, ok := c.Agents[1].Manager.Open(c.Target.Version); ok {
			break
		}
		charge(c, rate/100*3/4)
		time.Sleep(10 * time.Millisecond)
	}
	// Without live traffic the transfer takes half a second.
	if d := time.Since(begin); d < time.Second {
		t.Fatalf("the transfer took %v beside live traffic", d)
	}
}
