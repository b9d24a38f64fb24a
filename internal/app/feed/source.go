package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// avoidTime is the time for which a reader is not asked that could not be
	// reached, and refusedTime the same for one that has nothing to pass on. The
	// latter is below stagger, after which the next reader may have something.
	avoidTime   = 2 * time.Second
	refusedTime = 80 * time.Millisecond
	// directWait bounds a wait for changes at the store while there are readers,
	// which are to be asked again soon.
	directWait = 3 * time.Second
	// stagger is the time by which each reader's followers wait longer than those
	// of the one before it, before they read the store. The next reader starts to
	// read it meanwhile.
	stagger = 100 * time.Millisecond
	// patientTime is the time for which a patient prefix is not read from the store
	// although there are readers.
	patientTime = 6 * time.Second
	// patientRetry is the pause between two tries to read such a prefix.
	patientRetry = 500 * time.Millisecond
)

// Prefix says how a prefix is read from other processes.
type Prefix struct {
	// Wait is the longest time that a reader is asked to wait for changes. Each
	// reply also says how old the reader's picture is.
	Wait time.Duration
	// Direct bounds a wait at the store, or is zero. A connection that went silent is
	// noticed after that, by the process and by those that follow it.
	Direct time.Duration
	// Patient prefixes are large and not urgent: while there are readers, the store
	// is read only after all of them failed for a while.
	Patient bool
}

// Clock also gives a time that goes on while the machine is suspended.
type Clock interface {
	port.Clock
	// SinceBoot returns the time since the machine started.
	SinceBoot() time.Duration
}

// Source is a store whose changes are read from other processes as far as
// possible. All other calls go to the store.
type Source struct {
	port.Store
	client port.FeedClient
	clock  Clock
	log    *logging.Logger
	// readers returns the processes to ask, in order.
	readers func() []core.Member

	state    *shard.Map[string, prefixState] // by prefix
	avoid    *shard.Map[fleet.Address, time.Time]
	prefixes map[string]Prefix
}

// prefixState says where a prefix was last read.
type prefixState struct {
	// fed is set if another process passed the changes on.
	fed bool
	// confirmed is the time since boot at which the store confirmed what that
	// process knows.
	confirmed time.Duration
}

// NewSource returns a source. readers must not block.
func NewSource(s port.Store, c port.FeedClient, clock Clock, log *logging.Logger, readers func() []core.Member, prefixes map[string]Prefix) *Source {
	return &Source{
		Store: s, client: c, clock: clock, log: log, readers: readers,
		state: shard.New[string, prefixState](0), avoid: shard.New[fleet.Address, time.Time](0), prefixes: prefixes,
	}
}

// Fed reports whether another process passed the last changes of a prefix on, and
// the time since boot at which the store confirmed them.
func (s *Source) Fed(prefix string) (confirmed time.Duration, fed bool) {
	st, _ := s.state.Get(prefix)
	return st.confirmed, st.fed
}

// Direct reports whether the prefix is read from the store.
func (s *Source) Direct(prefix string) bool {
	st, ok := s.state.Get(prefix)
	return ok && !st.fed
}

// List implements port.Store. A listing is that of the store: one of another
// process may be older than what is known here, which matters only for prefixes
// that are not urgent.
func (s *Source) List(ctx context.Context, prefix string) ([]port.StoreItem, int64, error) {
	if s.prefixes[prefix].Patient {
		if reply, ok := s.patiently(ctx, port.FeedRequest{Prefix: prefix, After: core.All}); ok {
			var items []port.StoreItem
			for _, c := range changesOf(reply) {
				items = append(items, c.StoreItem)
			}
			return items, reply.At, nil
		}
	}
	items, at, err := s.Store.List(ctx, prefix)
	if err == nil {
		s.state.Put(prefix, prefixState{})
	}
	return items, at, err
}

// Changes implements port.Store.
func (s *Source) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]port.StoreChange, int64, error) {
	p := s.prefixes[prefix]
	r := port.FeedRequest{Prefix: prefix, After: after, Wait: wait}
	if p.Wait > 0 {
		r.Wait = min(wait, p.Wait)
	}
	reply, ok := s.ask(ctx, r)
	_, fed := s.Fed(prefix)
	readers := len(s.readers())
	switch {
	case ok:
	case p.Patient:
		reply, ok = s.patiently(ctx, r)
	case fed && readers > 0:
		// The other followers of the same readers lost them as well.
		s.sleep(ctx, time.Duration(readers)*stagger)
		reply, ok = s.ask(ctx, r)
	}
	if ok {
		return changesOf(reply), max(after, reply.At), nil
	}
	if readers > 0 {
		wait = min(wait, directWait)
	}
	if p.Direct > 0 {
		wait = min(wait, p.Direct)
	}
	// From here on others may follow: what is known is complete, and the next change
	// comes from the store.
	s.state.Put(prefix, prefixState{})
	return s.Store.Changes(ctx, prefix, after, wait)
}

// patiently asks until a reader answers, or all have failed for a while.
func (s *Source) patiently(ctx context.Context, r port.FeedRequest) (port.FeedReply, bool) {
	for end := s.clock.Now().Add(patientTime); len(s.readers()) > 0 && s.clock.Now().Before(end) && ctx.Err() == nil; {
		if reply, ok := s.ask(ctx, r); ok {
			return reply, true
		}
		s.sleep(ctx, patientRetry)
	}
	return port.FeedReply{}, false
}

// ask asks the readers in order.
func (s *Source) ask(ctx context.Context, r port.FeedRequest) (port.FeedReply, bool) {
	for _, m := range s.readers() {
		if until, ok := s.avoid.Get(m.Address); ok && s.clock.Now().Before(until) {
			continue
		}
		start := s.clock.SinceBoot()
		reply, err := s.client.Feed(ctx, m.Address, r)
		if ctx.Err() != nil {
			return reply, false
		}
		if err == nil {
			s.took(r.Prefix, m, start-reply.Age)
			return reply, true
		}
		s.lost(r.Prefix, m, err)
	}
	return port.FeedReply{}, false
}

func (s *Source) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

func (s *Source) lost(prefix string, m core.Member, err error) {
	pause := avoidTime
	if errors.Is(err, port.ErrFeedRefused) {
		pause = refusedTime
	}
	s.avoid.Put(m.Address, s.clock.Now().Add(pause))
	if _, fed := s.Fed(prefix); fed {
		s.log.Fault("lost the reader", err, logging.F("prefix", prefix), logging.F("reader", m.ID))
	}
}

func (s *Source) took(prefix string, m core.Member, confirmed time.Duration) {
	if _, fed := s.Fed(prefix); !fed {
		s.log.State("following a reader", logging.F("prefix", prefix), logging.F("reader", m.ID))
	}
	s.state.Put(prefix, prefixState{fed: true, confirmed: confirmed})
}

func changesOf(r port.FeedReply) []port.StoreChange {
	out := make([]port.StoreChange, 0, len(r.Changes))
	for _, c := range r.Changes {
		it := port.StoreItem{Key: c.Key, Value: c.Value, Revision: c.Revision}
		out = append(out, port.StoreChange{StoreItem: it, Removed: c.Removed})
	}
	return out
}
