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

// asks bounds the processes that are asked at the same time.
const asks = 16

// Kinds of traffic.
const (
	kindAll      = "connections"
	kindExchange = "exchange"
	kindDocument = "document"
	kindStatus   = "status"
	kindPlatform = "platform"
)

// reading is what one process used so far.
type reading struct {
	revision uint64
	ticks    int64 // of processor time, in hundredths of a second
	rssKiB   int64
	bytes    map[string]int64 // both ways, by kind
}

// use is what one process used per second.
type use struct {
	cpuPercent, rssMiB float64
	bytes              map[string]float64
}

// window holds the use of each process and the platform's calls per second.
type window struct {
	seconds float64
	uses    map[string]use
	calls   float64
}

// window measures from before to after body.
func (f *fleet) window(ctx context.Context, body func() error) (window, error) {
	before, err := f.readings(ctx)
	if err != nil {
		return window{}, err
	}
	calls, began := f.platformCalls(ctx), time.Now()
	if err := body(); err != nil {
		return window{}, err
	}
	w := window{seconds: time.Since(began).Seconds(), uses: map[string]use{}}
	w.calls = float64(f.platformCalls(ctx)-calls) / w.seconds
	after, err := f.readings(ctx)
	for name, a := range after {
		b := before[name]
		u := use{
			cpuPercent: float64(a.ticks-b.ticks) / w.seconds, rssMiB: float64(a.rssKiB) / 1024,
			bytes: map[string]float64{},
		}
		for k, n := range a.bytes {
			u.bytes[k] = float64(n-b.bytes[k]) / w.seconds
		}
		w.uses[name] = u
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

// readings reads all processes.
func (f *fleet) readings(ctx context.Context) (map[string]reading, error) {
	var mu sync.Mutex
	out := map[string]reading{}
	p := pool.New().WithErrors().WithMaxGoroutines(asks)
	for _, n := range f.d.Nodes() {
		p.Go(func() error {
			r, err := read(ctx, n)
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
		f.note(name, r.revision)
	}
	return out, err
}

// note counts a revision that fell.
func (f *fleet) note(name string, rev uint64) {
	if rev < f.held[name] {
		f.reverts++
	}
	f.held[name] = max(f.held[name], rev)
}

func read(ctx context.Context, n *harness.Node) (reading, error) {
	out := reading{bytes: map[string]int64{}}
	var st struct {
		Revision uint64
		Traffic  []struct {
			Kind string `json:"kind"`
			In   int64  `json:"in_bytes"`
			Out  int64  `json:"out_bytes"`
		}
	}
	if err := harness.GetStatus(ctx, n.Admin, &st); err != nil {
		return out, err
	}
	out.revision = st.Revision
	for _, t := range st.Traffic {
		out.bytes[t.Kind] = t.In + t.Out
	}
	dir := "/proc/" + strconv.Itoa(n.Proc.PID)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return out, errors.Wrap(err, "reading processor time")
	}
	// The second field, the name in parentheses, may hold spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const utime, stime, rssPages = 11, 12, 21
	user, _ := strconv.ParseInt(fields[utime], 10, 64)
	sys, _ := strconv.ParseInt(fields[stime], 10, 64)
	pages, _ := strconv.ParseInt(fields[rssPages], 10, 64)
	out.ticks, out.rssKiB = user+sys, pages*int64(os.Getpagesize())/1024
	return out, nil
}
