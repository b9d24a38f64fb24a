// Command standin-engine stands in for a model engine, in tests and demos
// only.
package main

import (
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/standin/command"
	"github.com/masticwing/masticwing/internal/standin/engine"
)

func main() {
	flags := []cli.Flag{
		&cli.BoolFlag{Name: "check-fence", Usage: "refuse orders with an old fencing number"},
		&cli.BoolFlag{Name: "check-identity", Usage: "refuse requests for another boot identity or load count"},
		&cli.IntFlag{Name: "max-requests", Value: 8, Usage: "requests that the warm engine bears"},
		&cli.IntFlag{Name: "cold-requests", Value: 1, Usage: "requests that the cold engine bears"},
		&cli.DurationFlag{Name: "token-delay", Usage: "time for one token"},
		&cli.DurationFlag{Name: "load-per-mib", Usage: "time to load one MiB of weights"},
		&cli.Int64Flag{Name: "memory-bytes", Usage: "bound of the loaded weights; 0 is no bound"},
	}
	command.Run("standin-engine", "a model engine", flags, func(c *cli.Command) (http.Handler, error) {
		return engine.New(engine.Options{
			CheckFence:    c.Bool("check-fence"),
			CheckIdentity: c.Bool("check-identity"),
			MaxRequests:   c.Int("max-requests"),
			ColdRequests:  c.Int("cold-requests"),
			TokenDelay:    c.Duration("token-delay"),
			LoadPerMiB:    c.Duration("load-per-mib"),
			MemoryBytes:   c.Int64("memory-bytes"),
		}).Handler(), nil
	})
}
