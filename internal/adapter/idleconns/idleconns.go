// Package idleconns closes the connections of an HTTP server that were idle for
// longer than a limit that may change while the server runs.
package idleconns

import (
	"net"
	"net/http"
	"time"

	"github.com/masticwing/masticwing/internal/core/shard"
)

// Limiter follows the connections of one server.
type Limiter struct {
	limit  func() time.Duration
	timers *shard.Map[net.Conn, *time.Timer]
}

// New returns a limiter. limit returns the longest idle time; zero means none.
func New(limit func() time.Duration) *Limiter {
	return &Limiter{limit: limit, timers: shard.New[net.Conn, *time.Timer](0)}
}

// Follow is the ConnState hook of the server.
func (l *Limiter) Follow(c net.Conn, state http.ConnState) {
	var old *time.Timer
	l.timers.Update(c, func(t *time.Timer, _ bool) (*time.Timer, bool) {
		old = t
		return nil, false
	})
	if old != nil {
		old.Stop()
	}
	limit := l.limit()
	if limit <= 0 || state != http.StateIdle && state != http.StateNew {
		return
	}
	// A request may arrive at this moment; callers do not use a connection that
	// was idle for nearly the limit.
	l.timers.Put(c, time.AfterFunc(limit, func() { _ = c.Close() }))
}
