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

// agentStatus is the part of an agent's /status that the bench reads.
type agentStatus struct {
	Version  string
	Progress struct {
		Target, State, Reason                         string
		Chunks, ChunksHave                            int
		BytesFromOrigin, BytesFromPeers, BytesToPeers int64
	}
}

// linkCounters holds the bytes that one machine has received from the origin (origin)
// and from peers (in) and sent to peers (out).
type linkCounters struct {
	origin, in, out int64
	// inOther and outOther are the parts from and to other regions.
	inOther, outOther int64
	corrupted         int64 // chunks
}

// LinkUsage is the number of bytes on links, in copies of the new version.
// MachineMax and RegionMax belong to the most loaded machine and region. Lost
// machines count only in Origin.
type LinkUsage struct {
	Origin, MachineMax, RegionMax float64
	Corrupted                     int64 // chunks
}

// Names of the agent's metrics.
const (
	metricFromPeers = "weights_from_peers_bytes"
	metricToPeers   = "weights_to_peers_bytes"
	metricCorrupted = "weights_corrupted_chunks"
	metricOrigin    = "weights_origin_bytes"
)

// readCounters reads the counters of one agent.
func readCounters(ctx context.Context, n *harness.Node) (linkCounters, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Admin+"/metrics", nil)
	if err != nil {
		return linkCounters{}, errors.Wrap(err, "creating the metrics request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return linkCounters{}, errors.Wrapf(err, "reading the metrics of %s", n.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	return parseCounters(resp.Body)
}

// parseCounters reads the counters from metrics in the text format.
func parseCounters(r io.Reader) (linkCounters, error) {
	var c linkCounters
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		line := sc.Text()
		space := strings.LastIndexByte(line, ' ')
		if space < 0 || line[0] == '#' {
			continue
		}
		value, err := strconv.ParseFloat(line[space+1:], 64)
		if err != nil {
			continue
		}
		c.add(line, int64(value), strings.Contains(line, `region="other"`))
	}
	return c, errors.Wrap(sc.Err(), "reading metrics")
}

func (c *linkCounters) add(line string, n int64, otherRegion bool) {
	switch {
	case strings.HasPrefix(line, metricOrigin):
		c.origin += n
	case strings.HasPrefix(line, metricFromPeers):
		c.in += n
		if otherRegion {
			c.inOther += n
		}
	case strings.HasPrefix(line, metricToPeers):
		c.out += n
		if otherRegion {
			c.outOther += n
		}
	case strings.HasPrefix(line, metricCorrupted):
		c.corrupted += n
	}
}

// readAllCounters reads the counters of the machines that are not lost, by name. The
// empty name holds the bytes that the origin sent.
func (f *Fleet) readAllCounters(ctx context.Context) (map[string]linkCounters, error) {
	agents := f.activeAgents()
	counters := make([]linkCounters, len(agents))
	p := pool.New().WithErrors().WithMaxGoroutines(maxStatusCalls)
	for i, n := range agents {
		p.Go(func() (err error) {
			counters[i], err = readCounters(ctx, n)
			return err
		})
	}
	if err := p.Wait(); err != nil {
		return nil, err
	}
	out := map[string]linkCounters{}
	for i, n := range agents {
		out[n.Name] = counters[i]
	}
	total, err := f.OriginBytes(ctx)
	out[""] = linkCounters{origin: total}
	return out, err
}

// saveBase saves the counters before a distribution.
func (f *Fleet) saveBase(ctx context.Context) (err error) {
	f.base, err = f.readAllCounters(ctx)
	return err
}

// usage returns the usage of links since saveBase.
func (f *Fleet) usage(ctx context.Context) (LinkUsage, error) {
	now, err := f.readAllCounters(ctx)
	if err != nil {
		return LinkUsage{}, err
	}
	size := float64(f.cfg.Bytes)
	out := LinkUsage{Origin: float64(now[""].origin-f.base[""].origin) / size}
	regionIn, regionOut := map[string]int64{}, map[string]int64{}
	for _, n := range f.activeAgents() {
		prev, cur := f.base[n.Name], now[n.Name]
		sum := cur.origin + cur.in + cur.out - prev.origin - prev.in - prev.out
		out.MachineMax = max(out.MachineMax, float64(sum)/size)
		out.Corrupted += cur.corrupted - prev.corrupted
		regionIn[n.Region] += cur.origin + cur.inOther - prev.origin - prev.inOther
		regionOut[n.Region] += cur.outOther - prev.outOther
	}
	for r := range regionIn {
		out.RegionMax = max(out.RegionMax, float64(regionIn[r])/size, float64(regionOut[r])/size)
	}
	return out, nil
}
