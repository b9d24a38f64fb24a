// Command masticwing-entry accepts callers' requests and routes them to
// targets.
package main

import (
	"os"

	"github.com/masticwing/masticwing/internal/wiring"
)

func main() { os.Exit(wiring.Main(wiring.EntryRole(), os.Args, os.Stdout, os.Stderr)) }
