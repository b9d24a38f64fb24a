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
type deploymentTest struct {
	*harness.Deployment
	t   *testing.T
	ctx context.Context
	rnd *rand.Rand
	history
	revs revisionChecker

	versions      map[string]string            // digest by name
	weights       map[string][sha256.Size]byte // digest of the weights by version
	loadGenerator *loadGenerator
	monitor       conc.WaitGroup
	stop          context.CancelFunc
	restartLocks  map[*harness.Node]*sync.Mutex // held while a node is restarted
}

// deploy starts 2 failure domains in 2 regions with an entry, two engines and
// a service each, and waits until version v1 is served. The histories are
// checked when the test ends.
func deploy(t *testing.T, change func(*harness.Spec)) *deploymentTest {
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
	dt := &deploymentTest{
		t: t, ctx: ctx, stop: stop, rnd: rand.New(rand.NewPCG(seed, 1)), versions: map[string]string{},
		weights: map[string][sha256.Size]byte{}, restartLocks: map[*harness.Node]*sync.Mutex{},
	}
	var err error
	dt.Deployment, err = harness.Deploy(ctx, harness.ForTest(t), s)
	dt.must(err)
	dt.must(dt.WaitVersion(ctx, waitBound, dt.publish("v1", 1)))
	dt.startedAt = time.Now()
	dt.startRevisionMonitor()
	return dt
}

func (dt *deploymentTest) must(err error) {
	dt.t.Helper()
	if err != nil {
		dt.t.Fatal(err)
	}
}

// publish makes the origin offer a version and returns its digest.
func (dt *deploymentTest) publish(name string, seed int) string {
	dt.t.Helper()
	v, err := dt.Publish(dt.ctx, seed)
	dt.must(err)
	var size, chunk int
	for text, n := range map[string]*int{dt.Spec.Origin.Size: &size, dt.Spec.Origin.Chunk: &chunk} {
		b, err := origin.ParseBytes(text)
		dt.must(err)
		*n = int(b)
	}
	b := origin.Version{Model: fleet.Model(dt.Spec.Origin.Model), Bytes: size, ChunkBytes: chunk, Seed: uint64(seed)}.GenerateWeights()
	dt.versions[name], dt.weights[v] = v, sha256.Sum256(b)
	return v
}

// declare puts a version in force.
func (dt *deploymentTest) declareVersion(name string) {
	dt.t.Helper()
	dt.must(dt.Apply(dt.ctx, dt.Spec.RenderDeclaration(dt.versions, name)))
}

// agents returns the agents of a failure domain with or without an engine.
func (dt *deploymentTest) agents(domain string, engine bool) []*harness.Node {
	var out []*harness.Node
	for _, n := range dt.NodesInDomain(domain) {
		if !n.IsEntry && (n.Service == "") == engine {
			out = append(out, n)
		}
	}
	return out
}

// restart starts the daemon of a node that has ended and waits until it is
// ready.
func (dt *deploymentTest) startDaemonAndWait(n *harness.Node) {
	dt.t.Helper()
	dt.startDaemon(n)
	dt.must(harness.WaitReady(dt.ctx, waitBound, n.Proc, n.Admin))
}

// run starts the daemon of a node that has ended and does not wait. Its
// revision is followed anew, since the old process took its own with it.
func (dt *deploymentTest) startDaemon(n *harness.Node) {
	dt.t.Helper()
	dt.restartLocks[n].Lock()
	defer dt.restartLocks[n].Unlock()
	dt.must(dt.SpawnNode(n))
	dt.revs.forget(n.Name)
}

// kill ends the daemon of a node without warning.
func (dt *deploymentTest) killDaemon(n *harness.Node) {
	dt.t.Helper()
	dt.must(n.Proc.Kill())
}

// note logs what the test does with the time since its start.
func (dt *deploymentTest) logStep(what string) {
	dt.t.Logf("%6.2fs %s", time.Since(dt.startedAt).Seconds(), what)
}

func (dt *deploymentTest) sleep(d time.Duration) {
	dt.t.Helper()
	select {
	case <-dt.ctx.Done():
		dt.t.Fatal(dt.ctx.Err())
	case <-time.After(d):
	}
}

// faults sets the faults of the stand-in at addr.
func (dt *deploymentTest) setFaults(addr string, f any) {
	dt.t.Helper()
	dt.must(harness.SetFaults(dt.ctx, addr, f))
}

// finish ends the load and checks the histories.
func (dt *deploymentTest) finish() {
	dt.t.Helper()
	if dt.loadGenerator != nil {
		dt.loadGenerator.stop()
	}
	dt.logStep("the load has ended")
	dt.stop()
	dt.monitor.Wait()
	dt.checkHistories()
	dt.logStep("the histories are checked")
}
