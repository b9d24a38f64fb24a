// Package cluster runs many weight managers in one process. They talk over the
// real protocol on loopback and draw from the stand-in of the origin over HTTP.
// The links of machines are paced by their own settings, the links of regions
// by pacing the sum of what crosses them.
package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/origin"
)

// Config describes a run.
type Config struct {
	Machines, Regions int
	// MachineRate, RegionRate and OriginRate are bytes per second; 0 means no
	// limit.
	MachineRate, RegionRate, OriginRate int64
	Version                             origin.Version
	// Others are further versions that the origin has.
	Others []origin.Version
	// OriginInside puts the origin into the first region, so that what it gives
	// to the others crosses that region's link.
	OriginInside bool
	// Memory bounds the chunks of one machine.
	Memory int64
	// Corrupt is the share of chunks between machines that carry a wrong byte.
	Corrupt float64
	// Alone hides the machines from each other, so that each draws from the
	// origin.
	Alone bool
}

// Cluster is a running set of machines with their origin.
type Cluster struct {
	Config  Config
	Target  port.WantedVersion
	Origin  *origin.Server
	Agents  []*Agent
	Regions []*RegionLink

	originAddr fleet.Address
	dir        *directory
	regionOf   map[fleet.Address]int
	ctx        context.Context
	cancel     context.CancelFunc
	wg         conc.WaitGroup
	start      time.Time
}

// New starts the machines. They want nothing yet.
func New(cfg Config) (*Cluster, error) {
	c := &Cluster{Config: cfg, regionOf: map[fleet.Address]int{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	man := cfg.Version.Manifest()
	c.Target = port.WantedVersion{Model: man.Model, Version: man.Version()}
	c.dir = newDirectory(c.Target)
	c.Origin = origin.New(cfg.OriginRate, append([]origin.Version{cfg.Version}, cfg.Others...)...)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening as origin")
	}
	c.originAddr = fleet.Address(lis.Addr().String())
	srv := &http.Server{Handler: c.Origin.Handler(), ReadHeaderTimeout: 5 * time.Second}
	c.wg.Go(func() { _ = srv.Serve(lis) })
	c.wg.Go(func() {
		<-c.ctx.Done()
		_ = srv.Close()
	})
	for r := range cfg.Regions {
		c.Regions = append(c.Regions, newRegionLink(fleet.Region(fmt.Sprintf("r%d", r+1)), cfg.RegionRate))
	}
	return c, c.startAgents()
}

func (c *Cluster) startAgents() error {
	listeners := make([]net.Listener, c.Config.Machines)
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.cancel()
			return errors.Wrap(err, "listening as agent")
		}
		listeners[i] = l
		c.regionOf[fleet.Address(l.Addr().String())] = i % c.Config.Regions
	}
	for i, l := range listeners {
		a, err := c.newAgent(i, l)
		if err != nil {
			c.cancel()
			return err
		}
		c.Agents = append(c.Agents, a)
	}
	return nil
}

// Restart replaces a stopped machine with an empty one on a new address.
func (c *Cluster) Restart(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listening as agent")
	}
	// Restart is only for tests that have no region pacing: regionOf is read
	// without a lock by running machines.
	a, err := c.newAgent(i, l)
	if err != nil {
		return err
	}
	c.Agents[i] = a
	a.Manager.Want([]port.WantedVersion{c.Target})
	return nil
}

// Want lets all machines want the version.
func (c *Cluster) Want() {
	c.start = time.Now()
	for _, a := range c.Agents {
		a.Manager.Want([]port.WantedVersion{c.Target})
	}
}

// Wait waits until all machines that are neither stopped nor frozen hold the
// version, and returns the time since Want.
func (c *Cluster) Wait(ctx context.Context) (time.Duration, error) {
	for _, a := range c.Agents {
		for !a.Lost() {
			if _, _, ok := a.Manager.Open(c.Target.Version); ok {
				break
			}
			select {
			case <-ctx.Done():
				return 0, errors.Errorf("%s: %+v", a.VM, a.Manager.Progress())
			case <-a.Manager.Changed():
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return time.Since(c.start), nil
}

// Held returns the share of chunks that the machines hold.
func (c *Cluster) Held() float64 {
	have, all := 0, 0
	for _, a := range c.Agents {
		p := a.Manager.Progress()
		have += p.ChunksHave
		all += max(1, p.Chunks)
	}
	return float64(have) / float64(all)
}

// Close ends everything.
func (c *Cluster) Close() {
	for _, a := range c.Agents {
		a.gate.close()
	}
	c.cancel()
	c.wg.Wait()
	for _, a := range c.Agents {
		a.client.Close()
	}
}

// Copies is the use of links in copies of the version.
type Copies struct {
	Origin, MachineMax, RegionMax float64
	Corrupted                     int64
}

// Copies returns the use of the links since the start, those of stopped and
// frozen machines included.
func (c *Cluster) Copies() Copies {
	size := float64(c.Config.Version.Bytes)
	out := Copies{Origin: float64(c.Origin.TotalBytes()) / size}
	for _, a := range c.Agents {
		n := a.Manager.Counters()
		sum := n.Origin + n.SameRegion + n.OtherRegion + n.ToPeers
		out.MachineMax = max(out.MachineMax, float64(sum)/size)
		out.Corrupted += n.CorruptedChunks
	}
	for _, r := range c.Regions {
		out.RegionMax = max(out.RegionMax, float64(r.in.Load())/size, float64(r.out.Load())/size)
	}
	return out
}
