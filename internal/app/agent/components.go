package agent

import (
	"context"

	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/directory"
	"github.com/masticwing/masticwing/internal/app/ledger"
	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/app/weights"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Components are the parts of an agent that hold weights, ledger records and
// the members, with their protocol handlers.
type Components struct {
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

// ComponentPorts are the ports that the components of an agent use.
type ComponentPorts struct {
	KV     port.KV
	Peers  port.PeerClient
	Origin port.Origin
	Codec  port.LedgerCodec
	Clock  port.Clock
	Rand   port.Rand
}

// NewComponents creates the weights and the ledger of an agent.
func NewComponents(c Settings, id Identity, env daemon.Env, dir *directory.Directory, p ComponentPorts) Components {
	weightStore := weights.New(weights.Settings{
		VM: id.VM, Region: id.Region, OriginRegion: fleet.Region(c.OriginRegion), InRate: c.InRate, OutRate: c.OutRate, Memory: c.WeightsMemory,
	}, weights.Deps{
		Directory: dir, Peers: p.Peers, Origin: p.Origin, Clock: p.Clock, Rand: p.Rand, Metrics: env.Metrics, Log: env.Log,
	})
	callLedger := ledger.New(p.KV, p.Codec, p.Clock, p.Rand, ledger.Options{
		WritesPerSecond: float64(c.LedgerWritesPerSecond), Window: c.LedgerWindow,
		MaxAnswerBytes: c.LedgerAnswers, Metrics: env.Metrics, Log: env.Log,
	})
	run := func(ctx context.Context) {
		loops := supervise.NewGroup(p.Clock, env.Log, env.Metrics)
		loops.Go(ctx, "directory", dir.Run)
		loops.Go(ctx, "weights", weightStore.Run)
		loops.Go(ctx, "ledger", func(ctx context.Context) { _ = callLedger.Run(ctx) })
		loops.Go(ctx, "ledger_rate", func(ctx context.Context) {
			shareLedgerRate(ctx, dir, id, callLedger, float64(c.LedgerWritesPerSecond))
		})
		loops.Wait()
	}
	return Components{
		Weights: weightStore, Ledger: callLedger, Directory: dir, Peer: weightStore, Member: dir.Handler(),
		NotReadyReason: dir.NotReadyReason, Traffic: dir.Traffic, Run: run,
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
