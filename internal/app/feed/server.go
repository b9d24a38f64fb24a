// Package feed forwards changes of the platform's store between processes, as
// core/feed decides. Server serves the changes that a process has read, and Source
// reads from other processes before it reads from the store.
package feed

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/confirmation"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/storeera"
	"github.com/masticwing/masticwing/internal/port"
)

// Errors of a process that cannot serve changes. The caller then asks another
// process or reads the store.
var (
	// ErrNotReader means that the process itself follows another one, or has not
	// read the prefix yet.
	ErrNotReader = errors.Wrap(port.ErrFeedRefused, "process does not read the store")
	// ErrStale means that the store's last confirmation of the process's view is too
	// old, and that nothing has arrived from the store since.
	ErrStale = errors.Wrap(port.ErrFeedRefused, "picture is not confirmed")
	// ErrGap means that changes after the requested revision may be missing.
	ErrGap = errors.Wrap(port.ErrFeedRefused, "changes after the revision are not known")
)

// maxConfirmationAge is the age of the last confirmation from which on no changes are
// served. Readers confirm their view every 0.6 s. A configuration must be in force
// within 2 s, in which followers of a stale reader still have to notice it and to
// read the store themselves.
//
// A process that receives a long response of the store is in contact with it, although its
// checks find a newer configuration than the one that it holds until that has arrived.
// Its followers would fetch the same configuration over the same link, and delay it.
const maxConfirmationAge = 1200 * time.Millisecond

// Server serves the changes that a process has read from the store to the processes
// that follow it. It implements port.FeedHandler.
type Server struct {
	clock port.BootClock
	// confirmed returns when the store last confirmed the process's view and which keys under a
	// prefix that covers, or false if it never did.
	confirmed func(prefix string) (confirmation.Coverage, bool)
	// receivedAt returns the time since boot at which the process last received a part of the keys that confirmations
	// cover, or zero.
	receivedAt func() time.Duration
	logs       []*prefixLog
	// lastRequest is the time of the last request since boot in nanoseconds, or zero.
	lastRequest atomic.Int64
}

var _ port.FeedHandler = (*Server)(nil)

type prefixLog struct {
	prefix string
	log    *core.Log
	clock  port.BootClock
	// fromStore reports whether the prefix is read from the store.
	fromStore func() bool
	// maxSilence is the time without a response of the store after which the prefix is not
	// served; zero means no limit.
	maxSilence time.Duration
	// respondedAt is the time of the last response since boot in nanoseconds.
	respondedAt atomic.Int64
}

// NewServer returns a server without prefixes. confirmed returns when the store last confirmed
// the process's view and which keys under a prefix that covers, or false if it never did.
func NewServer(clock port.BootClock, confirmed func(prefix string) (confirmation.Coverage, bool)) *Server {
	return &Server{clock: clock, confirmed: confirmed, receivedAt: func() time.Duration { return 0 }}
}

// SetReceipts sets the function that returns the time since boot at which the process last received a part of a
// long response of the store about the keys that confirmations cover, or zero. It must be called before the server
// is used.
func (s *Server) SetReceipts(receivedAt func() time.Duration) { s.receivedAt = receivedAt }

// AddPrefix adds a prefix that is served while fromStore returns true, unless the store has
// not responded for maxSilence, which is zero for a prefix that confirmations cover. It must be
// called before the server is used. The caller passes each event of the prefix to apply, and,
// after each response of the store, the revision up to which all changes are known to advance.
func (s *Server) AddPrefix(prefix string, fromStore func() bool, maxSilence time.Duration) (apply func(follow.Event), advance func(revision int64)) {
	p := &prefixLog{prefix: prefix, log: core.NewLog(), clock: s.clock, fromStore: fromStore, maxSilence: maxSilence}
	s.logs = append(s.logs, p)
	return p.apply, p.advance
}

func (p *prefixLog) advance(revision int64) {
	p.respondedAt.Store(int64(p.clock.SinceBoot()))
	p.log.AdvanceTo(revision)
}

// silent reports whether the store has not responded for too long.
func (p *prefixLog) silent() bool {
	return p.maxSilence > 0 && p.clock.SinceBoot()-time.Duration(p.respondedAt.Load()) > p.maxSilence
}

func (p *prefixLog) apply(e follow.Event) {
	cs := make([]core.Change, 0, len(e.Changes))
	for _, c := range e.Changes {
		cs = append(cs, core.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Removed: c.Removed, Age: c.Age})
	}
	now := p.clock.SinceBoot()
	if e.Reset {
		p.respondedAt.Store(int64(now))
		p.log.ApplyListing(cs, e.At, now)
	} else {
		p.log.ApplyChanges(cs, e.At, now)
	}
}

func (s *Server) findPrefix(prefix string) *prefixLog {
	for _, p := range s.logs {
		if strings.HasPrefix(prefix, p.prefix) {
			return p
		}
	}
	return nil
}

// followerTimeout is the time without a request after which a process counts as
// having no followers. Each follower sends a request at least every 3 s.
const followerTimeout = 5 * time.Second

// HasFollowers reports whether other processes follow this one.
func (s *Server) HasFollowers() bool {
	last := s.lastRequest.Load()
	return last > 0 && s.clock.SinceBoot()-time.Duration(last) < followerTimeout
}

// Feed implements port.FeedHandler.
func (s *Server) Feed(ctx context.Context, r port.FeedRequest) (port.FeedReply, error) {
	received := s.clock.SinceBoot()
	s.lastRequest.Store(int64(received))
	p := s.findPrefix(r.Prefix)
	if p == nil {
		return port.FeedReply{}, ErrNotReader
	}
	timeout := s.clock.After(r.Wait)
	for waiting := true; ; {
		if !p.fromStore() {
			return port.FeedReply{}, ErrNotReader
		}
		// The confirmation is read before the changes, so that the changes are at least as new
		// as the view that was confirmed.
		coverage, confirmed := s.confirmed(r.Prefix)
		contactAge := s.clock.SinceBoot() - max(coverage.At, s.receivedAt())
		if !confirmed || contactAge >= maxConfirmationAge || p.silent() {
			return port.FeedReply{}, ErrStale
		}
		changes, revision, known, next := p.log.Since(r.Prefix, r.After, s.clock.SinceBoot())
		switch {
		case !known:
			return port.FeedReply{}, ErrGap
		case len(changes) > 0 || !waiting:
			view, now := confirmation.DigestOf(p.log.Revisions(coverage.Keys)), s.clock.SinceBoot()
			return port.FeedReply{Changes: changes, At: revision, Age: now - coverage.At, View: view, Held: now - received, Era: storeera.Era(revision)}, nil
		}
		select {
		case <-next:
		case <-s.clock.After(maxConfirmationAge - contactAge):
			// The next round refuses the request, unless there was contact since.
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return port.FeedReply{}, ctx.Err()
		}
	}
}
