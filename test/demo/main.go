// Command demo starts a small deployment from the binaries of ./cmd, changes
// what it serves while requests go on, takes a failure domain out of service
// and back, and prints what it measured. Run it with `make demo`.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	// demoTimeout bounds the whole demo.
	demoTimeout = 55 * time.Second
	// cordonBound is the bound for a cordon to take effect.
	cordonBound = 3 * time.Second
	// configBound is the bound for any other change to take effect.
	configBound = 7 * time.Second
	// settle is how long requests go on between two changes.
	settle = 2 * time.Second
)

func main() { harness.SmallMain("demo", demoTimeout, demo) }

func demo(ctx context.Context, d *harness.Deployment, v1 string) error {
	r := report{replicas1: time.Since(d.Started)}
	if err := show(ctx, d, &r, v1); err != nil {
		return err
	}
	r.print(os.Stdout)
	return r.check()
}

// show goes through the demo.
func show(ctx context.Context, d *harness.Deployment, r *report, v1 string) (err error) {
	if r.origin1, err = d.OriginBytes(ctx); err != nil {
		return err
	}
	fmt.Println("version 1 is served by all agents; requests start")
	r.load = startLoad(ctx, d)
	defer r.load.stop()
	time.Sleep(settle)
	if err := change(ctx, d, r, v1); err != nil {
		return err
	}
	time.Sleep(settle)
	if err := cordon(ctx, d, r); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// change declares version 2 while requests go on.
func change(ctx context.Context, d *harness.Deployment, r *report, v1 string) error {
	v2, err := d.Publish(ctx, 2)
	if err != nil {
		return err
	}
	at := time.Now()
	if err := d.Apply(ctx, d.Spec.RenderDeclaration(map[string]string{"v1": v1, "v2": v2}, "v2")); err != nil {
		return err
	}
	if err := d.WaitVersion(ctx, harness.SmallSpreadTimeout, v2); err != nil {
		return err
	}
	r.replicas2 = time.Since(at)
	total, err := d.OriginBytes(ctx)
	r.origin2 = total - r.origin1
	fmt.Println("version 2 is served by all agents")
	return err
}

// cordon takes failure domain b out of service and back.
func cordon(ctx context.Context, d *harness.Deployment, r *report) error {
	var agents []*harness.Node
	for _, n := range d.NodesInDomain("b") {
		if !n.IsEntry {
			agents = append(agents, n)
		}
	}
	at := time.Now()
	if err := d.Cordon(ctx, "b"); err != nil {
		return err
	}
	out := func(s harness.AgentStatus) bool { return s.Cordoned }
	if err := d.WaitAgents(ctx, cordonBound, "cordon of b", agents, out); err != nil {
		return err
	}
	r.cordoned = time.Since(at)
	fmt.Println("failure domain b is out of service")
	time.Sleep(settle)
	at = time.Now()
	if err := d.Uncordon(ctx, "b"); err != nil {
		return err
	}
	back := func(s harness.AgentStatus) bool { return !s.Cordoned }
	if err := d.WaitAgents(ctx, configBound, "return of b", agents, back); err != nil {
		return err
	}
	r.returned = time.Since(at)
	fmt.Println("failure domain b is back")
	return nil
}

// check returns an error unless the demo shows what it should.
func (r *report) check() error {
	switch {
	case r.load.errors.Load() > 0:
		return errors.Errorf("%d errors; the first: %s", r.load.errors.Load(), *r.load.firstError.Load())
	case r.load.answered.Load() == 0 || r.load.orders.Load() == 0:
		return errors.New("no requests were answered")
	case r.load.byVersion.Len() < 2:
		return errors.New("not both versions answered requests")
	}
	return nil
}
