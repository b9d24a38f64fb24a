package wiring

import (
	"github.com/masticwing/masticwing/internal/adapter/httpapi"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/entry"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// EntryRole describes masticwing-entry.
func EntryRole() daemon.Role { return entry.Role(newEntryParts) }

func newEntryParts(c *entry.Config, env daemon.Env) (entry.Parts, error) {
	client := rpc.NewClient()
	client.Source = c.Source
	dir := newDirectory(c.Settings, fleet.KindEntry, c.Common, nil, env, client)
	server, err := rpc.NewServer(rpc.Handlers{Member: dir.Handler(), OnPanic: env.ReportPanic, Meter: client.Meter})
	if err != nil {
		client.Close()
		return entry.Parts{}, err
	}
	e := entry.New(entry.Deps{
		ID: c.ID, Domain: c.Domain, MaxQueued: c.MaxQueued, Directory: dir, Agents: client,
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: env.Metrics, Log: env.Log,
	})
	api := httpapi.New(httpapi.Config{Memory: c.Memory, MaxBody: c.MaxBody, MaxConnections: c.MaxConnections}, e, env.Metrics)
	return entry.Parts{Directory: dir, Entry: e, API: api, Server: server, Close: client.Close}, nil
}
