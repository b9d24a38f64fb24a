package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/test/harness"
)

// maxStatusCalls limits the concurrent status calls.
const maxStatusCalls = 16

// Kinds of traffic, as at /status.
const (
	kindAll      = "connections"
	kindExchange = "exchange"
	kindDocument = "document"
	kindStatus   = "status"
	kindPlatform = "platform"
)

// reading holds the counters of one process.
type reading struct {
	revision uint64
	cpuTicks int64 // in hundredths of a second
	rssKiB   int64
	bytes    map[string]int64 // sent and received, by kind
}

// usage holds what one process used per second, and its memory.
type usage struct {
	cpuPercent, rssMiB float64
	bytes              map[string]float64
}

// window holds the usage of each process and the calls to the platform during an
// interval.
type window struct {
	seconds float64
	usages  map[string]usage // by name
	calls   float64          // per second
}

// measureWindow measures an interval in which body runs.
func (f *fleet) measureWindow(ctx context.Context, body func() error) (window, error) {
	before, err := f.readAll(ctx)
	if err != nil {
		return window{}, err
	}
	calls, start := f.platformCalls(ctx), time.Now()
	if err := body(); err != nil {
		return window{}, err
	}
	w := window{seconds: time.Since(start).Seconds(), usages: map[string]usage{}}
	w.calls = float64(f.platformCalls(ctx)-calls) / w.seconds
	after, err := f.readAll(ctx)
	for name, a := range after {
		b := before[name]
		u := usage{
			cpuPercent: float64(a.cpuTicks-b.cpuTicks) / w.seconds, rssMiB: float64(a.rssKiB) / 1024,
			bytes: map[string]float64{},
		}
		for k, n := range a.bytes {
			u.bytes[k] = float64(n-b.bytes[k]) / w.seconds
		}
		w.usages[name] = u
	}
	return w, err
}

func (f *fleet) platformCalls(ctx context.Context) int64 {
	counts, _ := harness.GetCounts(ctx, f.d.PlatformAddr)
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}

// readAll reads the counters of all processes, by name.
func (f *fleet) readAll(ctx context.Context) (map[string]reading, error) {
	var mu sync.Mutex
	out := map[string]reading{}
	p := pool.New().WithErrors().WithMaxGoroutines(maxStatusCalls)
	for _, n := range f.d.Nodes() {
		p.Go(func() error {
			r, err := readProcess(ctx, n)
			if err != nil {
				return errors.Wrap(err, n.Name)
			}
			mu.Lock()
			defer mu.Unlock()
			out[n.Name] = r
			return nil
		})
	}
	err := p.Wait()
	for name, r := range out {
		f.recordRevision(name, r.revision)
	}
	return out, err
}

// recordRevision counts a revert if a process reports a lower revision than before.
func (f *fleet) recordRevision(name string, rev uint64) {
	if rev < f.highestSeen[name] {
		f.reverts++
	}
	f.highestSeen[name] = max(f.highestSeen[name], rev)
}

func readProcess(ctx context.Context, n *harness.Node) (reading, error) {
	out := reading{bytes: map[string]int64{}}
	var status struct {
		Revision uint64
		Traffic  []struct {
			Kind string `json:"kind"`
			In   int64  `json:"in_bytes"`
			Out  int64  `json:"out_bytes"`
		}
	}
	if err := harness.GetStatus(ctx, n.Admin, &status); err != nil {
		return out, err
	}
	out.revision = status.Revision
	for _, t := range status.Traffic {
		out.bytes[t.Kind] = t.In + t.Out
	}
	dir := "/proc/" + strconv.Itoa(n.Proc.PID)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return out, errors.Wrap(err, "reading CPU time")
	}
	// The second field, the name in parentheses, may contain spaces, so the fields
	// are counted from the one after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const utime, stime, rssPages = 11, 12, 21
	user, _ := strconv.ParseInt(fields[utime], 10, 64)
	system, _ := strconv.ParseInt(fields[stime], 10, 64)
	pages, _ := strconv.ParseInt(fields[rssPages], 10, 64)
	out.cpuTicks, out.rssKiB = user+system, pages*int64(os.Getpagesize())/1024
	return out, nil
}
