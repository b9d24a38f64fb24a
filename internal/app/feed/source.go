package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/confirmation"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/storeera"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// unreachablePause is the time for which a reader is not asked after a failed
	// call, and refusedPause the time after it refused a request. refusedPause is
	// below takeoverStagger, after which the next reader may have taken over.
	unreachablePause = 2 * time.Second
	refusedPause     = 80 * time.Millisecond
	// storeWaitWithReaders bounds the wait for changes at the store while there are
	// readers, so that the readers are asked again soon.
	storeWaitWithReaders = 3 * time.Second
	// takeoverStagger is the delay per known reader before a follower that lost its
	// reader reads the store itself. Within that time the next reader starts to read
	// the store.
	takeoverStagger = 100 * time.Millisecond
	// preferReadersTime is the time for which the readers of a prefix with
	// PreferReaders are asked before the store is read.
	preferReadersTime = 6 * time.Second
	// readerRetryPause is the pause between two rounds of calls to these readers.
	readerRetryPause = 500 * time.Millisecond
	// takeoverPause is the pause between two rounds of calls within TakeoverDelay, above refusedPause.
	takeoverPause = 100 * time.Millisecond
	// urgentTimeout bounds each further call for an urgent prefix after a reader has not
	// responded. Readers of the same domain respond within some milliseconds.
	urgentTimeout = 150 * time.Millisecond
)

// PrefixOptions says how a prefix is read from other processes and from the store.
type PrefixOptions struct {
	// Wait is the longest time that a reader is asked to wait for changes. It also
	// bounds the time between two replies, each of which carries the age of the
	// reader's last confirmation.
	Wait time.Duration
	// MaxStoreWait bounds the wait for changes at the store, unless it is zero. It is
	// the time after which this process and its followers notice that the connection
	// to the store is dead.
	MaxStoreWait time.Duration
	// PreferReaders is set for a prefix that is large and not urgent: while there are
	// readers, the store is read only after all of them failed for preferReadersTime.
	PreferReaders bool
	// StoreTurn returns for how much longer the readers of such a prefix are asked before this process reads
	// the store, so that not all processes of a domain read it at the same moment. It may be nil.
	StoreTurn func() time.Duration
	// TakeoverDelay returns the time for which the readers of a prefix with large changes are asked before a call
	// to the store, unless the last one succeeded. It is longer for each further process that may follow the
	// readers, so that they don't all fetch the same change over one link. It may be nil.
	TakeoverDelay func() time.Duration
	// Urgent is set for a prefix with small changes that must be known soon, also if
	// several readers do not respond: only the first of them is waited for.
	Urgent bool
}

// Source is a store whose changes are read from other processes where possible and
// otherwise from the underlying store. All other calls go to the underlying store.
type Source struct {
	port.Store
	client port.FeedClient
	clock  port.BootClock
	log    port.Log
	// readers returns the processes to ask, in order.
	readers func() []core.Member

	state     *shard.Map[string, prefixState] // by prefix
	skipUntil *shard.Map[fleet.Address, time.Time]
	prefixes  map[string]PrefixOptions
}

// prefixState says where a prefix was last read.
type prefixState struct {
	// fromReader is set if the changes came from another process.
	fromReader bool
	// confirmed is the last confirmation of that process's view by the store.
	confirmed confirmation.Statement
	// repliedAt is the time since boot of that process's last reply.
	repliedAt time.Duration
	// read is set if the last call to the store for changes succeeded.
	read bool
}

// NewSource returns a source that reads from the given readers before it reads from
// store s. readers must not block.
func NewSource(s port.Store, c port.FeedClient, clock port.BootClock, log port.Log, readers func() []core.Member, prefixes map[string]PrefixOptions) *Source {
	return &Source{
		Store: s, client: c, clock: clock, log: log, readers: readers,
		state: shard.New[string, prefixState](0), skipUntil: shard.New[fleet.Address, time.Time](0), prefixes: prefixes,
	}
}

// FromReader reports whether the last changes of a prefix came from another process,
// and the confirmation that this one passed on with them.
func (s *Source) FromReader(prefix string) (confirmed confirmation.Statement, fromReader bool) {
	st, _ := s.state.Get(prefix)
	return st.confirmed, st.fromReader
}

// ReaderAwaitsStore reports whether the last changes of a prefix came from another process, no longer ago than
// within, whose view the store had last confirmed longer than maxConfirmationAge before. Such a process replies
// only while a long response of the store arrives.
func (s *Source) ReaderAwaitsStore(prefix string, within time.Duration) bool {
	st, _ := s.state.Get(prefix)
	return st.fromReader && s.clock.SinceBoot()-st.repliedAt < within && st.repliedAt-st.confirmed.At >= maxConfirmationAge
}

// FromStore reports whether the prefix was last read from the store.
func (s *Source) FromStore(prefix string) bool {
	st, ok := s.state.Get(prefix)
	return ok && !st.fromReader
}

// List implements port.Store. It reads from the store, because the state of another
// process may be older than what this process knows. Only prefixes with
// PreferReaders, which are not urgent, are listed from readers.
func (s *Source) List(ctx context.Context, prefix string) ([]port.StoreItem, int64, error) {
	if s.prefixes[prefix].PreferReaders {
		if reply, ok := s.askRepeatedly(ctx, port.FeedRequest{Prefix: prefix, After: core.FromStart}); ok {
			var items []port.StoreItem
			for _, c := range changesOf(reply) {
				items = append(items, c.StoreItem)
			}
			return items, reply.At, nil
		}
	}
	items, revision, err := s.Store.List(ctx, prefix)
	if err == nil {
		s.state.Put(prefix, prefixState{})
	}
	return items, revision, err
}

// Changes implements port.Store.
func (s *Source) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]port.StoreChange, int64, error) {
	p := s.prefixes[prefix]
	r := port.FeedRequest{Prefix: prefix, After: after, Wait: wait}
	if p.Wait > 0 {
		r.Wait = min(wait, p.Wait)
	}
	reply, result := s.askReaders(ctx, r)
	ok := result == replied
	state, _ := s.state.Get(prefix)
	fromReader := state.fromReader
	readers := len(s.readers())
	switch {
	case ok, p.Urgent && result == unresponsive:
	case p.PreferReaders:
		reply, ok = s.askRepeatedly(ctx, r)
	case p.TakeoverDelay != nil && !state.read:
		reply, ok = s.askFor(ctx, r, p.TakeoverDelay(), takeoverPause)
	case fromReader && readers > 0:
		// The other followers of these readers lost them too; the next reader of the
		// domain is about to take over.
		s.sleep(ctx, time.Duration(readers)*takeoverStagger)
		reply, result = s.askReaders(ctx, r)
		ok = result == replied
	}
	if ok && reply.Era > storeera.Era(after) {
		// The reader has seen that the store was restored from an older copy.
		return nil, after, errors.Wrap(port.ErrHistoryGone, "the reader is in a later era of the store")
	}
	if ok {
		return changesOf(reply), max(after, reply.At), nil
	}
	if readers > 0 {
		wait = min(wait, storeWaitWithReaders)
	}
	if p.MaxStoreWait > 0 {
		wait = min(wait, p.MaxStoreWait)
	}
	// From here on other processes may follow this one: its state is complete, and
	// the next change comes from the store.
	s.state.Put(prefix, prefixState{read: state.read})
	changes, at, err := s.Store.Changes(ctx, prefix, after, wait)
	s.state.Put(prefix, prefixState{read: err == nil})
	return changes, at, err
}

// askRepeatedly asks the readers until one replies, for at most preferReadersTime and then until it is
// this process's turn to read the store.
func (s *Source) askRepeatedly(ctx context.Context, r port.FeedRequest) (port.FeedReply, bool) {
	askTime := preferReadersTime
	if turn := s.prefixes[r.Prefix].StoreTurn; turn != nil {
		askTime += turn()
	}
	return s.askFor(ctx, r, askTime, readerRetryPause)
}

// askFor asks the readers until one replies, for at most a time, with a pause after each round.
func (s *Source) askFor(ctx context.Context, r port.FeedRequest, askTime, pause time.Duration) (port.FeedReply, bool) {
	for end := s.clock.Now().Add(askTime); len(s.readers()) > 0 && s.clock.Now().Before(end) && ctx.Err() == nil; {
		if reply, result := s.askReaders(ctx, r); result == replied {
			return reply, true
		}
		s.sleep(ctx, pause)
	}
	return port.FeedReply{}, false
}

// askResult is the result of a round of calls to the readers.
type askResult uint8

const (
	// refused means that no reader replied, and each one that was asked refused.
	refused askResult = iota
	// unresponsive means that no reader replied, and at least one did not respond.
	unresponsive
	replied
)

// errOlderEra means that a reader does not know yet that the store was restored from an older copy, or that
// it is of a build that does not know of eras.
var errOlderEra = errors.Wrap(port.ErrFeedRefused, "reply is of an older era of the store")

// askReaders asks the readers in order and returns the first reply.
func (s *Source) askReaders(ctx context.Context, r port.FeedRequest) (port.FeedReply, askResult) {
	result := refused
	for _, m := range s.readers() {
		if until, ok := s.skipUntil.Get(m.Address); ok && s.clock.Now().Before(until) {
			continue
		}
		hurry := result == unresponsive && s.prefixes[r.Prefix].Urgent
		if hurry {
			r.Wait = 0
		}
		start := s.clock.SinceBoot()
		reply, err := s.askReader(ctx, m, r, hurry)
		if ctx.Err() != nil {
			return reply, result
		}
		if err == nil && (reply.Era < storeera.Era(r.After) || reply.Era != storeera.Era(reply.At)) {
			err = errOlderEra
		}
		if err == nil {
			// The reader replied at the earliest after it had held the request; the rest of the
			// wait was spent on the way.
			waited := s.clock.SinceBoot() - start
			held := min(reply.Held, waited)
			s.recordReply(r.Prefix, m, confirmation.Statement{At: start + held - reply.Age, View: reply.View}, start+waited)
			for i := range reply.Changes {
				reply.Changes[i].Age = reply.Changes[i].Age.Plus(waited - held)
			}
			return reply, replied
		}
		if !errors.Is(err, port.ErrFeedRefused) {
			result = unresponsive
		}
		s.recordFailure(r.Prefix, m, err)
	}
	return port.FeedReply{}, result
}

// askReader asks one reader, for at most urgentTimeout if hurry is set.
func (s *Source) askReader(ctx context.Context, m core.Member, r port.FeedRequest, hurry bool) (port.FeedReply, error) {
	if hurry {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, urgentTimeout)
		defer cancel()
	}
	return s.client.Feed(ctx, m.Address, r)
}

func (s *Source) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

// recordFailure records a failed call to reader m, which is then not asked for a while.
func (s *Source) recordFailure(prefix string, m core.Member, err error) {
	pause := unreachablePause
	if errors.Is(err, port.ErrFeedRefused) {
		pause = refusedPause
	}
	s.skipUntil.Put(m.Address, s.clock.Now().Add(pause))
	if _, fromReader := s.FromReader(prefix); fromReader {
		s.log.Failure("lost the reader", err, port.F("prefix", prefix), port.F("reader", m.ID))
	}
}

// recordReply records that the changes of a prefix come from reader m, which replied now.
func (s *Source) recordReply(prefix string, m core.Member, confirmed confirmation.Statement, now time.Duration) {
	if _, fromReader := s.FromReader(prefix); !fromReader {
		s.log.StateChange("following a reader", port.F("prefix", prefix), port.F("reader", m.ID))
	}
	s.state.Put(prefix, prefixState{fromReader: true, confirmed: confirmed, repliedAt: now})
}

func changesOf(r port.FeedReply) []port.StoreChange {
	out := make([]port.StoreChange, 0, len(r.Changes))
	for _, c := range r.Changes {
		it := port.StoreItem{Key: c.Key, Value: c.Value, Revision: c.Revision}
		out = append(out, port.StoreChange{StoreItem: it, Removed: c.Removed, Age: c.Age})
	}
	return out
}
