// Package supervise runs the background loops of a process, such that a panic ends one pass of
// one loop: not the process with all its requests, and not the loop itself, without which the
// process would go on with an outdated view.
package supervise

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/masticwing/masticwing/internal/port"
)

const (
	// minPause and maxPause limit the pause after a panic. It doubles with each panic, since
	// the cause is mostly still there.
	minPause = 100 * time.Millisecond
	maxPause = 10 * time.Second
	// stableTime is the time without a panic after which the next pause is minPause again.
	stableTime = time.Minute
)

// Group runs background loops.
type Group struct {
	clock   port.Clock
	log     port.Log
	metrics port.Metrics
	wg      conc.WaitGroup
}

// NewGroup returns a group without loops. Its log and metrics may be nil.
func NewGroup(c port.Clock, l port.Log, m port.Metrics) *Group {
	return &Group{clock: c, log: l, metrics: m}
}

// Go runs loop until it returns. A loop that panics is run again after a pause, unless ctx has
// ended. It finds the state that it shares with others as it was at the panic, and builds its
// own anew.
func (g *Group) Go(ctx context.Context, name string, loop func(context.Context)) {
	g.wg.Go(func() {
		pause := minPause
		for {
			started := g.clock.Now()
			p := panics.Try(func() { loop(ctx) })
			if p == nil {
				return
			}
			Report(g.log, g.metrics, name, p.AsError())
			if g.clock.Now().Sub(started) >= stableTime {
				pause = minPause
			}
			select {
			case <-ctx.Done():
				return
			case <-g.clock.After(pause):
			}
			pause = min(2*pause, maxPause)
		}
	})
}

// Wait waits until all loops have ended.
func (g *Group) Wait() { g.wg.Wait() }

// ErrPanic is the error of a call that ended with a panic. The report has its text and stack.
var ErrPanic = errors.New("internal error")

// Call calls f and returns its error, or ErrPanic. The work of f may have been done in part.
func Call(l port.Log, m port.Metrics, where string, f func() error) (err error) {
	p := panics.Try(func() { err = f() })
	if p == nil {
		return err
	}
	Report(l, m, where, p.AsError())
	return ErrPanic
}

// Report logs and counts a panic that ended a pass of a loop, or a call. The log and the
// metrics may be nil.
func Report(l port.Log, m port.Metrics, where string, err error) {
	if l != nil {
		l.Failure("panic", err, port.F("where", where))
	}
	if m != nil {
		m.Count("panics_total", 1, port.Attr{Key: "where", Value: where})
	}
}
