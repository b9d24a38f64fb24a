package entry

import (
	"time"

	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/directory"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/bytesize"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Config holds the settings of an entry.
type Config struct {
	daemon.Common
	directory.Settings
	Listen    fleet.Address
	Memory    int64
	MaxBody   int64
	MaxQueued int
	// MaxConnections limits the open connections of callers.
	MaxConnections int
	Drain          time.Duration
}

// Register adds the settings to s and returns those that all daemons have in
// common.
func (c *Config) Register(s *settings.Set) *daemon.Common {
	c.Common.Register(s)
	c.Settings.Register(s)
	s.Address("http", "listen", &c.Listen, settings.Required, "Address for callers.")
	s.Bytes("limits", "memory", &c.Memory, 32<<20, 1<<20, 16<<30, "Bytes held for callers, over all requests.")
	s.Bytes("limits", "body", &c.MaxBody, 1<<20, 1<<10, 64<<20, "Largest body of a request.")
	s.Int("limits", "queued", &c.MaxQueued, 2000, 1, 1_000_000, "Requests that may wait for one group or service.")
	s.Int("limits", "connections", &c.MaxConnections, 4096, 16, 1_000_000, "Open connections of callers.")
	s.Duration("limits", "drain_timeout", &c.Drain, 30*time.Second, 0, time.Hour, "Longest graceful shutdown.")
	s.AddCheck(func() []settings.Fault {
		if c.MaxBody <= c.Memory {
			return nil
		}
		return []settings.Fault{{
			Section: "limits", Key: "body", Value: bytesize.Format(c.MaxBody), Allowed: "at most [limits] memory",
		}}
	})
	return &c.Common
}
