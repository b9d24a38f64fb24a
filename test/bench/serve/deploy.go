package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/test/harness"
)

// settleTime is the time in which entries receive a second status of each target
// and adjust their permits accordingly.
const settleTime = 1500 * time.Millisecond

var smallOrigin = harness.OriginSpec{Model: "summarizer", Size: "1MiB", Chunk: "256KiB", Seed: 1}

// limitLines returns the lines of a group or service whose targets run at most n
// requests at once, or cold requests after a start.
func limitLines(n, cold int) []string {
	return []string{
		fmt.Sprintf("max_requests = %d", n), "max_bytes = 16MiB",
		fmt.Sprintf("cold_requests = %d", cold), "ramp_step = 200ms",
	}
}

// deploy starts a deployment and waits until its targets serve the weights and the
// entries know their permits.
func deploy(ctx context.Context, h *harness.Harness, s harness.Spec) (*harness.Deployment, error) {
	s.Origin = smallOrigin
	d, err := harness.Deploy(ctx, h, s)
	if err != nil {
		return nil, errors.Wrap(err, "deploying")
	}
	v, err := d.Publish(ctx, s.Origin.Seed)
	if err != nil {
		return nil, err
	}
	if err := d.WaitVersion(ctx, 20*time.Second, v); err != nil {
		return nil, err
	}
	return d, pause(ctx, settleTime)
}

// declareCustomers applies a declaration with further customers and waits until
// all entries have it.
func declareCustomers(ctx context.Context, d *harness.Deployment, names []string) error {
	v, err := d.Publish(ctx, d.Spec.Origin.Seed)
	if err != nil {
		return err
	}
	text := d.Spec.RenderDeclaration(map[string]string{"v1": v}, "v1")
	for _, n := range names {
		text += fmt.Sprintf("\n[customer %s]\nshare = 1\nmax_queued = 1000\nmax_bytes = 64MiB\n", n)
	}
	if err := d.Apply(ctx, text); err != nil {
		return err
	}
	return harness.WaitFor(ctx, 10*time.Second, "the customers", func() error {
		for _, e := range d.Entries {
			var s struct{ Revision uint64 }
			if err := harness.GetStatus(ctx, e.Admin, &s); err != nil {
				return err
			}
			if s.Revision < 2 {
				return errors.Errorf("%s has revision %d", e.Name, s.Revision)
			}
		}
		return nil
	})
}

// warmUp sends load for a time in which every target completes its ramp.
func warmUp(ctx context.Context, d *harness.Deployment, b *bench, rate float64, tokens int, duration time.Duration) {
	newLoad(d, rate, b.rand(1), generateRequests("summary", tokens, 0)).run(ctx, duration)
}

// measureCapacity warms the targets up and returns the responses per second that the
// engines can serve: the number of their slots divided by the median latency.
func measureCapacity(ctx context.Context, d *harness.Deployment, b *bench, slots, tokens int) float64 {
	const warmRate, ramp = 300, 3 * time.Second
	results := newLoad(d, warmRate, b.rand(1), generateRequests("summary", tokens, 0)).run(ctx, ramp)
	capacity := float64(slots) / latencyQuantile(startedBetween(results, ramp/2, ramp), 0.5).Seconds()
	comment("capacity %.0f responses/s", capacity)
	return capacity
}

func pause(ctx context.Context, t time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(t):
		return nil
	}
}

// sumCounts adds up one count of the targets of all the nodes.
func sumCounts(ctx context.Context, nodes []*harness.Node, kind string) (int64, error) {
	total := int64(0)
	for _, n := range nodes {
		c, err := harness.GetCounts(ctx, n.TargetAddr)
		if err != nil {
			return 0, errors.Wrap(err, n.Name)
		}
		total += c[kind]
	}
	return total, nil
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "reading the memory of a process")
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			n, err := strconv.ParseInt(f[1], 10, 64)
			return n << 10, errors.Wrap(err, "reading VmRSS")
		}
	}
	return 0, errors.New("no VmRSS in /proc/PID/status")
}

// cpuTime returns the CPU time of a process. The kernel counts it in ticks of 10 ms.
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "reading the CPU time of a process")
	}
	fields := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	const user, system, tick = 11, 12, 10 * time.Millisecond
	if len(fields) <= system {
		return 0, errors.New("too few fields in /proc/PID/stat")
	}
	u, err1 := strconv.Atoi(string(fields[user]))
	s, err2 := strconv.Atoi(string(fields[system]))
	if err1 != nil || err2 != nil {
		return 0, errors.New("invalid CPU time in /proc/PID/stat")
	}
	return time.Duration(u+s) * tick, nil
}
