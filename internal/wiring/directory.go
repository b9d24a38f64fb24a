package wiring

import (
	"github.com/masticwing/masticwing/internal/adapter/inifile"
	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/directory"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// newDirectory returns a directory that uses the platform's HTTP interface and client. The
// process's RPC server must share the client's meter, so that Traffic covers both directions
// of control traffic. others are further connections to members.
func newDirectory(
	c directory.Settings, kind fleet.Kind, common daemon.Common, labels map[string]string, env daemon.Env, client *rpc.Client, others ...port.PeerConnections,
) *directory.Directory {
	platform := kvhttp.New(c.Platform)
	address := c.Advertise
	if address == "" {
		address = c.RPC
	}
	self := port.MemberRecord{
		ID: common.ID, Kind: kind, Domain: c.Domain, Region: c.Region,
		Address: address, AdminAddress: common.Admin, Labels: labels,
	}
	return directory.New(directory.Config{Self: self, Seeds: c.Seeds, ExchangeBytesPerSecond: c.ExchangeBytesPerSecond}, directory.Deps{
		KV: platform, VMs: platform, Members: client, Connections: append(others, client), Clock: sysclock.Clock{}, Rand: sysclock.Rand{},
		Decode: inifile.Decode, Metrics: env.Metrics, Log: env.Log,
		Traffic: func() []port.Traffic { return append(client.Meter.Counts(), platform.Traffic()) },
	})
}
