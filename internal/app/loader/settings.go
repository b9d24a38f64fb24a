package loader

import (
	"time"

	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/registration"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Settings is the configuration of masticwing-loader.
type Settings struct {
	daemon.Common
	registration.Settings

	Engine  fleet.Address
	Service fleet.Service

	// WeightsBound is the time after which declared weights must be in use.
	WeightsBound time.Duration
	// Link is the capacity of the VM's link in each direction, in bytes per
	// second.
	Link int64
	// Memory is the memory limit of the process in bytes.
	Memory int64
}

// storedMember returns the record under which this loader registers in the store.
func (c *Settings) storedMember() port.StoredMember {
	return port.StoredMember{
		ID: c.ID, Kind: fleet.KindAgent.String(), Domain: c.Domain, Region: c.Regions[c.Domain],
		Address: c.Internal, Target: c.Engine, Service: c.Service,
	}
}

const (
	mib = 1 << 20
	gib = 1 << 30
)

// Register adds all settings to s.
func (c *Settings) Register(s *settings.Set) {
	c.Common.Register(s)
	c.Settings.Register(s)
	s.Address("engine", "address", &c.Engine, settings.Required, "Model engine on this VM.")
	s.Name("engine", "service", func(v string) { c.Service = fleet.Service(v) }, settings.Required, "Service of the engine.")
	s.Duration("limits", "weights_bound", &c.WeightsBound, 8*time.Second, 100*time.Millisecond, time.Hour,
		"Time after which declared weights must be in use.")
	var mbit float64
	s.Float("limits", "link_mbit", &mbit, 1000, 0.1, 1e6, "Capacity of the VM's link in Mbit/s.")
	s.Bytes("limits", "memory", &c.Memory, 128*mib, 16*mib, 1024*gib, "Memory of the process.")
	s.AddCheck(func() []settings.Fault {
		c.Link = int64(mbit * 1e6 / 8)
		return nil
	})
}
