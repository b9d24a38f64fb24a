package cluster

import (
	"context"
	"fmt"
	"net"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/originhttp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/weights"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Agent is one simulated machine: a weight manager with its server and client.
type Agent struct {
	VM      fleet.VM
	Manager *weights.Manager
	Address fleet.Address

	cluster *Cluster
	client  *rpc.Client
	gate    *gate
	cancel  context.CancelFunc
}

func (c *Cluster) newAgent(i int, lis net.Listener) (*Agent, error) {
	region := c.Regions[i%c.Config.Regions]
	a := &Agent{
		VM: fleet.VM(fmt.Sprintf("vm%03d", i)), Address: fleet.Address(lis.Addr().String()),
		cluster: c, client: rpc.NewClient(), gate: newGate(),
	}
	var originRegion fleet.Region
	if c.Config.OriginInRegion {
		originRegion = c.Regions[0].name
	}
	a.Manager = weights.New(weights.Settings{
		VM: a.VM, Region: region.name, OriginRegion: originRegion, InRate: c.Config.MachineRate, OutRate: c.Config.MachineRate, Memory: c.Config.Memory,
	}, weights.Deps{
		Directory: c.dir.view(c.Config.WithoutPeers),
		Peers:     &peerClient{PeerClient: a.client, agent: a, regionIndex: i % c.Config.Regions},
		Origin:    &originClient{Origin: originhttp.New(c.originAddr, a.VM), agent: a, regionLink: region},
		Clock:     sysclock.Clock{},
		Rand:      sysclock.Rand{},
		Metrics:   noMetrics{},
	})
	srv, err := rpc.NewServer(rpc.Handlers{Peer: a.Manager})
	if err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(c.ctx)
	c.wg.Go(func() {
		var wg conc.WaitGroup
		wg.Go(func() { a.Manager.Run(ctx) })
		wg.Go(func() { _ = srv.Serve(ctx, gatedListener{lis, a.gate}) })
		wg.Wait()
	})
	c.dir.put(port.MemberRecord{
		ID: string(a.VM), Kind: fleet.KindAgent, Domain: fleet.Domain(region.name), Region: region.name, Address: a.Address,
	})
	return a, nil
}

// IsLost reports whether the machine was stopped or frozen.
func (a *Agent) IsLost() bool { return a.gate.isBlocked() }

// Stop stops the machine and closes its connections. The directory drops the
// machine after removalDelay.
func (a *Agent) Stop() {
	a.gate.close()
	a.cancel()
	a.client.Close()
	a.cluster.dir.removeLater(a)
}

// Freeze stops all traffic of the machine but leaves its connections open. The
// directory drops the machine after removalDelay.
func (a *Agent) Freeze() {
	a.gate.freeze()
	a.cluster.dir.removeLater(a)
}

// FreezeUnnoticed freezes the machine and leaves it in the directory.
func (a *Agent) FreezeUnnoticed() { a.gate.freeze() }
