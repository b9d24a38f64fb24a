// Command masticwing-entry accepts callers' requests and routes them to
// targets.
package main

import (
	"os"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/entry"
)

func main() {
	os.Exit(daemon.Main(entry.Role(newDirectory), os.Args, os.Stdout, os.Stderr))
}

// newDirectory builds the process's knowledge of the deployment. The
// implementation, internal/app/directory, is connected here.
func newDirectory(*entry.Config, daemon.Env, *rpc.Client) (entry.Directory, error) {
	return nil, errors.New("the directory is not part of this build")
}
