package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

// domainNames are the failure domains of the fleet.
var domainNames = []string{"a", "b", "c"}

// The declaration is as large as one for a deployment of the design size.
const (
	declaredDomains   = 14
	declaredCustomers = 10
	declaredGroups    = 20
)

// fleet is a running deployment.
type fleet struct {
	size
	h *harness.Harness
	d *harness.Deployment
	// revision is the last one that this bench applied.
	revision uint64
	// highestSeen is the highest revision that each process reported, by name.
	highestSeen map[string]uint64
	// reverts counts reports of a revision below the highest one.
	reverts int
}

func startFleet(ctx context.Context, s size) (*fleet, error) {
	h, err := harness.New(func(f string, args ...any) { fmt.Fprintf(os.Stderr, f+"\n", args...) })
	if err != nil {
		return nil, err
	}
	spec := harness.Spec{
		Origin: harness.OriginSpec{Model: "summarizer", Size: "1MiB", Chunk: "256KiB", Seed: 1}, ShareTargets: true,
	}
	n := len(domainNames)
	for i, name := range domainNames {
		spec.Domains = append(spec.Domains, harness.DomainSpec{
			Name: name, Region: fmt.Sprintf("r%d", i+1), Entries: (s.entries + n - 1 - i) / n,
			Services: map[string]int{harness.Service: (s.agents + n - 1 - i) / n},
		})
	}
	spec.Declaration = declaration(0)
	f := &fleet{size: s, h: h, revision: 1, highestSeen: map[string]uint64{}}
	if f.d, err = harness.Deploy(ctx, h, spec); err != nil {
		h.Close()
		return nil, err
	}
	return f, f.listVMs(ctx)
}

// listVMs fills the platform's list of VMs, which the readers fetch.
func (f *fleet) listVMs(ctx context.Context) error {
	var list []map[string]string
	for _, n := range f.d.Agents {
		list = append(list, map[string]string{"name": n.Name, "domain": n.Domain, "state": "live"})
	}
	return harness.CallJSON(ctx, "PUT", "http://"+f.d.PlatformAddr+"/vms", list, nil)
}

// declaration returns the text of a declaration whose shares depend on n.
func declaration(n int) string {
	var b strings.Builder
	for i := range declaredCustomers {
		fmt.Fprintf(&b, "[customer customer-%02d]\nshare = %d\nmax_queued = 200\nmax_bytes = 8MiB\n\n", i, 1+(n+i)%1000)
	}
	for i := range declaredDomains {
		name := fmt.Sprintf("d%02d", i)
		if i < len(domainNames) {
			name = domainNames[i]
		}
		fmt.Fprintf(&b, "[domain %s]\nregion = r%d\nlabels = coast=east\n\n", name, i%5+1)
	}
	fmt.Fprintf(&b, "[model summarizer]\nlabels = family=survey\nversion.v1 = %064x\n\n", 1)
	for i := range declaredGroups {
		fmt.Fprintf(&b, "[group group-%02d]\nvms = pool=model-%02d\nlabels = tier=t%02d\nmax_requests = 8\n", i, i, i)
		fmt.Fprintf(&b, "max_bytes = 4MiB\ncold_requests = 1\nramp_step = 500ms\n\n")
		fmt.Fprintf(&b, "[serve group-%02d-main]\ngroups = tier=t%02d\nmodels = family=survey\nversion = v1\n\n", i, i)
	}
	fmt.Fprintf(&b, "[service %s]\nvms = pool=%s\nmax_requests = 32\nmax_bytes = 4MiB\n", harness.Service, harness.Service)
	fmt.Fprintf(&b, "cold_requests = 4\nramp_step = 500ms\ncall.read = repeatable\ncall.log = once\n")
	return b.String()
}

// applyChange applies a declaration that differs from the current one.
func (f *fleet) applyChange(ctx context.Context) error {
	if err := f.d.Apply(ctx, declaration(int(f.revision))); err != nil {
		return err
	}
	f.revision++
	return nil
}

// applyChanges applies n changes at equal distances within a window.
func (f *fleet) applyChanges(ctx context.Context, n int, window time.Duration) error {
	end := time.Now().Add(window)
	for range n {
		next := time.Now().Add(window / time.Duration(n))
		if err := f.applyChange(ctx); err != nil {
			return err
		}
		if err := pause(ctx, time.Until(next)); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(end))
}
