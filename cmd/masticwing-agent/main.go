// Command masticwing-agent runs beside a model engine or a plain service. It
// keeps the declared weights loaded and forwards requests from entries.
package main

import (
	"os"

	"github.com/masticwing/masticwing/internal/app/agent"
	"github.com/masticwing/masticwing/internal/app/daemon"
)

func main() { os.Exit(daemon.Main(agent.Role(), os.Args, os.Stdout, os.Stderr)) }
