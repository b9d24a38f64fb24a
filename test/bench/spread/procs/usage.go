package procs

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/test/harness"
)

// status is the part of an agent's /status that the bench reads.
type status struct {
	Version  string
	Progress struct {
		Target, State, Reason                         string
		Chunks, ChunksHave                            int
		BytesFromOrigin, BytesFromPeers, BytesToPeers int64
	}
}

// usage is what one machine's link has carried.
type usage struct {
	origin, in, out int64
	// inOther and outOther went from and to other regions.
	inOther, outOther int64
	corrupted         int64
}

// Use is the use of links in copies of the new version. Lost machines count
// only in Origin.
type Use struct {
	Origin, MachineMax, RegionMax float64
	Corrupted                     int64
}

// names of the agent's metrics
const (
	metricFromPeers = "weights_from_peers_bytes"
	metricToPeers   = "weights_to_peers_bytes"
	metricCorrupted = "weights_corrupted_chunks"
	metricOrigin    = "weights_origin_bytes"
)

// read returns the counters of one agent.
func read(ctx context.Context, n *harness.Node) (usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Admin+"/metrics", nil)
	if err != nil {
		return usage{}, errors.Wrap(err, "building a request for metrics")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return usage{}, errors.Wrapf(err, "metrics of %s", n.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	return parse(resp.Body)
}

// parse reads the text format of metrics.
func parse(r io.Reader) (usage, error) {
	var u usage
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		line := sc.Text()
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || line[0] == '#' {
			continue
		}
		x, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			continue
		}
		u.add(line, int64(x), strings.Contains(line, `region="other"`))
	}
	return u, errors.Wrap(sc.Err(), "reading metrics")
}

func (u *usage) add(line string, n int64, other bool) {
	switch {
	case strings.HasPrefix(line, metricOrigin):
		u.origin += n
	case strings.HasPrefix(line, metricFromPeers):
		u.in += n
		if other {
			u.inOther += n
		}
	case strings.HasPrefix(line, metricToPeers):
		u.out += n
		if other {
			u.outOther += n
		}
	case strings.HasPrefix(line, metricCorrupted):
		u.corrupted += n
	}
}

// all reads the counters of the machines that are not lost.
func (f *Fleet) all(ctx context.Context) (map[string]usage, error) {
	agents := f.alive()
	got := make([]usage, len(agents))
	p := pool.New().WithErrors().WithMaxGoroutines(pollers)
	for i, n := range agents {
		p.Go(func() (err error) {
			got[i], err = read(ctx, n)
			return err
		})
	}
	if err := p.Wait(); err != nil {
		return nil, err
	}
	out := map[string]usage{}
	for i, n := range agents {
		out[n.Name] = got[i]
	}
	total, err := f.OriginBytes(ctx)
	out[""] = usage{origin: total}
	return out, err
}

// mark remembers the counters before the spread.
func (f *Fleet) mark(ctx context.Context) (err error) {
	f.base, err = f.all(ctx)
	return err
}

// use returns the use of links since mark.
func (f *Fleet) use(ctx context.Context) (Use, error) {
	now, err := f.all(ctx)
	if err != nil {
		return Use{}, err
	}
	size := float64(f.cfg.Bytes)
	out := Use{Origin: float64(now[""].origin-f.base[""].origin) / size}
	in, away := map[string]int64{}, map[string]int64{}
	for _, n := range f.alive() {
		a, b := f.base[n.Name], now[n.Name]
		sum := b.origin + b.in + b.out - a.origin - a.in - a.out
		out.MachineMax = max(out.MachineMax, float64(sum)/size)
		out.Corrupted += b.corrupted - a.corrupted
		in[n.Region] += b.origin + b.inOther - a.origin - a.inOther
		away[n.Region] += b.outOther - a.outOther
	}
	for r := range in {
		out.RegionMax = max(out.RegionMax, float64(in[r])/size, float64(away[r])/size)
	}
	return out, nil
}
