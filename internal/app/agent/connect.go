package agent

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/conc"

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

// stores are the parts of an agent that hold weights, ledger records and the
// members, with the protocol handlers that belong to them.
type stores struct {
	Weights   port.Weights
	Ledger    port.Ledger
	Directory port.Directory
	Peer      port.PeerHandler
	Member    port.MemberHandler
	// NotReady returns why the directory knows no declaration, or "".
	NotReady func() string
	// Traffic returns the bytes sent and received by kind.
	Traffic func() []port.Traffic
	// Run runs the loops of the parts until ctx ends.
	Run func(ctx context.Context)
}

// clients are the rpc clients of an agent. Exchanges and transfers have one
// each, so that the traffic of control can be told from that of weights.
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

// connectStores builds the weights, the ledger and the directory of an agent.
func connectStores(c Settings, id Identity, env daemon.Env, kv port.KV, cl clients) stores {
	dir := directory.Connect(c.Settings, fleet.KindAgent, c.Common, c.Labels, env, cl.control)
	w := weights.New(weights.Settings{
		VM: id.VM, Region: id.Region, OriginRegion: fleet.Region(c.OriginRegion), InRate: c.InRate, OutRate: c.OutRate, Memory: c.WeightsMemory,
	}, weights.Deps{
		Directory: dir, Peers: cl.peers, Origin: originhttp.New(c.Origin, id.VM),
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: env.Metrics,
	})
	l := ledger.New(kv, sysclock.Clock{}, sysclock.Rand{}, ledger.Options{
		WritesPerSecond: float64(c.LedgerWritesPerSecond), Window: c.LedgerWindow,
		MaxAnswerBytes: c.LedgerAnswers, Metrics: env.Metrics,
	})
	run := func(ctx context.Context) {
		var wg conc.WaitGroup
		wg.Go(func() { dir.Run(ctx) })
		wg.Go(func() { w.Run(ctx) })
		wg.Go(func() { l.Run(ctx) })
		wg.Go(func() { shareWrites(ctx, dir, id, l, float64(c.LedgerWritesPerSecond)) })
		wg.Wait()
	}
	return stores{
		Weights: w, Ledger: l, Directory: dir, Peer: w, Member: dir.Handler(),
		NotReady: dir.NotReady, Traffic: dir.Traffic, Run: run,
	}
}

// shareWrites divides the service's budget of ledger writes among its live
// agents, so that the platform's load does not grow with their number.
func shareWrites(ctx context.Context, dir port.Directory, id Identity, l *ledger.Ledger, budget float64) {
	changed, unsubscribe := dir.Subscribe()
	defer unsubscribe()
	for {
		if n := serviceAgents(dir, id); n > 0 {
			l.SetRate(budget / float64(n))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// serviceAgents counts the agents that run the same service as this one.
func serviceAgents(dir port.Directory, id Identity) int {
	d, _ := dir.Declaration()
	if d == nil {
		return 0
	}
	own := d.Assign(id.machine()).Service
	if own == "" {
		return 0
	}
	n := 0
	for _, m := range dir.Members(fleet.KindAgent) {
		if m.Status != nil && m.Status.Service == own {
			n++
		}
	}
	return max(n, 1)
}
