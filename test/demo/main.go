// Command demo starts a small deployment from the binaries of ./cmd and sends
// requests to it. Meanwhile it deploys a new version, cordons a failure domain
// and returns it to service. At the end it prints the times and counts that it
// measured. Run it with `make demo`.
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
	// cordonTimeout bounds the time until a cordon is in effect.
	cordonTimeout = 3 * time.Second
	// configTimeout bounds the time until any other change is in effect.
	configTimeout = 7 * time.Second
	// loadDuration is the time between two changes, during which requests are sent.
	loadDuration = 2 * time.Second
)

func main() { harness.SmallMain("demo", demoTimeout, demo) }

func demo(ctx context.Context, d *harness.Deployment, v1 string) error {
	r := report{spreadTime1: time.Since(d.Started)}
	if err := runSteps(ctx, d, &r, v1); err != nil {
		return err
	}
	r.print(os.Stdout)
	return r.check()
}

// runSteps starts the load, performs the changes and records the measurements in
// r.
func runSteps(ctx context.Context, d *harness.Deployment, r *report, v1 string) (err error) {
	if r.originBytes1, err = d.OriginBytes(ctx); err != nil {
		return err
	}
	fmt.Println("version 1 is served by all agents; requests start")
	r.load = startLoad(ctx, d)
	defer r.load.stop()
	time.Sleep(loadDuration)
	if err := deployVersion2(ctx, d, r, v1); err != nil {
		return err
	}
	time.Sleep(loadDuration)
	if err := cordonAndReturn(ctx, d, r); err != nil {
		return err
	}
	time.Sleep(loadDuration)
	return nil
}

// deployVersion2 declares version 2 and waits until all agents serve it.
func deployVersion2(ctx context.Context, d *harness.Deployment, r *report, v1 string) error {
	v2, err := d.Publish(ctx, 2)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := d.Apply(ctx, d.Spec.RenderDeclaration(map[string]string{"v1": v1, "v2": v2}, "v2")); err != nil {
		return err
	}
	if err := d.WaitVersion(ctx, harness.SmallSpreadTimeout, v2); err != nil {
		return err
	}
	r.spreadTime2 = time.Since(start)
	total, err := d.OriginBytes(ctx)
	r.originBytes2 = total - r.originBytes1
	fmt.Println("version 2 is served by all agents")
	return err
}

// cordonAndReturn cordons failure domain b and then returns it to service.
func cordonAndReturn(ctx context.Context, d *harness.Deployment, r *report) error {
	var agents []*harness.Node
	for _, n := range d.NodesInDomain("b") {
		if !n.IsEntry {
			agents = append(agents, n)
		}
	}
	start := time.Now()
	if err := d.Cordon(ctx, "b"); err != nil {
		return err
	}
	cordoned := func(s harness.AgentStatus) bool { return s.Cordoned }
	if err := d.WaitAgents(ctx, cordonTimeout, "cordon of b", agents, cordoned); err != nil {
		return err
	}
	r.cordonTime = time.Since(start)
	fmt.Println("failure domain b is out of service")
	time.Sleep(loadDuration)
	start = time.Now()
	if err := d.Uncordon(ctx, "b"); err != nil {
		return err
	}
	uncordoned := func(s harness.AgentStatus) bool { return !s.Cordoned }
	if err := d.WaitAgents(ctx, configTimeout, "return of b", agents, uncordoned); err != nil {
		return err
	}
	r.uncordonTime = time.Since(start)
	fmt.Println("failure domain b is back")
	return nil
}

// check returns an error if a request failed, if none was answered, or if not
// both versions answered requests.
func (r *report) check() error {
	switch {
	case r.load.errors.Load() > 0:
		return errors.Errorf("%d errors; the first: %s", r.load.errors.Load(), *r.load.firstError.Load())
	case r.load.succeeded.Load() == 0 || r.load.orders.Load() == 0:
		return errors.New("no requests were answered")
	case r.load.byVersion.Len() < 2:
		return errors.New("not both versions answered requests")
	}
	return nil
}
