package directory

import (
	"net/netip"

	"github.com/masticwing/masticwing/internal/adapter/inifile"
	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Settings configures how a process reaches the platform and other processes.
type Settings struct {
	Domain fleet.Domain
	Region fleet.Region
	RPC    fleet.Address
	// Advertise is the address at which other processes reach this one. It
	// differs from RPC behind network address translation.
	Advertise fleet.Address
	// Source is the local IP address of connections to other processes, for a
	// VM with several addresses. With the zero value the system chooses.
	Source   netip.Addr
	Platform fleet.Address
	Seeds    []fleet.Address
	// ExchangeBytesPerSecond bounds the traffic of member table exchanges.
	ExchangeBytesPerSecond int
}

// Register declares the settings in s, with their defaults.
func (c *Settings) Register(s *settings.Set) {
	s.Name("node", "domain", func(v string) { c.Domain = fleet.Domain(v) }, settings.Required, "Failure domain of this VM.")
	s.Name("node", "region", func(v string) { c.Region = fleet.Region(v) }, settings.Required, "Region of the failure domain.")
	s.Address("node", "rpc", &c.RPC, settings.Required, "Address of the protocol between processes.")
	s.Address("node", "advertise", &c.Advertise, "", "Address that other processes use instead of rpc; empty for rpc.")
	s.IP("node", "source", &c.Source, "", "IP address that connections to other processes leave from; empty for any.")
	s.Address("platform", "address", &c.Platform, settings.Required, "Address of the platform's key-value service.")
	s.Addresses("peers", "seeds", &c.Seeds, "", "RPC addresses of some entries to join through.")
	s.Int("peers", "exchange_bytes", &c.ExchangeBytesPerSecond, DefaultExchangeBytesPerSecond, 200, 1_000_000,
		"Bytes per second for records of members in exchanges, both ways together.")
}

// Connect returns a Directory that uses the platform's HTTP interface and
// client. The process's RPC server must share the client's meter, so that
// Traffic covers both directions of control traffic.
func Connect(c Settings, kind fleet.Kind, common daemon.Common, labels map[string]string, env daemon.Env, client *rpc.Client) *Directory {
	platform := kvhttp.New(c.Platform)
	address := c.Advertise
	if address == "" {
		address = c.RPC
	}
	self := port.MemberRecord{
		ID: common.ID, Kind: kind, Domain: c.Domain, Region: c.Region,
		Address: address, AdminAddress: common.Admin, Labels: labels,
	}
	return New(Config{Self: self, Seeds: c.Seeds, ExchangeBytesPerSecond: c.ExchangeBytesPerSecond}, Deps{
		KV: platform, VMs: platform, Members: client, Clock: sysclock.Clock{}, Rand: sysclock.Rand{},
		Decode: inifile.Decode, Metrics: env.Metrics, Log: env.Log,
		Traffic: func() []port.Traffic { return append(client.Meter.Counts(), platform.Traffic()) },
	})
}
