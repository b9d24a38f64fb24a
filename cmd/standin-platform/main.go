// Command standin-platform stands in for the platform's key-value service and
// its list of VMs, in tests and demos only.
package main

import (
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/standin/command"
	"github.com/masticwing/masticwing/internal/standin/platform"
)

func main() {
	command.Run("standin-platform", "the platform's key-value service and list of VMs", nil,
		func(*cli.Command) (http.Handler, error) { return platform.New().Handler(), nil })
}
