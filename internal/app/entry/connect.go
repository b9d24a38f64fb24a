package entry

import (
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/directory"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// ConnectDirectory builds the directory of an entry over the platform.
func ConnectDirectory(c *Config, env daemon.Env, client *rpc.Client) (Directory, error) {
	return directory.Connect(c.Settings, fleet.KindEntry, c.Common, nil, env, client), nil
}
