package gateway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// watchWait is the longest wait of a watch; each call is charged. The store
	// keeps 20 s of history, which a longer wait without a change would pass.
	watchWait = 15 * time.Second
	// operatorPause collects operators' changes that come together. Changes must
	// be in force within 2 s.
	operatorPause = 20 * time.Millisecond
	// targetPause collects changes of targets. A leaving target must get no new
	// work after 2 s.
	targetPause = 400 * time.Millisecond
	// memberPause collects changes of processes, which only set shares. Each call
	// is charged.
	memberPause = 4 * time.Second
	// fedPause collects changes that another gateway passes on. A configuration of
	// some hundred kilobytes goes to a dozen processes over the reader's link, so
	// that one that is replaced at once has to be skipped.
	fedPause = 300 * time.Millisecond

	// feedWaitOperator is the time for which a reader waits for changes of the
	// operators' keys. Its replies are what confirms these keys here.
	feedWaitOperator = 400 * time.Millisecond
	// feedWaitTargets bounds the time until a silent reader is noticed. Leaving
	// targets get no new work after 2 s, in which a gateway that lost its reader also
	// asks the others and the store.
	feedWaitTargets = 400 * time.Millisecond
	// directWaitTargets bounds the wait for changes of targets at the store. A silent
	// connection there would hide leaving targets from the whole domain.
	directWaitTargets = 2 * time.Second
	// directWaitOperator is the same for the operators' keys. The regular check tells
	// of changes of known keys, but not of weights that are declared for the first
	// time.
	directWaitOperator = 3 * time.Second
	// feedWaitMembers and directWaitMembers are the same for processes, which only
	// set shares. Followers go on from what the reader saw last, of which the store
	// still has to have the history of 20 s.
	feedWaitMembers   = 3 * time.Second
	directWaitMembers = 8 * time.Second
)

// follower returns a follower of a prefix. pause is the time between two reads of
// the store.
func (g *Gateway) follower(prefix string, pause time.Duration) *follow.Follower {
	between := func() time.Duration {
		if g.source.FromStore(prefix) {
			return pause
		}
		return fedPause
	}
	return follow.New(g.source, prefix, watchWait, between, g.deps.Clock, g.deps.Log)
}

// serve makes a follower pass news of its prefix on, and returns the function that
// takes them in. Others get news no later than this gateway, since they take its
// confirmations for theirs.
func (g *Gateway) serve(f *follow.Follower, apply func(follow.Event)) func(follow.Event) {
	pass, seen := g.hub.AddPrefix(f.Prefix, func() bool { return !g.closing.Load() && g.source.FromStore(f.Prefix) })
	f.OnRevision = func(at int64) {
		seen(at)
		if f == g.operator {
			g.confirmFed()
		}
	}
	return func(e follow.Event) {
		pass(e)
		apply(e)
	}
}

// serveFeed passes changes of the store on to the processes that follow this one.
func (g *Gateway) serveFeed(ctx context.Context) {
	for ctx.Err() == nil {
		err := func() error {
			lis, err := net.Listen("tcp", string(g.set.Internal))
			if err != nil {
				return errors.Wrap(err, "listening for other processes")
			}
			defer func() { _ = lis.Close() }()
			srv, err := rpc.NewServer(rpc.Handlers{Feed: g.hub})
			if err != nil {
				return err
			}
			return srv.Serve(ctx, lis)
		}()
		if err != nil {
			g.deps.Log.Fault("serving other processes", err)
			g.sleep(ctx, time.Second)
		}
	}
}

const (
	// confirmEvery is the pause between two checks that the operators' keys are
	// as this process knows them. Each is charged; a key that was taken away
	// must be refused after 5 s. A gateway that follows another one gets a
	// confirmation from it before that, unless the other is in trouble.
	confirmEvery = 1500 * time.Millisecond
	// confirmServing is the same for a gateway that others follow.
	confirmServing = 600 * time.Millisecond
	// confirmRetry is the pause after a check without an answer.
	confirmRetry = 300 * time.Millisecond
)

// confirmLoop checks the picture against the store. A watch that reports nothing
// proves nothing while the store drops its history.
func (g *Gateway) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := confirmRetry
		if g.picture.table.Load() != nil {
			if pause = g.confirmDue(); pause <= 0 {
				pause = g.confirm(ctx)
			}
		}
		g.sleep(ctx, pause)
	}
}

// confirmDue returns the time until the next check.
func (g *Gateway) confirmDue() time.Duration {
	every := confirmEvery
	if g.hub.HasFollowers() {
		every = confirmServing
	}
	return every - g.pictureAge()
}

// confirmFed takes over the confirmation of the gateway that this one follows.
func (g *Gateway) confirmFed() {
	at, fed := g.source.FromReader(g.operator.Prefix)
	if old := g.confirmed.Load(); fed && int64(at) > old {
		g.confirmed.CompareAndSwap(old, int64(at))
	}
}

func (g *Gateway) confirm(ctx context.Context) time.Duration {
	expect := g.picture.expectations(g.deps.Facts.CordonKey)
	at := g.deps.Clock.SinceBoot()
	err := g.deps.Store.Commit(ctx, expect, nil)
	switch {
	case err == nil:
		g.confirmed.Store(int64(at))
		return g.confirmDue()
	case errors.Is(err, port.ErrConflict):
		g.conflicted(expect, err)
	}
	return confirmRetry
}

// conflicted takes in that the operators' keys are not as this gateway knows them.
// The answer holds those that exist; a configuration has some hundred kilobytes
// and is not read again for keys that it tells of.
func (g *Gateway) conflicted(expect []port.Expectation, err error) {
	var c *port.ConflictError
	known := 0
	if errors.As(err, &c) && g.picture.explains(expect, c.Current) {
		known = len(c.Current)
		var e follow.Event
		for _, it := range c.Current {
			e.Changes = append(e.Changes, port.Change{Item: it})
		}
		g.applyOperator(e)
	} else {
		g.operator.Relist()
	}
	g.deps.Log.State("operators' keys have changed", logging.F("known", len(expect)), logging.F("told", known))
}

// pictureAge returns the time since the store confirmed the operators' keys.
func (g *Gateway) pictureAge() time.Duration {
	return g.deps.Clock.SinceBoot() - time.Duration(g.confirmed.Load())
}

const (
	// usualAge is the age of a picture when news come, without any trouble.
	// weightsMargin covers it.
	usualAge = 700 * time.Millisecond
	// oldAtStart is the time for which a gateway that has just started uses weights
	// that are older than the declared ones. It does not know when these were
	// declared; other gateways take requests meanwhile.
	oldAtStart = 2 * time.Second
)

// declaredSince returns the earliest time at which a declaration was made that is
// news: after the last confirmation of the picture without it. A gateway that has
// just started has no such picture.
func (g *Gateway) declaredSince() time.Time {
	now := g.deps.Clock.Now()
	if g.confirmed.Load() == 0 {
		return now.Add(oldAtStart - (g.set.WeightsBound - weightsMargin))
	}
	return now.Add(-max(0, g.pictureAge()-usualAge))
}
