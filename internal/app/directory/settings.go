package directory

import (
	"net/netip"

	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
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
