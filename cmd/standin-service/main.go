// Command standin-service stands in for a plain service, in tests and demos
// only.
package main

import (
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/standin/command"
	"github.com/masticwing/masticwing/internal/standin/service"
)

func main() {
	command.Run("standin-service", "a plain service", nil,
		func(*cli.Command) (http.Handler, error) { return service.New().Handler(), nil })
}
