// Package procs measures the distribution of a version with real processes on
// loopback: agents, entries, the platform and the origin. It can send live
// requests during the distribution.
package procs

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	model      = "bench"
	chunkBytes = 32 << 10
	// oldBytes is the size of the first version. It is small, so that a fleet
	// starts quickly.
	oldBytes         = 256 << 10
	oldSeed, newSeed = 1, 2
	// originRateFactor is the rate of the origin's link divided by that of a
	// machine's link.
	originRateFactor = 4
	// maxEntries is the number of entries, one in each of the first regions.
	maxEntries = 2
	// pollInterval is the time between two status queries of the machines. The
	// measured time includes up to one interval.
	pollInterval = 100 * time.Millisecond
	// maxStatusCalls limits the concurrent status calls.
	maxStatusCalls = 8
)

// Config sets the size of a fleet, the rates of its links and its faults.
type Config struct {
	Machines, Regions int
	// Bytes is the size of the version that is distributed.
	Bytes int
	// Rate is the rate of each machine's link, in bytes per second and direction.
	Rate int64
	// Corrupt is the fraction of chunks that the origin sends with a wrong byte.
	Corrupt float64
}

// Fleet is a running deployment that serves the old version.
type Fleet struct {
	*harness.Deployment
	cfg      Config
	old, new origin.Version
	// lost holds the names of the agents that the bench killed or stopped.
	lost map[string]bool
	// base holds the counters at the start of the distribution, by agent.
	base map[string]linkCounters
}

// Start starts the processes and waits until all engines serve the old version.
func Start(ctx context.Context, h *harness.Harness, c Config) (*Fleet, error) {
	f := &Fleet{cfg: c, lost: map[string]bool{}}
	f.old = origin.Version{Model: fleet.Model(model), Bytes: oldBytes, ChunkBytes: chunkBytes, Seed: oldSeed}
	f.new = origin.Version{Model: fleet.Model(model), Bytes: c.Bytes, ChunkBytes: chunkBytes, Seed: newSeed}
	s := harness.Spec{
		Origin: harness.OriginSpec{
			Model: model, Size: strconv.Itoa(oldBytes), Chunk: strconv.Itoa(chunkBytes), Seed: oldSeed,
			Rate: strconv.FormatInt(originRateFactor*c.Rate, 10),
		},
		// The limit of an engine is twice that of its agent, because the agent
		// reads the end of a response before the engine has freed the slot.
		Engine:   harness.EngineSpec{MaxRequests: 2 * slots, ColdRequests: 2, TokenDelay: tokenDelay.String(), OneProcess: true},
		LinkRate: strconv.FormatInt(c.Rate, 10),
		LimitLines: []string{
			"max_requests = " + strconv.Itoa(slots), "max_bytes = 4MiB", "cold_requests = 1", "ramp_step = 200ms",
		},
	}
	for r := range c.Regions {
		d := harness.DomainSpec{Name: fmt.Sprintf("d%d", r+1), Region: fmt.Sprintf("r%d", r+1)}
		d.Engines = (c.Machines + c.Regions - 1 - r) / c.Regions
		if r < maxEntries {
			d.Entries = 1
		}
		s.Domains = append(s.Domains, d)
	}
	var err error
	f.Deployment, err = harness.Deploy(ctx, h, s)
	if err != nil {
		err = errors.Wrapf(err, "agents that serve no version: %q", f.describeNotReady(ctx))
	}
	return f, err
}

// describeNotReady describes the agents that serve no version, for the error of a
// fleet that does not start.
func (f *Fleet) describeNotReady(ctx context.Context) string {
	out := ""
	for _, n := range f.Agents {
		var s agentStatus
		if err := harness.GetStatus(ctx, n.Admin, &s); err != nil || s.Version == "" {
			out += fmt.Sprintf("%s: %+v %v; ", n.Name, s, err)
		}
	}
	return out
}

// PrepareNextVersion makes the distributed version the old one and generates
// another as the new one.
func (f *Fleet) PrepareNextVersion() {
	f.old = f.new
	f.new.Seed++
}

// digest is the name of a version, the digest of its manifest.
func digest(v origin.Version) string { return string(v.Manifest().Version()) }

// publishAndApply publishes the new version and applies the declaration that
// serves it. It returns the time at which the platform accepted the declaration;
// agents cannot learn of the version earlier.
func (f *Fleet) publishAndApply(ctx context.Context) (time.Time, error) {
	req := map[string]any{"model": model, "size": strconv.Itoa(f.cfg.Bytes), "chunk": strconv.Itoa(chunkBytes), "seed": f.new.Seed}
	url := "http://" + f.OriginAddr + "/versions"
	if err := harness.CallJSON(ctx, "POST", url, req, nil); err != nil {
		return time.Time{}, err
	}
	if err := harness.SetFaults(ctx, f.OriginAddr, origin.Faults{Corrupt: f.cfg.Corrupt}); err != nil {
		return time.Time{}, err
	}
	text := f.Spec.RenderDeclaration(map[string]string{"old": digest(f.old), "new": digest(f.new)}, "new")
	err := f.Apply(ctx, text)
	return time.Now(), err
}

// progress is the result of one status query of all machines.
type progress struct {
	held    float64 // mean fraction of the new version's chunks
	serving int     // machines that serve the new version
	behind  string  // describes a machine that does not serve it
}

// queryProgress queries the status of every machine that is not lost.
func (f *Fleet) queryProgress(ctx context.Context) (progress, error) {
	agents := f.activeAgents()
	want := digest(f.new)
	statuses := make([]agentStatus, len(agents))
	p := pool.New().WithErrors().WithMaxGoroutines(maxStatusCalls)
	for i, n := range agents {
		p.Go(func() error { return errors.Wrap(harness.GetStatus(ctx, n.Admin, &statuses[i]), n.Name) })
	}
	if err := p.Wait(); err != nil {
		return progress{}, err
	}
	var pr progress
	for i, s := range statuses {
		if s.Version == want {
			pr.serving++
			pr.held += 1 / float64(len(statuses))
			continue
		}
		pr.behind = fmt.Sprintf("%s %+v", agents[i].Name, s.Progress)
		if s.Progress.Target == want && s.Progress.Chunks > 0 {
			pr.held += float64(s.Progress.ChunksHave) / float64(s.Progress.Chunks) / float64(len(statuses))
		}
	}
	return pr, nil
}

// activeAgents returns the agents that the bench neither killed nor stopped.
func (f *Fleet) activeAgents() []*harness.Node {
	var out []*harness.Node
	for _, n := range f.Agents {
		if !f.lost[n.Name] {
			out = append(out, n)
		}
	}
	return out
}

// Distribute applies a declaration of the new version and waits until all
// machines that are not lost serve it. If atHalf is not nil, Distribute calls it
// once when they hold half of the version. The returned usage excludes earlier
// traffic.
func (f *Fleet) Distribute(ctx context.Context, atHalf func() error) (took time.Duration, usage LinkUsage, err error) {
	if err := f.saveBase(ctx); err != nil {
		return 0, usage, err
	}
	start, err := f.publishAndApply(ctx)
	if err != nil {
		return 0, usage, err
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		pr, err := f.queryProgress(ctx)
		if err != nil {
			return 0, usage, err
		}
		if atHalf != nil && pr.held >= 0.5 {
			if err := atHalf(); err != nil {
				return 0, usage, err
			}
			atHalf = nil
		}
		if pr.serving == len(f.activeAgents()) {
			took = time.Since(start)
			usage, err = f.usage(ctx)
			return took, usage, err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return 0, usage, errors.Errorf("%d of %d machines serve the version; %s", pr.serving, len(f.activeAgents()), pr.behind)
		}
	}
}

// StopAgents kills a tenth of the agents with SIGKILL and stops another tenth with
// SIGSTOP.
func (f *Fleet) StopAgents() error {
	for i := range len(f.Agents) / 10 {
		killed, stopped := f.Agents[10*i+3], f.Agents[10*i+8]
		f.lost[killed.Name], f.lost[stopped.Name] = true, true
		if err := killed.Proc.Kill(); err != nil {
			return err
		}
		if err := stopped.Proc.Pause(); err != nil {
			return err
		}
	}
	return nil
}
