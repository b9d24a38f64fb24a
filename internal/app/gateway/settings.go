package gateway

import (
	"time"

	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/app/registration"
	"github.com/masticwing/masticwing/internal/app/scaling"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/descriptors"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/memlimit"
	"github.com/masticwing/masticwing/internal/port"
)

// Settings holds the configuration of a masticwing-gateway process.
type Settings struct {
	daemon.Common
	registration.Settings
	// Duties are the calls to the platform that one process at a time may make.
	Duties duty.Settings
	// Scaling configures the scaling orders, one of the duties.
	Scaling scaling.Settings

	Callers fleet.Address
	Ready   fleet.Address

	// Grace is the time from SIGTERM by which the process must exit.
	Grace time.Duration
	// KeyBound is the longest time for which an API key may still be accepted after the
	// operators removed it.
	KeyBound time.Duration
	// ConfigBound is the longest time for which a configuration may still be used after the operators replaced it.
	ConfigBound time.Duration
	// DrainBound is the time after which a target that has announced that it leaves must get no further
	// requests.
	DrainBound time.Duration
	// WeightsBound is the time after which newly declared weights must be in use.
	WeightsBound time.Duration

	// RetryRatio, RetrySlack and RetryWindow configure the retry budget that all
	// gateways share, per service: RetryRatio retries per request plus RetrySlack
	// retries, within each RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// LimitLate makes late requests to engines give way to those in time while there is too little room.
	LimitLate bool
	// Memory is the memory limit of the process in bytes.
	Memory int64
	// Descriptors is the number of descriptors that the process may have open, and TargetConnections
	// the number of connections that it may have to one target.
	Descriptors, TargetConnections int
}

// Connections returns the numbers of connections that may be open.
func (c *Settings) Connections() descriptors.Budget {
	return descriptors.Divide(c.Descriptors, c.TargetConnections, memlimit.Connections(c.Memory))
}

// storedMember returns the record under which this gateway registers in the store.
func (c *Settings) storedMember() port.StoredMember {
	return port.StoredMember{
		ID: c.ID, Kind: fleet.KindEntry.String(), Domain: c.Domain, Region: c.Regions[c.Domain], Address: c.Internal,
	}
}

const (
	mib = 1 << 20
	gib = 1 << 30
)

// Register adds all settings of the gateway to s.
func (c *Settings) Register(s *settings.Set) {
	c.Common.Register(s)
	c.Settings.Register(s)
	c.Duties.Register(s)
	c.Scaling.Register(s)
	s.Address("listen", "callers", &c.Callers, settings.Required, "Address for callers.")
	s.Address("listen", "ready", &c.Ready, settings.Required, "Address of the platform's readiness checks.")
	s.Duration("limits", "grace", &c.Grace, 8*time.Second, time.Second, time.Hour, "Time from SIGTERM by which the process must exit.")
	s.Duration("limits", "key_bound", &c.KeyBound, 5*time.Second, 100*time.Millisecond, time.Hour,
		"Longest time for which a removed API key may still be accepted.")
	s.Duration("limits", "config_bound", &c.ConfigBound, 2*time.Second, 100*time.Millisecond, time.Hour,
		"Longest time for which a configuration may still be used after the operators replaced it.")
	s.Duration("limits", "drain_bound", &c.DrainBound, 2*time.Second, time.Second, time.Hour,
		"Time after which a target that has announced that it leaves must get no further requests.")
	s.Duration("limits", "weights_bound", &c.WeightsBound, 8*time.Second, 100*time.Millisecond, time.Hour,
		"Time after which declared weights must be in use.")
	s.Float("retries", "ratio", &c.RetryRatio, 0.2, 0, 10, "Retries per request that all gateways together may send to a service.")
	s.Float("retries", "slack", &c.RetrySlack, 100, 0, 1e6, "Retries that all gateways together may send to a service in addition.")
	s.Duration("retries", "window", &c.RetryWindow, 10*time.Second, 100*time.Millisecond, time.Hour, "Window in which ratio and slack apply.")
	s.Int("limits", "descriptors", &c.Descriptors, 4096, 320, 1<<20, "Descriptors that the process may have open.")
	s.Int("limits", "target_connections", &c.TargetConnections, 128, 1, 1<<20, "Connections to one target that may be open.")
	s.Bool("limits", "limit_late", &c.LimitLate, false,
		"After a request to engines found no room, admit late ones only into places that those in time leave.")
	s.Bytes("limits", "memory", &c.Memory, 256*mib, 16*mib, 1024*gib, "Memory of the process.")
}
