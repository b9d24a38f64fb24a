package main

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	// killRate, in requests per second, is half of the capacity of ten engines that
	// run 8 requests of 80 ms at once.
	killRate      = 500
	killRounds    = 4
	killInterval  = 3 * time.Second
	killDowntime  = time.Second
	restartRounds = 4
	// restartInterval leaves time for the agent to load the version and for the
	// ramp.
	restartInterval = 2500 * time.Millisecond
)

// runKill repeatedly kills one agent in ten with its engine. It then restarts
// engines at full load and counts requests beyond the limits of their ramp.
func runKill(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domainSpecs(2, 1, 5),
		Engine:     harness.EngineSpec{MaxRequests: 8, ColdRequests: 2, TokenDelay: "10ms"},
		LimitLines: limitLines(8, 2),
	})
	if err != nil {
		return err
	}
	warmUp(ctx, d, b, killRate, responseTokens, 3*time.Second)
	overloads := &overloadCounter{last: map[string]int64{}}
	var wg conc.WaitGroup
	var killErr error
	wg.Go(func() { killErr = killAgents(ctx, b, d, overloads) })
	rs := newLoad(d, killRate, b.rand(3), generateRequests("summary", responseTokens, 10*time.Second)).
		run(ctx, (killRounds+1)*killInterval)
	wg.Wait()
	if killErr != nil {
		return killErr
	}
	printFailures("kill", rs)
	b.atMost("kill_errors_repeatable", float64(count(rs, failed)), "requests", 0)
	wg.Go(func() { killErr = restartEngines(ctx, b, d, overloads) })
	rs = newLoad(d, 2*killRate, b.rand(4), generateRequests("summary", responseTokens, time.Second)).run(ctx, (restartRounds+1)*restartInterval)
	wg.Wait()
	if killErr != nil {
		return killErr
	}
	printFailures("restarted engines at full load", rs)
	if err := overloads.add(ctx, d.EngineAgents()); err != nil {
		return err
	}
	b.atMost("cold_overload", float64(overloads.total), "requests", 0)
	return nil
}

// overloadCounter sums the overload counts of engines over restarts, at which the
// count of a process is lost.
type overloadCounter struct {
	total int64
	last  map[string]int64 // last count of the running process, by node
}

// add adds what the counts have grown by. It must be called before an engine is
// killed.
func (o *overloadCounter) add(ctx context.Context, nodes []*harness.Node) error {
	for _, n := range nodes {
		c, err := harness.GetCounts(ctx, n.TargetAddr)
		if err != nil {
			return err
		}
		if c["overload"] > o.last[n.Name] {
			comment("overload at %s: %v", n.Name, c)
		}
		o.total += c["overload"] - o.last[n.Name]
		o.last[n.Name] = c["overload"]
	}
	return nil
}

// killAgents repeatedly kills a random agent with its engine and starts both again
// after killDowntime.
func killAgents(ctx context.Context, b *bench, d *harness.Deployment, overloads *overloadCounter) error {
	rng := b.rand(5)
	nodes := d.EngineAgents()
	for range killRounds {
		if err := pause(ctx, killInterval-killDowntime); err != nil {
			return err
		}
		n := nodes[rng.IntN(len(nodes))]
		if err := overloads.add(ctx, []*harness.Node{n}); err != nil {
			return err
		}
		comment("killing %s", n.Name)
		p := pool.New().WithErrors()
		p.Go(n.Proc.Kill)
		p.Go(n.Target.Kill)
		if err := p.Wait(); err != nil {
			return err
		}
		delete(overloads.last, n.Name)
		if err := pause(ctx, killDowntime); err != nil {
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

// restartEngines restarts engines while their agents run: every second one by
// killing its process, the others by a simulated restart within the process.
func restartEngines(ctx context.Context, b *bench, d *harness.Deployment, overloads *overloadCounter) error {
	rng := b.rand(6)
	nodes := d.EngineAgents()
	for i := range restartRounds {
		if err := pause(ctx, restartInterval); err != nil {
			return err
		}
		n := nodes[rng.IntN(len(nodes))]
		if i%2 == 0 {
			if err := harness.CallJSON(ctx, "POST", "http://"+n.TargetAddr+"/restart", nil, nil); err != nil {
				return err
			}
			continue
		}
		if err := overloads.add(ctx, []*harness.Node{n}); err != nil {
			return err
		}
		if err := n.Target.Kill(); err != nil {
			return err
		}
		delete(overloads.last, n.Name)
		if err := d.StartTarget(ctx, n); err != nil {
			return err
		}
	}
	return nil
}
