package harness

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// Service is the name of the plain service in SmallSpec.
const Service = "nursery"

// SmallSpec returns the spec of the demo: two failure domains with one entry
// each, three agents with engines, and one agent with a plain service.
func SmallSpec() Spec {
	return Spec{
		Domains: []DomainSpec{
			{Name: "a", Region: "r1", Entries: 1, Engines: 2, Services: map[string]int{Service: 1}},
			{Name: "b", Region: "r2", Entries: 1, Engines: 1},
		},
		Origin: OriginSpec{Model: "summarizer", Size: "16MiB", Chunk: "256KiB", Seed: 1},
		Engine: EngineSpec{MaxRequests: 16, ColdRequests: 4, TokenDelay: "2ms"},
	}
}

// StopNodes stops the daemons with SIGTERM, entries first, and returns an error
// unless all of them exit with code 0 in time.
func (d *Deployment) StopNodes(timeout time.Duration) error {
	for _, nodes := range [][]*Node{d.Entries, d.Agents} {
		p := pool.New().WithErrors()
		for _, n := range nodes {
			p.Go(func() error {
				code, err := n.Proc.Stop(timeout)
				if err == nil && code != 0 {
					err = errors.Errorf("%s exited with code %d", n.Name, code)
				}
				return err
			})
		}
		if err := p.Wait(); err != nil {
			return err
		}
	}
	return nil
}
