// Package proof runs a small deployment of real processes under failures and
// checks what must always hold, from histories that callers, engines, services
// and daemons recorded. docs/proofs.md lists which guarantee each test proves.
package proof

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/harness"
)

// Bounds of the design page.
const (
	configBound = 7 * time.Second
	cordonBound = 3 * time.Second
	// silentBound is the time after which a silent connection is given up.
	silentBound = 2 * time.Second
	// waitBound bounds waits for which the page has no bound, such as a spread.
	waitBound = 30 * time.Second
)

var seedFlag = flag.Uint64("seed", 0, "seed of the random choices; 0 draws one")

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// world is a deployment with the histories of one test.
type world struct {
	*harness.Deployment
	t   *testing.T
	ctx context.Context
	rnd *rand.Rand
	history
	revs revisions

	versions map[string]string            // digest by name
	weights  map[string][sha256.Size]byte // digest of the weights by version
	load     *load
	monitor  conc.WaitGroup
	stop     context.CancelFunc
	locks    map[*harness.Node]*sync.Mutex // held while a node is restarted
}

// deploy starts 2 failure domains in 2 regions with an entry, two engines and
// a service each, and waits until version v1 is served. The histories are
// checked when the test ends.
func deploy(t *testing.T, change func(*harness.Spec)) *world {
	t.Helper()
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("seed %d; set it with -seed", seed)
	s := harness.Spec{
		Origin: harness.OriginSpec{Model: "summarizer", Size: "1MiB", Chunk: "64KiB", Seed: 1},
		Engine: harness.EngineSpec{MaxRequests: 16, ColdRequests: 2, TokenDelay: "2ms"},
	}
	for i, name := range []string{"a", "b"} {
		s.Domains = append(s.Domains, harness.DomainSpec{
			Name: name, Region: fmt.Sprintf("r%d", i+1), Entries: 1, Engines: 2,
			Services: map[string]int{harness.Service: 1},
		})
	}
	if change != nil {
		change(&s)
	}
	ctx, stop := context.WithCancel(t.Context())
	w := &world{
		t: t, ctx: ctx, stop: stop, rnd: rand.New(rand.NewPCG(seed, 1)), versions: map[string]string{},
		weights: map[string][sha256.Size]byte{}, locks: map[*harness.Node]*sync.Mutex{},
	}
	var err error
	w.Deployment, err = harness.Deploy(ctx, harness.ForTest(t), s)
	w.must(err)
	w.must(w.WaitVersion(ctx, waitBound, w.publish("v1", 1)))
	w.began = time.Now()
	w.startMonitor()
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// publish makes the origin offer a version and returns its digest.
func (w *world) publish(name string, seed int) string {
	w.t.Helper()
	v, err := w.Publish(w.ctx, seed)
	w.must(err)
	var size, chunk int
	for text, n := range map[string]*int{w.Spec.Origin.Size: &size, w.Spec.Origin.Chunk: &chunk} {
		b, err := origin.ParseBytes(text)
		w.must(err)
		*n = int(b)
	}
	b := origin.Version{Model: fleet.Model(w.Spec.Origin.Model), Bytes: size, ChunkBytes: chunk, Seed: uint64(seed)}.GenerateWeights()
	w.versions[name], w.weights[v] = v, sha256.Sum256(b)
	return v
}

// declare puts a version in force.
func (w *world) declare(name string) {
	w.t.Helper()
	w.must(w.Apply(w.ctx, w.Spec.RenderDeclaration(w.versions, name)))
}

// agents returns the agents of a failure domain with or without an engine.
func (w *world) agents(domain string, engine bool) []*harness.Node {
	var out []*harness.Node
	for _, n := range w.NodesInDomain(domain) {
		if !n.IsEntry && (n.Service == "") == engine {
			out = append(out, n)
		}
	}
	return out
}

// restart starts the daemon of a node that has ended and waits until it is
// ready.
func (w *world) restart(n *harness.Node) {
	w.t.Helper()
	w.run(n)
	w.must(harness.WaitReady(w.ctx, waitBound, n.Proc, n.Admin))
}

// run starts the daemon of a node that has ended and does not wait. Its
// revision is followed anew, since the old process took its own with it.
func (w *world) run(n *harness.Node) {
	w.t.Helper()
	w.locks[n].Lock()
	defer w.locks[n].Unlock()
	w.must(w.SpawnNode(n))
	w.revs.forget(n.Name)
}

// kill ends the daemon of a node without warning.
func (w *world) kill(n *harness.Node) {
	w.t.Helper()
	w.must(n.Proc.Kill())
}

// note logs what the test does with the time since its start.
func (w *world) note(what string) {
	w.t.Logf("%6.2fs %s", time.Since(w.began).Seconds(), what)
}

func (w *world) sleep(d time.Duration) {
	w.t.Helper()
	select {
	case <-w.ctx.Done():
		w.t.Fatal(w.ctx.Err())
	case <-time.After(d):
	}
}

// faults sets the faults of the stand-in at addr.
func (w *world) faults(addr string, f any) {
	w.t.Helper()
	w.must(harness.SetFaults(w.ctx, addr, f))
}

// finish ends the load and checks the histories.
func (w *world) finish() {
	w.t.Helper()
	if w.load != nil {
		w.load.stop()
	}
	w.note("the load has ended")
	w.stop()
	w.monitor.Wait()
	w.check()
	w.note("the histories are checked")
}
