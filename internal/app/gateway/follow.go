package gateway

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// watchTimeout is the longest time for which a read of changes waits. Each call to
	// the store is charged. The store keeps 20 s of history: after a longer wait
	// without a change, the revision to continue from would be outside it.
	watchTimeout = 15 * time.Second
	// operatorBatchDelay is the pause between two reads of the operator keys, so that
	// changes made together are read together. Changes must be in force within 2 s.
	operatorBatchDelay = 20 * time.Millisecond
	// targetBatchDelay is the same for targets. A leaving target must get no new
	// requests after 2 s.
	targetBatchDelay = 400 * time.Millisecond
	// memberBatchDelay is the same for the registered processes, which only determine
	// each gateway's share of the targets. Each call is charged.
	memberBatchDelay = 4 * time.Second
	// quarantineBatchDelay is the same for the evidence against parts of prompts. One target is
	// lost after the other until it is known.
	quarantineBatchDelay = 50 * time.Millisecond
	// feedBatchDelay is the pause between two reads from another gateway. The reader
	// sends a configuration of some hundred kilobytes to a dozen processes over its
	// link, so a version that is replaced shortly after should be skipped.
	feedBatchDelay = 300 * time.Millisecond

	// feedWaitOperator is the time for which a reader waits for changes of the operator
	// keys before it replies. Each reply also confirms this gateway's view of them.
	feedWaitOperator = 400 * time.Millisecond
	// feedWaitTargets is the same for targets. A leaving target must get no new requests
	// after 2 s. An unresponsive reader is detected after this time and the margin of a call,
	// 1 s together. In the rest the gateway asks the other readers and the store.
	feedWaitTargets = 400 * time.Millisecond
	// storeWaitTargets bounds the wait for changes of targets at the store. An unresponsive
	// connection there would hide leaving targets from the whole domain; with the margin of a
	// call, 1.5 s, it is noticed in less than 3 s, after which a leaving target must get no
	// new requests in any case.
	storeWaitTargets = 1400 * time.Millisecond
	// maxTargetsSilence is the time without a response about targets after which a gateway no
	// longer serves them to others: the wait, the pause between two reads and as much for the
	// call. Checks of the operator keys say nothing about targets.
	maxTargetsSilence = storeWaitTargets + 2*targetBatchDelay
	// storeWaitOperator is the same for the operator keys. The periodic confirmation
	// detects changes of known keys, but not weights that are declared for the first
	// time.
	storeWaitOperator = 3 * time.Second
	// feedWaitQuarantine and storeWaitQuarantine are the same for the evidence against parts of
	// prompts, of which there is none most of the time. Each further request with such a part
	// costs a target.
	feedWaitQuarantine  = time.Second
	storeWaitQuarantine = 3 * time.Second
	// feedWaitMembers and storeWaitMembers are the same for the registered processes,
	// which only determine shares. A gateway that loses its reader continues from the
	// reader's last revision, which must still be in the store's 20 s of history.
	feedWaitMembers  = 3 * time.Second
	storeWaitMembers = 8 * time.Second
)

// newFollower returns a follower of a prefix. storeDelay is the pause between two reads
// of the store; reads from another gateway use feedBatchDelay.
func (g *Gateway) newFollower(prefix string, storeDelay time.Duration) *follow.Follower {
	delay := func() time.Duration {
		if g.source.FromStore(prefix) {
			return storeDelay
		}
		return feedBatchDelay
	}
	return follow.New(g.source, prefix, watchTimeout, delay, g.deps.Clock, g.deps.Log)
}

// publishThenApply registers the follower's prefix at the feed server and returns a function that
// publishes an event there and then calls apply. Publishing comes first because other
// processes adopt the confirmations of this one, and they must not adopt a confirmation
// before they can read the changes that it covers.
func (g *Gateway) publishThenApply(f *follow.Follower, apply func(follow.Event)) func(follow.Event) {
	maxSilence := time.Duration(0)
	if f.Prefix == g.deps.Decoder.Prefixes().Targets {
		maxSilence = maxTargetsSilence
	}
	publish, advance := g.feedServer.AddPrefix(f.Prefix, func() bool { return !g.stopState.begun() && g.source.FromStore(f.Prefix) }, maxSilence)
	f.OnRevision = func(at int64, _ time.Duration) {
		advance(at)
		if f == g.operatorFollower {
			g.adoptReaderConfirmation()
		}
	}
	return func(e follow.Event) {
		publish(e)
		apply(e)
	}
}

// serveFeed serves changes of the store to the processes that follow this one. It listens
// again after an error.
func (g *Gateway) serveFeed(ctx context.Context) {
	for ctx.Err() == nil {
		err := func() error {
			lis, err := net.Listen("tcp", string(g.settings.Internal))
			if err != nil {
				return errors.Wrap(err, "listening on the internal address")
			}
			defer func() { _ = lis.Close() }()
			srv, err := g.deps.NewFeedServer(g.feedServer)
			if err != nil {
				return err
			}
			return srv.Serve(ctx, lis)
		}()
		if err != nil {
			g.deps.Log.Failure("serving the feed of store changes failed", err)
			g.sleep(ctx, time.Second)
		}
	}
}

const (
	// confirmInterval is the age of a confirmation at which this gateway asks the store
	// for a new one. Each call is charged; a removed API key must be refused after 5 s.
	// A gateway that follows another one normally adopts its confirmations before the
	// interval ends.
	confirmInterval = 1500 * time.Millisecond
	// readerConfirmInterval is the same for a gateway that other processes follow.
	readerConfirmInterval = 600 * time.Millisecond
	// confirmRetryDelay is the pause after a call that did not confirm the view.
	confirmRetryDelay = 300 * time.Millisecond
)

// confirmLoop checks the view of the operator keys against the store until ctx ends. The
// absence of watched changes is no confirmation, since the store may have dropped history.
func (g *Gateway) confirmLoop(ctx context.Context) {
	var checks overlappingChecks
	defer checks.wait()
	for ctx.Err() == nil {
		pause := confirmRetryDelay
		switch {
		case g.view.routeTable.Load() == nil:
		case g.awaitsChange():
			pause = changePollInterval
		default:
			if pause = g.untilNextConfirm(); pause <= 0 {
				pause = checks.run(ctx, g)
			}
		}
		g.sleep(ctx, pause)
	}
}

// untilNextConfirm returns the time until the view has to be confirmed again; it may be
// negative.
func (g *Gateway) untilNextConfirm() time.Duration {
	interval := confirmInterval
	if g.feedServer.HasFollowers() {
		interval = readerConfirmInterval
	}
	age, ok := g.viewAge()
	if !ok {
		return 0
	}
	return interval - age
}

// adoptReaderConfirmation adopts the confirmation of the gateway that this one follows,
// if it is newer than its own and covers the keys and revisions of this view. Otherwise this
// gateway checks its view itself.
func (g *Gateway) adoptReaderConfirmation() {
	if confirmed, fromReader := g.source.FromReader(g.operatorFollower.Prefix); fromReader {
		g.view.confirmations.Adopt(confirmed)
	}
}

// maxPreconditions is the largest number of preconditions of one commit; the store refuses
// more.
const maxPreconditions = 32

// confirmView checks the revisions of the operator keys with commits without writes. It
// returns the pause before the next check.
func (g *Gateway) confirmView(ctx context.Context) time.Duration {
	at := g.deps.Clock.SinceBoot()
	for expect := range slices.Chunk(g.view.expectedRevisions(), maxPreconditions) {
		err := g.deps.Store.Commit(ctx, expect, nil)
		switch {
		case errors.Is(err, port.ErrConflict):
			g.handleConflict(ctx, expect, at, err)
			return confirmRetryDelay
		case errors.Is(err, port.ErrHistoryGone):
			// The store was restored from an older copy.
			g.operatorFollower.Relist()
			return confirmRetryDelay
		case err != nil:
			return confirmRetryDelay + g.followDelay()
		}
	}
	g.view.confirmations.Check(at)
	return g.untilNextConfirm()
}

// handleConflict updates the view after a check, which began at a time, found other revisions of the
// operator keys. The conflict contains the current items unless they are long. Only if these do not
// account for it, and no change is on its way, is the prefix listed again, since a listing
// transfers a configuration of some hundred kilobytes.
func (g *Gateway) handleConflict(ctx context.Context, expect []port.Precondition, began time.Duration, err error) {
	current := g.view.holds(expect)
	told := g.applyConflict(expect, err)
	awaited := told == 0 && !current
	if told == 0 && current {
		switch g.checkOtherKeys(ctx, expect, err) {
		case othersCurrent:
			if g.view.holds(expect) {
				g.view.confirmations.Refute(began, g.deps.Clock.SinceBoot())
			}
			awaited = g.awaitsChange()
		case othersApplied, othersUnknown:
			// The next check decides.
			awaited = true
		case othersLeft:
		}
	}
	if told == 0 && !awaited {
		g.operatorFollower.Relist()
	}
	g.deps.Log.StateChange("operators' keys have changed", port.F("known", len(expect)), port.F("told", told), port.F("awaited", awaited))
}

// applyConflict applies the current items of a conflict if they account for it, and returns their number.
func (g *Gateway) applyConflict(expect []port.Precondition, err error) int {
	var c *port.ConflictError
	if !errors.As(err, &c) || !g.view.coversConflict(expect, c.Current) {
		return 0
	}
	var e follow.Event
	for _, it := range c.Current {
		e.Changes = append(e.Changes, port.StoreChange{StoreItem: it})
	}
	g.applyOperatorKeys(e)
	return len(c.Current)
}

// otherKeys is the result of a check of the operator keys other than the configuration.
type otherKeys uint8

const (
	// othersLeft means that changes of them are left, or that they can't be checked by themselves.
	othersLeft otherKeys = iota
	// othersApplied means that changes of them were applied. The configuration may be as in the view.
	othersApplied
	// othersCurrent means that they are as in the view, so that the configuration differs.
	othersCurrent
	// othersUnknown means that the store did not respond.
	othersUnknown
)

// checkOtherKeys checks the keys of a conflict without items that are short, and applies their changes.
func (g *Gateway) checkOtherKeys(ctx context.Context, expect []port.Precondition, conflict error) otherKeys {
	var c *port.ConflictError
	if errors.As(conflict, &c) {
		return othersLeft
	}
	config := g.deps.Decoder.Prefixes().Config
	others := slices.DeleteFunc(slices.Clone(expect), func(p port.Precondition) bool { return strings.HasPrefix(p.Key, config) })
	switch len(others) {
	case len(expect):
		return othersLeft
	case 0:
		return othersCurrent
	}
	err := g.deps.Store.Commit(ctx, others, nil)
	switch {
	case err == nil:
		return othersCurrent
	case !errors.Is(err, port.ErrConflict):
		return othersUnknown
	case g.applyConflict(others, err) > 0:
		return othersApplied
	}
	return othersLeft
}

const (
	// changePollInterval is the pause between two looks whether a change is still on its way.
	changePollInterval = 100 * time.Millisecond
	// receiptTimeout is the time without a part of a response after which a change does not count as on
	// its way, and that for which one counts as such that the store has just stated. A full link delays parts by some
	// hundred milliseconds.
	receiptTimeout = time.Second
	// readerReplyTimeout is the time without a reply of the gateway that this one follows after which it checks its view
	// itself. It asks every feedWaitOperator.
	readerReplyTimeout = time.Second
	// maxFollowedWait is the time since the first check that found the change for which a gateway waits for the one
	// that it follows, and a quarter of its takeover delay more. A reader that has moved past the change does not
	// pass it on.
	maxFollowedWait = 2 * time.Second
)

// awaitsChange reports whether a change of the operator keys is on its way: a long response of the store is arriving, here
// or at the gateway that this one follows, or the store has stated only recently that the view is not current. A check
// would transfer the configuration once more over the same link.
func (g *Gateway) awaitsChange() bool {
	f := g.operatorFollower
	if f.Receiving() && g.deps.Clock.SinceBoot()-f.ReceivedAt() < receiptTimeout || g.source.ReaderAwaitsStore(f.Prefix, readerReplyTimeout) {
		return true
	}
	first, _, refuted := g.view.refutedAgo()
	if !refuted {
		return false
	}
	longest := receiptTimeout
	if _, fromReader := g.source.FromReader(f.Prefix); fromReader {
		longest = maxFollowedWait
	}
	return f.Listing() || first < longest+g.view.takeoverDelay()/4
}

// viewAge returns the time since the store last confirmed the operator keys, or false if it
// never did.
func (g *Gateway) viewAge() (time.Duration, bool) {
	at, ok := g.view.confirmations.Newest()
	return g.deps.Clock.SinceBoot() - at, ok
}
