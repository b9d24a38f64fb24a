// Package spread_test starts real processes and tests that a version of the
// weights reaches all agents despite faults.
package spread_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/standin/engine"
	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	chunkBytes = 32 << 10
	oldBytes   = 256 << 10
	newBytes   = 3 << 20 // takes 3 s at linkRate
	linkRate   = "1MiB"
	// waitTimeout leaves room for a heavily loaded test machine.
	waitTimeout = 30 * time.Second
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// deployment has two failure domains in two regions that serve the old version.
type deployment struct {
	*harness.Deployment
	t       *testing.T
	digests map[string]string // by name in the declaration
}

// originVersion returns the version that the origin generates from a seed. Seed
// 1 is the old version.
func originVersion(seed uint64, size int) origin.Version {
	return origin.Version{Model: "m", Bytes: size, ChunkBytes: chunkBytes, Seed: seed}
}

func startDeployment(t *testing.T, configure func(*harness.Spec)) *deployment {
	t.Helper()
	s := harness.Spec{
		Domains: []harness.DomainSpec{
			{Name: "a", Region: "r1", Entries: 1, Engines: 2}, {Name: "b", Region: "r2", Entries: 1, Engines: 3},
		},
		Origin:   harness.OriginSpec{Model: "m", Size: strconv.Itoa(oldBytes), Chunk: strconv.Itoa(chunkBytes), Seed: 1, Rate: "4MiB"},
		Engine:   harness.EngineSpec{MaxRequests: 16, ColdRequests: 4, OneProcess: true},
		LinkRate: linkRate,
	}
	if configure != nil {
		configure(&s)
	}
	d, err := harness.Deploy(t.Context(), harness.ForTest(t), s)
	if err != nil {
		t.Fatal(err)
	}
	v1, err := d.Publish(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return &deployment{Deployment: d, t: t, digests: map[string]string{"v1": v1}}
}

// publishAndApply publishes the version of a seed, applies a declaration that
// serves it, and returns its digest.
func (d *deployment) publishAndApply(seed uint64) string {
	d.t.Helper()
	v := d.publishVersion(seed)
	d.applyVersion(seed)
	return v
}

// publishVersion makes the origin offer the version of a seed and returns the
// digest.
func (d *deployment) publishVersion(seed uint64) string {
	d.t.Helper()
	req := map[string]any{"model": "m", "size": strconv.Itoa(newBytes), "chunk": strconv.Itoa(chunkBytes), "seed": seed}
	var resp struct{ Version string }
	if err := harness.CallJSON(d.t.Context(), "POST", "http://"+d.OriginAddr+"/versions", req, &resp); err != nil {
		d.t.Fatal(err)
	}
	name := fmt.Sprintf("v%d", seed)
	d.digests[name] = resp.Version
	return resp.Version
}

// applyVersion applies a declaration that serves the version of a seed.
func (d *deployment) applyVersion(seed uint64) {
	d.t.Helper()
	if err := d.Apply(d.t.Context(), d.Spec.RenderDeclaration(d.digests, fmt.Sprintf("v%d", seed))); err != nil {
		d.t.Fatal(err)
	}
}

// agentStatus is the part of an agent's /status that the tests read.
type agentStatus struct {
	Version  string
	Progress struct {
		Target, State, Reason string
		Chunks, ChunksHave    int
	}
}

func (d *deployment) agentStatus(n *harness.Node) (agentStatus, error) {
	var s agentStatus
	err := harness.GetStatus(d.t.Context(), n.Admin, &s)
	return s, err
}

// waitForStatus waits until the status of every node fulfils the condition.
func (d *deployment) waitForStatus(what string, nodes []*harness.Node, cond func(agentStatus) bool) {
	d.t.Helper()
	err := harness.WaitFor(d.t.Context(), waitTimeout, what, func() error {
		for _, n := range nodes {
			s, err := d.agentStatus(n)
			if err == nil && !cond(s) {
				err = errors.Errorf("%+v", s)
			}
			if err != nil {
				return errors.Wrap(err, n.Name)
			}
		}
		return nil
	})
	if err != nil {
		d.t.Fatal(err)
	}
}

// waitForPartialCopy waits until an agent holds a fraction of a version's chunks,
// and fails if the agent serves the version already.
func (d *deployment) waitForPartialCopy(n *harness.Node, v string, fraction float64) {
	d.t.Helper()
	d.waitForStatus("a partial copy of the version", []*harness.Node{n}, func(s agentStatus) bool {
		p := s.Progress
		return p.Target == v && p.Chunks > 0 && float64(p.ChunksHave) >= fraction*float64(p.Chunks)
	})
	if s, _ := d.agentStatus(n); s.Version == v {
		d.t.Fatal("the version was complete before the fault")
	}
}

// waitForVersion waits until all the nodes serve the version.
func (d *deployment) waitForVersion(v string, nodes ...*harness.Node) {
	d.t.Helper()
	d.waitForStatus("version "+v, nodes, func(s agentStatus) bool { return s.Version == v })
}

// agentsIn returns the agents of a failure domain.
func (d *deployment) agentsIn(domain string) []*harness.Node {
	var out []*harness.Node
	for _, n := range d.NodesInDomain(domain) {
		if !n.IsEntry {
			out = append(out, n)
		}
	}
	return out
}

// checkResponses sends requests through an entry and checks that the text comes
// from the complete weights of the version.
func (d *deployment) checkResponses(v origin.Version, entry *harness.Node) {
	d.t.Helper()
	const body = `{"max_tokens":2}`
	weights := v.GenerateWeights()
	ctx, cancel := context.WithTimeout(d.t.Context(), waitTimeout)
	defer cancel()
	for range 10 {
		resp, err := harness.NewCaller(entry.HTTP).Send(ctx, harness.Request{
			Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "status", Body: body,
		})
		if err == nil {
			err = resp.CheckComplete()
		}
		if err != nil {
			d.t.Fatal(err)
		}
		for i, line := range resp.Lines {
			if want := engine.FrameText(weights, []byte(body), i); !contains(line, want) {
				d.t.Fatalf("line %s is not from version %s", line, resp.Version)
			}
		}
	}
}
