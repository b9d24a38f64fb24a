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

var small = origin.Version{Model: "m", Bytes: 1<<20 + 17, ChunkBytes: 16 << 10, Seed: 7}

func start(t *testing.T, cfg cluster.Config) *cluster.Cluster {
	t.Helper()
	c, err := cluster.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func wait(t *testing.T, c *cluster.Cluster, d time.Duration) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	took, err := c.Wait(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return took
}

// TestCompletes guards against weights that are incomplete or differ from the
// origin's, and against more than the origin's budget.
func TestCompletes(t *testing.T) {
	c := start(t, cluster.Config{Machines: 12, Regions: 3, Version: small})
	c.Want()
	t.Logf("took %v", wait(t, c, 20*time.Second))
	want := sha256.Sum256(small.Make())
	for _, a := range c.Agents {
		r, n, ok := a.Manager.Open(c.Target.Version)
		h := sha256.New()
		if _, err := io.Copy(h, r); !ok || err != nil || n != int64(small.Bytes) || [32]byte(h.Sum(nil)) != want {
			t.Fatalf("%s holds other weights", a.VM)
		}
	}
	got := c.Copies()
	t.Logf("%+v", got)
	if got.Origin > 4 {
		t.Fatalf("the origin gave %.2f copies", got.Origin)
	}
}

// until waits for a condition of one machine's progress.
func until(t *testing.T, a *cluster.Agent, what string, ok func(port.Progress) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok(a.Manager.Progress()) {
			return
		}
	}
	t.Fatalf("%s: not %s: %+v", a.VM, what, a.Manager.Progress())
}

func target(v origin.Version) port.WantedVersion {
	return port.WantedVersion{Model: v.Model, Version: v.Manifest().Version()}
}

// TestVersionChangesMidway guards against a released version that keeps its
// memory, its transfers or its watchers, and against a new one that waits for
// it.
func TestVersionChangesMidway(t *testing.T) {
	next := small
	next.Seed = 8
	c := start(t, cluster.Config{
		Machines: 6, Regions: 2, Version: small, Others: []origin.Version{next}, MachineRate: 512 << 10,
		Memory: int64(small.Bytes),
	})
	c.Want()
	until(t, c.Agents[0], "half way", func(p port.Progress) bool { return p.ChunksHave > 20 })
	old := c.Target
	c.Target = target(next)
	c.Want()
	wait(t, c, 20*time.Second)
	for _, a := range c.Agents {
		if _, ok := a.Manager.Manifest(old.Version); ok {
			t.Fatalf("%s still serves the old version", a.VM)
		}
	}
}

// TestMemoryLimit guards against a version that is fetched beyond the memory
// limit, and against a less important one that keeps a more important one out.
func TestMemoryLimit(t *testing.T) {
	next := small
	next.Seed = 8
	c := start(t, cluster.Config{
		Machines: 1, Regions: 1, Version: small, Others: []origin.Version{next}, MachineRate: 1 << 20,
		Memory: int64(small.Bytes) + 100,
	})
	m := c.Agents[0].Manager
	m.Want([]port.WantedVersion{c.Target})
	until(t, c.Agents[0], "fetching", func(p port.Progress) bool { return p.ChunksHave > 2 })
	m.Want([]port.WantedVersion{target(next), c.Target})
	until(t, c.Agents[0], "limited", func(p port.Progress) bool {
		_, _, ok := m.Open(target(next).Version)
		return ok && p.Target == c.Target.Version && strings.HasPrefix(p.Reason, "memory limit")
	})
}

// TestOriginOutage guards against a version that does not continue after the
// origin hung, and against an outage without a reason.
func TestOriginOutage(t *testing.T) {
	c := start(t, cluster.Config{Machines: 6, Regions: 2, Version: small, OriginRate: 1 << 20})
	c.Want()
	until(t, c.Agents[0], "started", func(p port.Progress) bool { return p.ChunksHave > 5 })
	c.Origin.SetFaults(origin.Faults{Hang: true})
	for _, a := range c.Agents {
		until(t, a, "waiting", func(p port.Progress) bool {
			return p.Reason == "waiting for origin" || strings.HasPrefix(p.Reason, "no peer has chunk")
		})
	}
	c.Origin.SetFaults(origin.Faults{})
	wait(t, c, 20*time.Second)
}

// TestFaults guards against a spread that stops when a machine hangs without
// anybody noticing, another restarts empty, and chunks arrive corrupted from
// machines and from the origin; and against corrupted chunks that are kept.
func TestFaults(t *testing.T) {
	c := start(t, cluster.Config{
		Machines: 10, Regions: 2, Version: small, MachineRate: 512 << 10, OriginRate: 2 << 20, Corrupt: 0.05,
	})
	c.Origin.SetFaults(origin.Faults{Corrupt: 0.05})
	c.Want()
	until(t, c.Agents[1], "half way", func(p port.Progress) bool { return p.ChunksHave > 30 })
	c.Agents[0].Hang()
	c.Agents[3].Stop()
	if err := c.Restart(3); err != nil {
		t.Fatal(err)
	}
	t.Logf("took %v, %+v", wait(t, c, 30*time.Second), c.Copies())
	want := sha256.Sum256(small.Make())
	for _, a := range c.Agents {
		if a.Lost() {
			continue
		}
		r, _, _ := a.Manager.Open(c.Target.Version)
		h := sha256.New()
		if _, err := io.Copy(h, r); err != nil || [32]byte(h.Sum(nil)) != want {
			t.Fatalf("%s holds other weights", a.VM)
		}
	}
}

// TestManyRegions guards against regions beyond the third that draw all chunks
// from the origin, or never get them.
func TestManyRegions(t *testing.T) {
	c := start(t, cluster.Config{Machines: 20, Regions: 5, Version: small, RegionRate: 2 << 20, OriginRate: 4 << 20})
	c.Want()
	took := wait(t, c, 20*time.Second)
	got := c.Copies()
	t.Logf("took %v, %+v", took, got)
	if got.Origin > 4 || got.RegionMax > 1.2 {
		t.Fatalf("too many copies: %+v", got)
	}
}

// TestLiveTrafficFirst guards against transfers of weights that take the link
// from live traffic: while answers of the sender, or request bodies of the
// receiver, use three quarters of it, the spread gets the rest.
func TestLiveTrafficFirst(t *testing.T) {
	t.Run("answers", func(t *testing.T) {
		liveFirst(t, func(c *cluster.Cluster, n int) { c.Agents[0].Manager.ChargeLiveTraffic(0, n) })
	})
	t.Run("bodies", func(t *testing.T) {
		liveFirst(t, func(c *cluster.Cluster, n int) { c.Agents[1].Manager.ChargeLiveTraffic(n, 0) })
	})
}

func liveFirst(t *testing.T, charge func(c *cluster.Cluster, n int)) {
	const rate = 2 << 20
	c := start(t, cluster.Config{Machines: 2, Regions: 1, Version: small, MachineRate: rate})
	c.Agents[0].Manager.Want([]port.WantedVersion{c.Target})
	until(t, c.Agents[0], "complete", func(p port.Progress) bool { return p.ChunksHave == p.Chunks && p.Chunks > 0 })
	begin := time.Now()
	c.Agents[1].Manager.Want([]port.WantedVersion{c.Target})
	for {
		if _, _, ok := c.Agents[1].Manager.Open(c.Target.Version); ok {
			break
		}
		charge(c, rate/100*3/4)
		time.Sleep(10 * time.Millisecond)
	}
	// Without live traffic it takes half a second.
	if d := time.Since(begin); d < time.Second {
		t.Fatalf("the spread took %v beside live traffic", d)
	}
}
