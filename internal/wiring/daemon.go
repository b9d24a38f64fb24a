// Package wiring chooses the adapters of the programs and passes them to the application,
// which knows ports only. Programs for the users' platform choose theirs in their command.
package wiring

import (
	"io"
	"net/http"

	"github.com/masticwing/masticwing/internal/adapter/inisettings"
	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/otelmetrics"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/port"
)

// Main runs the command line of a role and returns the exit code.
func Main(r daemon.Role, args []string, out, errOut io.Writer) int {
	return daemon.Main(daemonAdapters(), r, args, out, errOut)
}

func daemonAdapters() daemon.Adapters {
	return daemon.Adapters{
		ReadSettings: inisettings.Read,
		NewLog: func(out io.Writer, role, id string) (port.Log, func()) {
			return logging.NewAsync(out, role, id)
		},
		NewMetrics: func() (port.Metrics, http.Handler, error) {
			m, err := otelmetrics.New()
			if err != nil {
				return nil, nil, err
			}
			return m, m.Handler(), nil
		},
	}
}
