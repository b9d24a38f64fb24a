// Package procs measures the spread of a version with real processes: agents,
// entries, the platform and the origin on loopback, with live requests during
// the spread.
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
	model     = "bench"
	chunkSize = 32 << 10
	// oldBytes is the size of the first version. It is small, so that a fleet
	// is ready soon.
	oldBytes         = 256 << 10
	oldSeed, newSeed = 1, 2
	// originFaster is the rate of the origin's link over that of a machine's.
	originFaster = 4
	// maxEntries is the number of entries, one in each of the first regions.
	maxEntries = 2
	// pollEvery is the time between two looks at the machines. It is part of
	// the measured time.
	pollEvery = 100 * time.Millisecond
	// pollers bounds the status calls in progress.
	pollers = 8
)

// Config describes a fleet.
type Config struct {
	Machines, Regions int
	// Bytes is the size of the version that is spread.
	Bytes int
	// Rate is that of each machine's link, each way, in bytes per second.
	Rate int64
	// Corrupt is the share of chunks that the origin sends with a wrong byte.
	Corrupt float64
}

// Fleet is a running deployment that serves the old version.
type Fleet struct {
	*harness.Deployment
	cfg      Config
	old, new origin.Version
	// lost holds the names of the agents that the bench killed or stopped.
	lost map[string]bool
	base map[string]usage
}

// Start starts the processes and waits until all engines serve the old version.
func Start(ctx context.Context, h *harness.Harness, c Config) (*Fleet, error) {
	f := &Fleet{cfg: c, lost: map[string]bool{}}
	f.old = origin.Version{Model: fleet.Model(model), Bytes: oldBytes, ChunkBytes: chunkSize, Seed: oldSeed}
	f.new = origin.Version{Model: fleet.Model(model), Bytes: c.Bytes, ChunkBytes: chunkSize, Seed: newSeed}
	s := harness.Spec{
		Origin: harness.OriginSpec{
			Model: model, Size: strconv.Itoa(oldBytes), Chunk: strconv.Itoa(chunkSize), Seed: oldSeed,
			Rate: strconv.FormatInt(originFaster*c.Rate, 10),
		},
		// The engines bear twice what their agents admit, because an engine
		// counts a request out only after its agent read the end of the answer.
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
		err = errors.Wrapf(err, "agents without a version now: %q", f.notReady(ctx))
	}
	return f, err
}

// notReady describes the agents that serve nothing, for the message of a fleet
// that does not start.
func (f *Fleet) notReady(ctx context.Context) string {
	out := ""
	for _, n := range f.Agents {
		var s status
		if err := harness.GetStatus(ctx, n.Admin, &s); err != nil || s.Version == "" {
			out += fmt.Sprintf("%s: %+v %v; ", n.Name, s, err)
		}
	}
	return out
}

// Next makes the version that was spread the old one and another the new one.
func (f *Fleet) Next() {
	f.old = f.new
	f.new.Seed++
}

// id is the name of a version, the digest of its manifest.
func id(v origin.Version) string { return string(v.Manifest().Version()) }

// declare publishes the new version and applies the declaration that serves it.
// It returns the time of acceptance, before which no agent can know of it.
func (f *Fleet) declare(ctx context.Context) (time.Time, error) {
	in := map[string]any{"model": model, "size": strconv.Itoa(f.cfg.Bytes), "chunk": strconv.Itoa(chunkSize), "seed": f.new.Seed}
	url := "http://" + f.OriginAddr + "/versions"
	if err := harness.CallJSON(ctx, "POST", url, in, nil); err != nil {
		return time.Time{}, err
	}
	if err := harness.SetFaults(ctx, f.OriginAddr, origin.Faults{Corrupt: f.cfg.Corrupt}); err != nil {
		return time.Time{}, err
	}
	text := f.Spec.RenderDeclaration(map[string]string{"old": id(f.old), "new": id(f.new)}, "new")
	err := f.Apply(ctx, text)
	return time.Now(), err
}

// look is what one round over the machines showed.
type look struct {
	held    float64 // mean share of the new version that is held
	serving int
	behind  string // a machine that does not serve the new version
}

// survey asks every machine that is not lost for its status.
func (f *Fleet) survey(ctx context.Context) (look, error) {
	agents := f.alive()
	want := id(f.new)
	got := make([]status, len(agents))
	p := pool.New().WithErrors().WithMaxGoroutines(pollers)
	for i, n := range agents {
		p.Go(func() error { return errors.Wrap(harness.GetStatus(ctx, n.Admin, &got[i]), n.Name) })
	}
	if err := p.Wait(); err != nil {
		return look{}, err
	}
	var l look
	for i, s := range got {
		if s.Version == want {
			l.serving++
			l.held += 1 / float64(len(got))
			continue
		}
		l.behind = fmt.Sprintf("%s %+v", agents[i].Name, s.Progress)
		if s.Progress.Target == want && s.Progress.Chunks > 0 {
			l.held += float64(s.Progress.ChunksHave) / float64(s.Progress.Chunks) / float64(len(got))
		}
	}
	return l, nil
}

func (f *Fleet) alive() []*harness.Node {
	var out []*harness.Node
	for _, n := range f.Agents {
		if !f.lost[n.Name] {
			out = append(out, n)
		}
	}
	return out
}

// Spread declares the new version and waits until all machines that are not
// lost serve it. half, if not nil, is called when they hold half of it. Use is
// that of the spread alone.
func (f *Fleet) Spread(ctx context.Context, half func() error) (took time.Duration, use Use, err error) {
	if err := f.mark(ctx); err != nil {
		return 0, use, err
	}
	start, err := f.declare(ctx)
	if err != nil {
		return 0, use, err
	}
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		l, err := f.survey(ctx)
		if err != nil {
			return 0, use, err
		}
		if half != nil && l.held >= 0.5 {
			if err := half(); err != nil {
				return 0, use, err
			}
			half = nil
		}
		if l.serving == len(f.alive()) {
			took = time.Since(start)
			use, err = f.use(ctx)
			return took, use, err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return 0, use, errors.Errorf("%d of %d machines serve; %s", l.serving, len(f.alive()), l.behind)
		}
	}
}

// Fault kills a tenth of the agents with SIGKILL and stops another tenth with
// SIGSTOP.
func (f *Fleet) Fault() error {
	for i := range len(f.Agents) / 10 {
		dead, stopped := f.Agents[10*i+3], f.Agents[10*i+8]
		f.lost[dead.Name], f.lost[stopped.Name] = true, true
		if err := dead.Proc.Kill(); err != nil {
			return err
		}
		if err := stopped.Proc.Pause(); err != nil {
			return err
		}
	}
	return nil
}
