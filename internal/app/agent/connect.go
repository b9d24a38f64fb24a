package agent

import (
	"context"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/port"
)

// stores are the parts of an agent that hold weights, ledger records and the
// members, with the protocol handlers that belong to them.
type stores struct {
	Weights   port.Weights
	Ledger    port.Ledger
	Directory port.Directory
	// Peer and Member may be nil.
	Peer   port.PeerHandler
	Member port.MemberHandler
	// Run runs the loops of the parts until ctx ends.
	Run func(ctx context.Context)
}

// errNotConnected means that this build has no stores.
var errNotConnected = errors.New("weights, ledger and directory are not connected in this build")

// connectStores builds the real Weights, Ledger and Directory.
func connectStores(Settings, Identity, daemon.Env, port.KV, *rpc.Client) (stores, error) {
	return stores{}, errNotConnected
}
