// Package cluster runs many weight managers in one process. They use the real
// protocol on loopback and fetch from the origin's stand-in over HTTP. Each
// manager limits the rate of its machine's link by its own settings; the package
// limits the total that crosses each region's link.
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

// Config describes the machines, links and versions of a cluster.
type Config struct {
	Machines, Regions int
	// MachineRate, RegionRate and OriginRate are bytes per second; 0 means no
	// limit.
	MachineRate, RegionRate, OriginRate int64
	Version                             origin.Version
	// OtherVersions are further versions that the origin has.
	OtherVersions []origin.Version
	// OriginInRegion puts the origin into the first region, so that what it sends
	// to other regions crosses the first region's link.
	OriginInRegion bool
	// Memory limits the bytes of chunks that one machine holds.
	Memory int64
	// Corrupt is the fraction of chunks between machines that carry a wrong byte.
	Corrupt float64
	// WithoutPeers hides the machines from each other, so that each fetches
	// everything from the origin.
	WithoutPeers bool
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

// New starts the origin and the machines. They fetch nothing until SetVersion.
func New(cfg Config) (*Cluster, error) {
	c := &Cluster{Config: cfg, regionOf: map[fleet.Address]int{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	man := cfg.Version.Manifest()
	c.Target = port.WantedVersion{Model: man.Model, Version: man.Version()}
	c.dir = newDirectory(c.Target)
	c.Origin = origin.New(cfg.OriginRate, append([]origin.Version{cfg.Version}, cfg.OtherVersions...)...)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening for the origin")
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
			return errors.Wrap(err, "listening for an agent")
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
		return errors.Wrap(err, "listening for an agent")
	}
	// regionOf does not learn the new address, because running machines read it
	// without a lock. So Restart suits only tests without a limit of region links.
	a, err := c.newAgent(i, l)
	if err != nil {
		return err
	}
	c.Agents[i] = a
	a.Manager.Want([]port.WantedVersion{c.Target})
	return nil
}

// SetVersion makes all machines fetch the version.
func (c *Cluster) SetVersion() {
	c.start = time.Now()
	for _, a := range c.Agents {
		a.Manager.Want([]port.WantedVersion{c.Target})
	}
}

// WaitComplete waits until all machines that are neither stopped nor frozen hold
// the version, and returns the time since SetVersion.
func (c *Cluster) WaitComplete(ctx context.Context) (time.Duration, error) {
	for _, a := range c.Agents {
		for !a.IsLost() {
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

// HeldFraction returns the fraction of all machines' chunks that are held.
func (c *Cluster) HeldFraction() float64 {
	held, total := 0, 0
	for _, a := range c.Agents {
		p := a.Manager.Progress()
		held += p.ChunksHave
		total += max(1, p.Chunks)
	}
	return float64(held) / float64(total)
}

// Close stops the machines and the origin and closes their connections.
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

// LinkUsage is the number of bytes on links, in copies of the version. MachineMax
// and RegionMax belong to the most loaded machine and region.
type LinkUsage struct {
	Origin, MachineMax, RegionMax float64
	Corrupted                     int64 // chunks
}

// LinkUsage returns the usage of all links since the start, including those of
// stopped and frozen machines.
func (c *Cluster) LinkUsage() LinkUsage {
	size := float64(c.Config.Version.Bytes)
	out := LinkUsage{Origin: float64(c.Origin.TotalBytes()) / size}
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
