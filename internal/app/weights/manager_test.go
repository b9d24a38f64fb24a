package weights_test

import (
	"context"
	"crypto/sha256"
	"io"
	"testing"
	"time"

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
