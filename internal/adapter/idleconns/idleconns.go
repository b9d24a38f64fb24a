// Package idleconns closes idle connections of an HTTP server after a timeout that
// may change while the server runs.
package idleconns

import (
	"net"
	"net/http"
	"time"

	"github.com/masticwing/masticwing/internal/core/shard"
)

// Limiter has a timer for each idle connection of one server.
type Limiter struct {
	idleTimeout func() time.Duration
	timers      *shard.Map[net.Conn, *time.Timer]
}

// New returns a limiter. idleTimeout returns the current timeout; zero means none.
func New(idleTimeout func() time.Duration) *Limiter {
	return &Limiter{idleTimeout: idleTimeout, timers: shard.New[net.Conn, *time.Timer](0)}
}

// OnStateChange is the server's ConnState hook.
func (l *Limiter) OnStateChange(c net.Conn, state http.ConnState) {
	var previous *time.Timer
	l.timers.Update(c, func(t *time.Timer, _ bool) (*time.Timer, bool) {
		previous = t
		return nil, false
	})
	if previous != nil {
		previous.Stop()
	}
	idleTimeout := l.idleTimeout()
	if idleTimeout <= 0 || state != http.StateIdle && state != http.StateNew {
		return
	}
	// A request that arrives when the timer fires is lost. Callers avoid this by
	// not using a connection that has been idle for nearly the timeout.
	l.timers.Put(c, time.AfterFunc(idleTimeout, func() { _ = c.Close() }))
}
