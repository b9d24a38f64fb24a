package harness

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// WaitFor polls cond until it returns nil. After the timeout it returns the last
// error of cond. what describes the condition in that error.
func WaitFor(ctx context.Context, timeout time.Duration, what string, cond func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := cond()
		if err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrapf(err, "waiting %v for %s", timeout, what)
		}
	}
}

// WaitReady waits until the daemon's /readyz returns 200. It returns an error if
// the process exits first.
func WaitReady(ctx context.Context, timeout time.Duration, p *Process, admin string) error {
	return waitStatus(ctx, timeout, p, "http://"+admin+"/readyz", "to become ready")
}

// WaitStandin waits until a stand-in responds to GET /counts. It returns an error
// if the process exits first.
func WaitStandin(ctx context.Context, timeout time.Duration, p *Process, addr string) error {
	return waitStatus(ctx, timeout, p, "http://"+addr+"/counts", "to respond")
}

func waitStatus(ctx context.Context, timeout time.Duration, p *Process, url, what string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	return WaitFor(ctx, timeout, p.Name+" "+what, func() error {
		select {
		case <-p.Done():
			err := errors.Errorf("%s exited with code %d: %s", p.Name, p.ExitCode(), p.Output())
			cancel(err)
			return err
		default:
		}
		b, status, err := doRequest(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return errors.Errorf("%s: status %d: %s", url, status, b)
		}
		return nil
	})
}
