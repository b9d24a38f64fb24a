// Command masticwing-agent runs beside a model engine or a plain service. It
// keeps the declared weights loaded and forwards requests from entries.
package main

import (
	"os"

	"github.com/masticwing/masticwing/internal/wiring"
)

func main() { os.Exit(wiring.Main(wiring.AgentRole(), os.Args, os.Stdout, os.Stderr)) }
