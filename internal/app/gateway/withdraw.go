package gateway

import (
	"context"

	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// attemptRegistry holds the attempts in progress of requests to engines that had no event yet, by
// the subject of the whole request. When an engine is lost under one of them, the others are
// withdrawn: each would cost a further engine, and mostly still waits in an engine's queue.
type attemptRegistry struct {
	attempts *shard.Map[quarantine.Subject, map[*call]context.CancelFunc]
}

func newAttemptRegistry() attemptRegistry {
	return attemptRegistry{shard.New[quarantine.Subject, map[*call]context.CancelFunc](0)}
}

// add registers an attempt until it has an event or ends.
func (r attemptRegistry) add(x quarantine.Subject, c *call, cancel context.CancelFunc) {
	r.attempts.Update(x, func(m map[*call]context.CancelFunc, ok bool) (map[*call]context.CancelFunc, bool) {
		if !ok {
			m = map[*call]context.CancelFunc{}
		}
		m[c] = cancel
		return m, true
	})
}

func (r attemptRegistry) remove(x quarantine.Subject, c *call) {
	r.attempts.Update(x, func(m map[*call]context.CancelFunc, _ bool) (map[*call]context.CancelFunc, bool) {
		delete(m, c)
		return m, len(m) > 0
	})
}

// withdraw cancels all registered attempts and returns their number.
func (r attemptRegistry) withdraw(x quarantine.Subject) (n int) {
	r.attempts.Update(x, func(m map[*call]context.CancelFunc, _ bool) (map[*call]context.CancelFunc, bool) {
		for c, cancel := range m {
			c.withdrawn.Store(true)
			cancel()
			n++
		}
		return nil, false
	})
	return n
}
