package daemon

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/masticwing/masticwing/internal/port"
)

// watchReload handles SIGHUP until ctx ends. It validates the changed settings file
// and logs the changes, which take effect at the next start of the daemon.
// installed is closed once the signal handler is installed.
func watchReload(ctx context.Context, path string, validate func() []error, log port.Log, installed chan<- struct{}) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	previous, err := readLines(path)
	if err != nil {
		log.Failure("settings can't be read", err)
	}
	close(installed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		}
		current, err := readLines(path)
		if err != nil {
			log.Failure("settings can't be read", err)
			continue
		}
		for _, fault := range validate() {
			log.Failure("changed settings are not valid", fault)
		}
		log.StateChange("reload", port.F("changed", strings.Join(addedLines(previous, current), "; ")))
		previous = current
	}
}

func readLines(path string) ([]string, error) {
	b, err := os.ReadFile(path)
	return strings.Split(string(b), "\n"), err
}

// addedLines returns the lines of b that are not in a.
func addedLines(a, b []string) []string {
	var out []string
	for _, l := range b {
		if !slices.Contains(a, l) {
			out = append(out, l)
		}
	}
	return out
}
