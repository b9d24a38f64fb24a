// Command standin-origin stands in for the origin of weights, in tests and
// demos only.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/standin/command"
	"github.com/masticwing/masticwing/internal/standin/origin"
)

func main() {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "model", Value: "summarizer", Usage: "model `NAME`"},
		&cli.StringFlag{Name: "size", Value: "16MiB", Usage: "`SIZE` of each version"},
		&cli.StringFlag{Name: "chunk", Value: "256KiB", Usage: "`SIZE` of each chunk"},
		&cli.Uint64SliceFlag{Name: "seed", Value: []uint64{1}, Usage: "`SEED` of a version; repeat it for several versions"},
		&cli.StringFlag{Name: "rate", Value: "0", Usage: "`BYTES` per second of the link in total; 0 means no limit"},
		&cli.BoolFlag{Name: "print-versions", Usage: "print model, seed and digest of each version and exit"},
	}
	printOnly := slices.Contains(os.Args[1:], "--print-versions")
	if printOnly {
		// No server is started, so no address is needed.
		command.ListenFlag.Required = false
	}
	command.Run("standin-origin", "the origin of weights", flags, func(c *cli.Command) (http.Handler, error) {
		versions, err := parseVersions(c)
		if err != nil {
			return nil, err
		}
		if c.Bool("print-versions") {
			for _, v := range versions {
				fmt.Println(v.Model, v.Seed, v.Manifest().Version())
			}
			os.Exit(0)
		}
		rate, err := origin.ParseBytes(c.String("rate"))
		if err != nil {
			return nil, errors.Wrap(err, "--rate")
		}
		return origin.New(rate, versions...).Handler(), nil
	})
}

// parseVersions returns one version per --seed.
func parseVersions(c *cli.Command) ([]origin.Version, error) {
	size, err := origin.ParseBytes(c.String("size"))
	if err != nil {
		return nil, errors.Wrap(err, "--size")
	}
	chunk, err := origin.ParseBytes(c.String("chunk"))
	if err != nil || chunk <= 0 {
		return nil, errors.Errorf("--chunk: %q is not a size", c.String("chunk"))
	}
	var out []origin.Version
	for _, seed := range c.Uint64Slice("seed") {
		out = append(out, origin.Version{
			Model: fleet.Model(c.String("model")), Bytes: int(size), ChunkBytes: int(chunk), Seed: seed,
		})
	}
	return out, nil
}
