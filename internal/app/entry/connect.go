package entry

import (
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/directory"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// ConnectDirectory returns the directory of an entry. It implements
// DirectoryBuilder with the platform and the exchange between members.
func ConnectDirectory(c *Config, env daemon.Env, client *rpc.Client) (Directory, error) {
	return directory.Connect(c.Settings, fleet.KindEntry, c.Common, nil, env, client), nil
}
