package agent

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/ledgerdoc"
	"github.com/masticwing/masticwing/internal/adapter/originhttp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/directory"
	"github.com/masticwing/masticwing/internal/app/ledger"
	"github.com/masticwing/masticwing/internal/app/weights"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// components are the parts of an agent that hold weights, ledger records and
// the members, with their protocol handlers.
type components struct {
	Weights   port.Weights
	Ledger    port.Ledger
	Directory port.Directory
	Peer      port.PeerHandler
	Member    port.MemberHandler
	// NotReadyReason returns why the directory has no declaration, or "" if it has one.
	NotReadyReason func() string
	// Traffic returns the bytes sent and received by kind.
	Traffic func() []port.Traffic
	// Run runs the components until ctx ends.
	Run func(ctx context.Context)
}

// clients are the RPC clients of an agent. Member exchanges and weight transfers
// use separate clients, so that their traffic is counted separately.
type clients struct {
	control, peers *rpc.Client
}

func newClients(source netip.Addr) clients {
	c := clients{rpc.NewClient(), rpc.NewClient()}
	c.control.Source, c.peers.Source = source, source
	return c
}

func (c clients) close() {
	c.control.Close()
	c.peers.Close()
}

// newComponents creates the directory, the weights and the ledger of an agent.
func newComponents(c Settings, id Identity, env daemon.Env, kv port.KV, cl clients) components {
	directoryClient := directory.Connect(c.Settings, fleet.KindAgent, c.Common, c.Labels, env, cl.control)
	weightStore := weights.New(weights.Settings{
		VM: id.VM, Region: id.Region, OriginRegion: fleet.Region(c.OriginRegion), InRate: c.InRate, OutRate: c.OutRate, Memory: c.WeightsMemory,
	}, weights.Deps{
		Directory: directoryClient, Peers: cl.peers, Origin: originhttp.New(c.Origin, id.VM),
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: env.Metrics,
	})
	callLedger := ledger.New(kv, ledgerdoc.Codec{}, sysclock.Clock{}, sysclock.Rand{}, ledger.Options{
		WritesPerSecond: float64(c.LedgerWritesPerSecond), Window: c.LedgerWindow,
		MaxAnswerBytes: c.LedgerAnswers, Metrics: env.Metrics,
	})
	run := func(ctx context.Context) {
		var wg conc.WaitGroup
		wg.Go(func() { directoryClient.Run(ctx) })
		wg.Go(func() { weightStore.Run(ctx) })
		wg.Go(func() { callLedger.Run(ctx) })
		wg.Go(func() { shareLedgerRate(ctx, directoryClient, id, callLedger, float64(c.LedgerWritesPerSecond)) })
		wg.Wait()
	}
	return components{
		Weights: weightStore, Ledger: callLedger, Directory: directoryClient, Peer: weightStore, Member: directoryClient.Handler(),
		NotReadyReason: directoryClient.NotReadyReason, Traffic: directoryClient.Traffic, Run: run,
	}
}

// shareLedgerRate divides the rate limit of a service's ledger writes among its
// live agents, so that the platform's load does not grow with their number.
func shareLedgerRate(ctx context.Context, directory port.Directory, id Identity, callLedger *ledger.Ledger, totalRate float64) {
	changed, unsubscribe := directory.Subscribe()
	defer unsubscribe()
	for {
		if n := countServiceAgents(directory, id); n > 0 {
			callLedger.SetRate(totalRate / float64(n))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// countServiceAgents returns the number of agents that run the same service as
// this one, at least 1, or 0 if this agent is assigned no service.
func countServiceAgents(directory port.Directory, id Identity) int {
	d, _ := directory.Declaration()
	if d == nil {
		return 0
	}
	ownService := d.Assign(id.machine()).Service
	if ownService == "" {
		return 0
	}
	n := 0
	for _, m := range directory.Members(fleet.KindAgent) {
		if m.Status != nil && m.Status.Service == ownService {
			n++
		}
	}
	return max(n, 1)
}
