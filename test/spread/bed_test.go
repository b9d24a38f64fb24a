// Package spread_test checks the spread of versions against faults, with real
// processes.
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
	chunk    = 32 << 10
	oldBytes = 256 << 10
	// newBytes take 3 s at the rate of a link.
	newBytes = 3 << 20
	linkRate = "1MiB"
	// limit bounds a wait. It covers a busy machine.
	limit = 30 * time.Second
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// bed is two failure domains in two regions that serve the old version.
type bed struct {
	*harness.Deployment
	t   *testing.T
	ids map[string]string // digests by declared name
}

// version returns the version of a seed; seed 1 is the old one.
func version(seed uint64, size int) origin.Version {
	return origin.Version{Model: "m", Bytes: size, ChunkBytes: chunk, Seed: seed}
}

func start(t *testing.T, change func(*harness.Spec)) *bed {
	t.Helper()
	s := harness.Spec{
		Domains: []harness.DomainSpec{
			{Name: "a", Region: "r1", Entries: 1, Engines: 2}, {Name: "b", Region: "r2", Entries: 1, Engines: 3},
		},
		Origin:   harness.OriginSpec{Model: "m", Size: strconv.Itoa(oldBytes), Chunk: strconv.Itoa(chunk), Seed: 1, Rate: "4MiB"},
		Engine:   harness.EngineSpec{MaxRequests: 16, ColdRequests: 4, OneProcess: true},
		LinkRate: linkRate,
	}
	if change != nil {
		change(&s)
	}
	d, err := harness.Deploy(t.Context(), harness.ForTest(t), s)
	if err != nil {
		t.Fatal(err)
	}
	v1, err := d.Publish(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return &bed{Deployment: d, t: t, ids: map[string]string{"v1": v1}}
}

// declare publishes the version of a seed, declares that it is served, and
// returns its digest.
func (b *bed) declare(seed uint64) string {
	b.t.Helper()
	v := b.publish(seed)
	b.apply(seed)
	return v
}

// publish makes the origin offer the version of a seed.
func (b *bed) publish(seed uint64) string {
	b.t.Helper()
	in := map[string]any{"model": "m", "size": strconv.Itoa(newBytes), "chunk": strconv.Itoa(chunk), "seed": seed}
	var out struct{ Version string }
	if err := harness.CallJSON(b.t.Context(), "POST", "http://"+b.OriginAddr+"/versions", in, &out); err != nil {
		b.t.Fatal(err)
	}
	name := fmt.Sprintf("v%d", seed)
	b.ids[name] = out.Version
	return out.Version
}

// apply declares that a published version is served.
func (b *bed) apply(seed uint64) {
	b.t.Helper()
	if err := b.Apply(b.t.Context(), b.Spec.RenderDeclaration(b.ids, fmt.Sprintf("v%d", seed))); err != nil {
		b.t.Fatal(err)
	}
}

// status is the part of an agent's /status that the tests read.
type status struct {
	Version  string
	Progress struct {
		Target, State, Reason string
		Chunks, ChunksHave    int
	}
}

func (b *bed) status(n *harness.Node) (status, error) {
	var s status
	err := harness.GetStatus(b.t.Context(), n.Admin, &s)
	return s, err
}

// until waits until the condition holds for every node given.
func (b *bed) until(what string, nodes []*harness.Node, ok func(status) bool) {
	b.t.Helper()
	err := harness.WaitFor(b.t.Context(), limit, what, func() error {
		for _, n := range nodes {
			s, err := b.status(n)
			if err == nil && !ok(s) {
				err = errors.Errorf("%+v", s)
			}
			if err != nil {
				return errors.Wrap(err, n.Name)
			}
		}
		return nil
	})
	if err != nil {
		b.t.Fatal(err)
	}
}

// partly waits until a machine holds a part of a version that is not all of it.
func (b *bed) partly(n *harness.Node, v string, part float64) {
	b.t.Helper()
	b.until("a part of the version", []*harness.Node{n}, func(s status) bool {
		p := s.Progress
		return p.Target == v && p.Chunks > 0 && float64(p.ChunksHave) >= part*float64(p.Chunks)
	})
	if s, _ := b.status(n); s.Version == v {
		b.t.Fatal("the spread was over before the fault")
	}
}

func (b *bed) serves(v string, nodes ...*harness.Node) {
	b.t.Helper()
	b.until("version "+v, nodes, func(s status) bool { return s.Version == v })
}

// agents returns the agents of a failure domain.
func (b *bed) agents(domain string) []*harness.Node {
	var out []*harness.Node
	for _, n := range b.NodesInDomain(domain) {
		if !n.IsEntry {
			out = append(out, n)
		}
	}
	return out
}

// answers checks that every engine's text is that of the whole weights.
func (b *bed) answers(v origin.Version, entry *harness.Node) {
	b.t.Helper()
	const body = `{"max_tokens":2}`
	w := v.Make()
	ctx, cancel := context.WithTimeout(b.t.Context(), limit)
	defer cancel()
	for range 10 {
		a, err := harness.NewCaller(entry.HTTP).Send(ctx, harness.Request{
			Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "status", Body: body,
		})
		if err == nil {
			err = a.CheckComplete()
		}
		if err != nil {
			b.t.Fatal(err)
		}
		for i, line := range a.Lines {
			if want := engine.Token(w, []byte(body), i); !contains(line, want) {
				b.t.Fatalf("line %s is not from version %s", line, a.Version)
			}
		}
	}
}
