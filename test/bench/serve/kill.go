package main

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	// killLoad is half of the capacity of ten engines with 8 requests of 80 ms.
	killLoad   = 500
	killRounds = 4
	killEvery  = 3 * time.Second
	killDown   = time.Second
	coldRounds = 4
	// coldEvery leaves time for the agent to load the version and for the ramp.
	coldEvery = 2500 * time.Millisecond
)

// runKill kills one agent in ten with its engine, again and again, and then
// restarts engines at full load to see whether one gets too much.
func runKill(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domains(2, 1, 5),
		Engine:     harness.EngineSpec{MaxRequests: 8, ColdRequests: 2, TokenDelay: "10ms"},
		LimitLines: limits(8, 2),
	})
	if err != nil {
		return err
	}
	warm(ctx, d, b, killLoad, domainTokens, 3*time.Second)
	over := &overloadCount{seen: map[string]int64{}}
	var wg conc.WaitGroup
	var killErr error
	wg.Go(func() { killErr = killAgents(ctx, b, d, over) })
	rs := newLoad(d, killLoad, b.rand(3), genLoad("summary", domainTokens, 10*time.Second)).
		run(ctx, (killRounds+1)*killEvery)
	wg.Wait()
	if killErr != nil {
		return killErr
	}
	describe("kill", rs)
	b.atMost("kill_errors_repeatable", float64(count(rs, failed)), "requests", 0)
	wg.Go(func() { killErr = restartEngines(ctx, b, d, over) })
	rs = newLoad(d, 2*killLoad, b.rand(4), genLoad("summary", domainTokens, time.Second)).run(ctx, (coldRounds+1)*coldEvery)
	wg.Wait()
	if killErr != nil {
		return killErr
	}
	describe("restarted engines at full load", rs)
	if err := over.add(ctx, d.EngineAgents()); err != nil {
		return err
	}
	b.atMost("cold_overload", float64(over.total), "requests", 0)
	return nil
}

// overloadCount sums overloads over the lives of engine processes, whose
// counts end with them.
type overloadCount struct {
	total int64
	seen  map[string]int64
}

// add takes the counts of engines that run or are about to be killed.
func (o *overloadCount) add(ctx context.Context, nodes []*harness.Node) error {
	for _, n := range nodes {
		c, err := harness.GetCounts(ctx, n.TargetAddr)
		if err != nil {
			return err
		}
		if c["overload"] > o.seen[n.Name] {
			note("overload at %s: %v", n.Name, c)
		}
		o.total += c["overload"] - o.seen[n.Name]
		o.seen[n.Name] = c["overload"]
	}
	return nil
}

func killAgents(ctx context.Context, b *bench, d *harness.Deployment, over *overloadCount) error {
	rng := b.rand(5)
	nodes := d.EngineAgents()
	for range killRounds {
		if err := pause(ctx, killEvery-killDown); err != nil {
			return err
		}
		n := nodes[rng.IntN(len(nodes))]
		if err := over.add(ctx, []*harness.Node{n}); err != nil {
			return err
		}
		note("killing %s", n.Name)
		p := pool.New().WithErrors()
		p.Go(n.Proc.Kill)
		p.Go(n.Target.Kill)
		if err := p.Wait(); err != nil {
			return err
		}
		delete(over.seen, n.Name)
		if err := pause(ctx, killDown); err != nil {
			return err
		}
		if err := d.StartTarget(ctx, n); err != nil {
			return err
		}
		if err := d.StartNode(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// restartEngines restarts engines under their agents: each second one by the
// end of its process, the others by a restart inside of it.
func restartEngines(ctx context.Context, b *bench, d *harness.Deployment, over *overloadCount) error {
	rng := b.rand(6)
	nodes := d.EngineAgents()
	for i := range coldRounds {
		if err := pause(ctx, coldEvery); err != nil {
			return err
		}
		n := nodes[rng.IntN(len(nodes))]
		if i%2 == 0 {
			if err := harness.CallJSON(ctx, "POST", "http://"+n.TargetAddr+"/restart", nil, nil); err != nil {
				return err
			}
			continue
		}
		if err := over.add(ctx, []*harness.Node{n}); err != nil {
			return err
		}
		if err := n.Target.Kill(); err != nil {
			return err
		}
		delete(over.seen, n.Name)
		if err := d.StartTarget(ctx, n); err != nil {
			return err
		}
	}
	return nil
}
