// Package proof runs a small deployment of real processes, injects failures and
// checks the guarantees of the system against the histories that callers, engines,
// services and daemons recorded. docs/proofs.md lists which test covers which
// guarantee.
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

// Time limits stated in the design page.
const (
	configBound = 7 * time.Second
	cordonBound = 3 * time.Second
	// silentBound is the time after which a process gives up a connection on which it
	// receives nothing.
	silentBound = 2 * time.Second
	// waitBound limits waits for which the page states no limit, such as that for the
	// distribution of a version.
	waitBound = 30 * time.Second
)

var seedFlag = flag.Uint64("seed", 0, "seed of the random choices; 0 selects a random seed")

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// deploymentTest is one test: its deployment, its callers and the recorded histories.
type deploymentTest struct {
	*harness.Deployment
	t      *testing.T
	ctx    context.Context
	random *rand.Rand
	history
	revisions revisionChecker

	versions      map[string]string            // version digest by name
	weights       map[string][sha256.Size]byte // digest of the weights by version digest
	loadGenerator *loadGenerator
	monitor       conc.WaitGroup
	stop          context.CancelFunc
	restartLocks  map[*harness.Node]*sync.Mutex // held while the daemon of the node is started
}

// deploy starts 2 failure domains in 2 regions with an entry, two engines and
// a service each, and waits until version v1 is served. change may modify the
// specification first. The test has to call finish, which checks the histories.
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
		t: t, ctx: ctx, stop: stop, random: rand.New(rand.NewPCG(seed, 1)), versions: map[string]string{},
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

// publish makes the origin offer a version with random weights from seed and returns its
// digest.
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

// declareVersion applies a declaration with the version of the given name.
func (dt *deploymentTest) declareVersion(name string) {
	dt.t.Helper()
	dt.must(dt.Apply(dt.ctx, dt.Spec.RenderDeclaration(dt.versions, name)))
}

// agents returns the agents of a failure domain: those of engines if engine is true, else
// those of plain services.
func (dt *deploymentTest) agents(domain string, engine bool) []*harness.Node {
	var out []*harness.Node
	for _, n := range dt.NodesInDomain(domain) {
		if !n.IsEntry && (n.Service == "") == engine {
			out = append(out, n)
		}
	}
	return out
}

// startDaemonAndWait starts the daemon of a node again after it has exited and waits until
// it is ready.
func (dt *deploymentTest) startDaemonAndWait(n *harness.Node) {
	dt.t.Helper()
	dt.startDaemon(n)
	dt.must(harness.WaitReady(dt.ctx, waitBound, n.Proc, n.Admin))
}

// startDaemon starts the daemon of a node again after it has exited and does not wait. The
// new process may begin with an older revision, so the last one observed is forgotten.
func (dt *deploymentTest) startDaemon(n *harness.Node) {
	dt.t.Helper()
	dt.restartLocks[n].Lock()
	defer dt.restartLocks[n].Unlock()
	dt.must(dt.SpawnNode(n))
	dt.revisions.forget(n.Name)
}

// killDaemon ends the daemon of a node with SIGKILL.
func (dt *deploymentTest) killDaemon(n *harness.Node) {
	dt.t.Helper()
	dt.must(n.Proc.Kill())
}

// logStep logs a step of the test with the time since the start of the test.
func (dt *deploymentTest) logStep(step string) {
	dt.t.Logf("%6.2fs %s", time.Since(dt.startedAt).Seconds(), step)
}

func (dt *deploymentTest) sleep(d time.Duration) {
	dt.t.Helper()
	select {
	case <-dt.ctx.Done():
		dt.t.Fatal(dt.ctx.Err())
	case <-time.After(d):
	}
}

// setFaults sets the faults of the stand-in at addr.
func (dt *deploymentTest) setFaults(addr string, faults any) {
	dt.t.Helper()
	dt.must(harness.SetFaults(dt.ctx, addr, faults))
}

// finish stops the load and the revision monitor and checks the histories.
func (dt *deploymentTest) finish() {
	dt.t.Helper()
	if dt.loadGenerator != nil {
		dt.loadGenerator.stop()
	}
	dt.logStep("load stopped")
	dt.stop()
	dt.monitor.Wait()
	dt.checkHistories()
	dt.logStep("histories checked")
}
