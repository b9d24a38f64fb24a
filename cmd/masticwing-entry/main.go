// Command masticwing-entry accepts callers' requests and routes them to
// targets.
package main

import (
	"os"

	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/entry"
)

func main() { os.Exit(daemon.Main(entry.Role(entry.ConnectDirectory), os.Args, os.Stdout, os.Stderr)) }
