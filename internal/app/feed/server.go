// Package feed passes changes of the platform's store on between processes, as
// core/feed decides: Hub serves what a process has read, and Source reads from
// other processes before it reads from the store.
package feed

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/follow"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/port"
)

// Errors of a process that passes nothing on. The caller reads the store.
var (
	// ErrNotReader means that the process itself follows another one, or knows
	// nothing yet.
	ErrNotReader = errors.Wrap(port.ErrFeedRefused, "process does not read the store")
	// ErrStale means that the store has not confirmed the process's picture for
	// too long.
	ErrStale = errors.Wrap(port.ErrFeedRefused, "picture is not confirmed")
	// ErrGap means that changes after the revision may be missing.
	ErrGap = errors.Wrap(port.ErrFeedRefused, "changes after the revision are not known")
)

// serveAge is the age of the last confirmation from which nothing is passed on.
// Readers confirm every 0.6 s; a configuration must be in force within 2 s, in
// which the others still have to notice and to read the store themselves.
const serveAge = 1200 * time.Millisecond

// Hub implements port.FeedHandler.
type Hub struct {
	clock port.Clock
	// age returns the time since the store confirmed the picture.
	age  func() time.Duration
	logs []*prefixLog
	// asked is the time of the last request in Unix nanoseconds.
	asked atomic.Int64
}

var _ port.FeedHandler = (*Hub)(nil)

type prefixLog struct {
	prefix string
	log    *core.Log
	// direct reports whether the prefix is read from the store.
	direct func() bool
}

// NewHub returns a hub without prefixes.
func NewHub(clock port.Clock, age func() time.Duration) *Hub { return &Hub{clock: clock, age: age} }

// Serve adds a prefix before the hub is used, and returns the functions that take
// in its news and the revision up to which all are known.
func (h *Hub) Serve(prefix string, direct func() bool) (apply func(follow.Event), seen func(at int64)) {
	p := &prefixLog{prefix, core.NewLog(), direct}
	h.logs = append(h.logs, p)
	return p.apply, p.log.Seen
}

func (p *prefixLog) apply(e follow.Event) {
	cs := make([]core.Change, 0, len(e.Changes))
	for _, c := range e.Changes {
		cs = append(cs, core.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Removed: c.Removed})
	}
	if e.Reset {
		p.log.List(cs, e.At)
	} else {
		p.log.Add(cs)
	}
}

func (h *Hub) find(prefix string) *prefixLog {
	for _, p := range h.logs {
		if strings.HasPrefix(prefix, p.prefix) {
			return p
		}
	}
	return nil
}

// servingTime is the time after a request for which a process counts as one that
// others follow. Each of them asks at least every 3 s.
const servingTime = 5 * time.Second

// Serving reports whether other processes follow this one.
func (h *Hub) Serving() bool {
	return h.clock.Now().UnixNano()-h.asked.Load() < int64(servingTime)
}

// Feed implements port.FeedHandler.
func (h *Hub) Feed(ctx context.Context, r port.FeedRequest) (port.FeedReply, error) {
	h.asked.Store(h.clock.Now().UnixNano())
	p := h.find(r.Prefix)
	if p == nil {
		return port.FeedReply{}, ErrNotReader
	}
	late := h.clock.After(r.Wait)
	for waiting := true; ; {
		if !p.direct() {
			return port.FeedReply{}, ErrNotReader
		}
		// The age comes first: the changes are at least as new as the picture that
		// was confirmed.
		age := h.age()
		if age > serveAge {
			return port.FeedReply{}, ErrStale
		}
		changes, at, known, next := p.log.Since(r.Prefix, r.After)
		switch {
		case !known:
			return port.FeedReply{}, ErrGap
		case len(changes) > 0 || !waiting:
			return port.FeedReply{Changes: changes, At: at, Age: age}, nil
		}
		select {
		case <-next:
		case <-late:
			waiting = false
		case <-ctx.Done():
			return port.FeedReply{}, ctx.Err()
		}
	}
}
