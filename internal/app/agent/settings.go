package agent

import (
	"time"

	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/directory"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Settings are the settings of masticwing-agent.
type Settings struct {
	daemon.Common
	directory.Settings
	Labels map[string]string

	Engine  fleet.Address
	Service fleet.Address
	Origin  fleet.Address
	// OriginRegion is empty if the origin is in none of the regions.
	OriginRegion string

	// InRate and OutRate limit the weight transfers, in bytes per second.
	InRate, OutRate int64
	WeightsMemory   int64

	LedgerWritesPerSecond int
	LedgerWindow          time.Duration
	LedgerAnswers         int64

	DrainTimeout time.Duration
}

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

// Register adds the keys of these settings to s.
func (c *Settings) Register(s *settings.Set) {
	c.Common.Register(s)
	c.Settings.Register(s)
	s.Labels("node", "labels", &c.Labels, "", "Labels of this VM.")
	s.Address("engine", "address", &c.Engine, "", "Model engine beside this agent; empty if there is none.")
	s.Address("service", "address", &c.Service, "", "Plain service beside this agent; empty if there is none.")
	s.Address("origin", "address", &c.Origin, "", "Origin of weights; needed with an engine.")
	s.String("origin", "region", &c.OriginRegion, "", "Region of the origin; empty if it stands in none of the regions.")
	s.Bytes("link", "in_rate", &c.InRate, 2*mib, kib, 100*gib, "Bytes per second that transfers of weights may receive.")
	s.Bytes("link", "out_rate", &c.OutRate, 2*mib, kib, 100*gib, "Bytes per second that transfers of weights may send.")
	s.Bytes("weights", "memory", &c.WeightsMemory, gib, mib, 1024*gib, "Memory for chunks; enough for two versions.")
	s.Int("ledger", "writes_per_second", &c.LedgerWritesPerSecond, 120, 1, 1000,
		"Writes of ledger records to the platform by all agents of a service together.")
	s.Duration("ledger", "window", &c.LedgerWindow, time.Hour, time.Minute, 24*time.Hour, "Time for which a key of a call is kept.")
	s.Bytes("ledger", "answers", &c.LedgerAnswers, 16*mib, 64*kib, gib, "Memory for answers to repeated calls.")
	s.Duration("limits", "drain_timeout", &c.DrainTimeout, 30*time.Second, time.Second, time.Hour, "Longest graceful shutdown.")
	s.AddCheck(c.checkTarget)
}

// checkTarget reports settings of the target and the origin that contradict each
// other.
func (c *Settings) checkTarget() []settings.Fault {
	var out []settings.Fault
	if c.Engine != "" && c.Service != "" {
		out = append(out, settings.Fault{
			Section: "service", Key: "address", Value: string(c.Service),
			Allowed: "empty, since [engine] address is set; an agent has one target",
		})
	}
	if c.Engine != "" && c.Origin == "" {
		out = append(out, settings.Fault{
			Section: "origin", Key: "address", Allowed: "ip:port, since [engine] address is set",
		})
	}
	return out
}
