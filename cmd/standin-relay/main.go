// Command standin-relay is a TCP relay with fault injection that stands in for
// the network between two processes, in tests and demos only.
package main

import (
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/standin/command"
	"github.com/masticwing/masticwing/internal/standin/relay"
)

func main() {
	flags := []cli.Flag{&cli.StringSliceFlag{Name: "route", Usage: "`NAME=IP:PORT/IP:PORT`, listening address and target"}}
	command.Run("standin-relay", "the network between two processes", flags, func(c *cli.Command) (http.Handler, error) {
		r := relay.New()
		return r.Handler(), r.AddRoutes(c.StringSlice("route"))
	})
}
