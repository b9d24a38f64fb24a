package procs

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/standin/engine"
	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	// slots is the number of requests that an agent admits at a time.
	slots = 2
	// An answer takes tokens times tokenDelay, so an engine bears
	// slots / 0.4 s = 5 requests/s.
	tokens     = 10
	tokenDelay = 40 * time.Millisecond
	// share is the part of the engines' capacity that the live load uses.
	share = 0.3
	// visible is the number of agents that one entry watches.
	visible = 32

	requestTimeout = 10 * time.Second
)

// sample is one live request.
type sample struct {
	at   time.Time
	took time.Duration
	// first is the time to the first byte.
	first   time.Duration
	version string
	err     error
}

// Live sends requests at a steady rate until it is stopped.
type Live struct {
	// Rate is in requests per second.
	Rate    float64
	callers []*harness.Caller
	body    string
	expect  map[string][]string // texts of the answer by version
	samples *shard.Map[int64, sample]
	next    atomic.Int64
	cancel  context.CancelFunc
	wg      conc.WaitGroup
}

// StartLive starts the load at the fleet's entries. An entry sees a bounded
// number of engines, and the rate is a share of the capacity that is seen.
func (f *Fleet) StartLive(ctx context.Context) *Live {
	seen := min(len(f.Agents), visible*len(f.Entries))
	perEngine := slots / (tokens * tokenDelay).Seconds()
	l := &Live{
		Rate: share * perEngine * float64(seen), samples: shard.New[int64, sample](0), expect: map[string][]string{},
		body: fmt.Sprintf(`{"prompt":"status of station 4","max_tokens":%d}`, tokens),
	}
	for _, v := range []origin.Version{f.old, f.new} {
		w, name := v.Make(), id(v)
		for i := range tokens {
			l.expect[name] = append(l.expect[name], engine.Token(w, []byte(l.body), i))
		}
	}
	for _, e := range f.Entries {
		l.callers = append(l.callers, harness.NewCaller(e.HTTP))
	}
	ctx, l.cancel = context.WithCancel(ctx)
	l.wg.Go(func() { l.loop(ctx) })
	return l
}

// Stop ends the load after the requests in progress.
func (l *Live) Stop() {
	l.cancel()
	l.wg.Wait()
}

// loop starts requests on schedule, however long the earlier ones take.
func (l *Live) loop(ctx context.Context) {
	t := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.wg.Go(l.one)
		}
	}
}

func (l *Live) one() {
	// Not the load's context: a request in progress is finished.
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestTimeout)
	defer cancel()
	n := l.next.Add(1)
	at := time.Now()
	a, err := l.callers[int(n)%len(l.callers)].Send(ctx, harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "summary",
		Timeout: requestTimeout, Body: l.body,
	})
	if err == nil {
		err = l.check(&a)
	}
	l.samples.Put(n, sample{at, time.Since(at), a.FirstByte, a.Version, err})
}

// check returns an error unless the answer is whole and all of it comes from
// the weights of the one version that it names.
func (l *Live) check(a *harness.Response) error {
	if err := a.CheckComplete(); err != nil {
		return err
	}
	want, ok := l.expect[a.Version]
	if !ok || len(a.Lines) != len(want) {
		return errors.Errorf("%d lines from version %q", len(a.Lines), a.Version)
	}
	for i, b := range a.Lines {
		var fr engine.Frame
		if err := json.Unmarshal(b, &fr); err != nil || fr.Text != want[i] || fr.Seq != i {
			return errors.Errorf("line %d of version %q: %s", i, a.Version, b)
		}
	}
	return nil
}

// Period is what happened to the requests of a stretch of time.
type Period struct {
	Requests, Errors int
	First            error
	P50, P99         time.Duration
}

// Between returns the requests that started in a stretch of time. Call it
// after Stop.
func (l *Live) Between(from, to time.Time) Period {
	var p Period
	var took []time.Duration
	l.samples.Range(func(_ int64, s sample) bool {
		if s.at.Before(from) || s.at.After(to) {
			return true
		}
		p.Requests++
		if s.err != nil {
			p.Errors++
			p.First = s.err
		}
		took = append(took, s.took)
		return true
	})
	if len(took) == 0 {
		return p
	}
	slices.Sort(took)
	p.P50, p.P99 = took[len(took)/2], took[len(took)*99/100]
	return p
}

// Slowest returns a line for each of the slowest requests that started in a
// stretch of time.
func (l *Live) Slowest(from, to time.Time, n int) []string {
	var ss []sample
	l.samples.Range(func(_ int64, s sample) bool {
		if !s.at.Before(from) && !s.at.After(to) {
			ss = append(ss, s)
		}
		return true
	})
	slices.SortFunc(ss, func(a, b sample) int { return cmp.Compare(b.took, a.took) })
	var out []string
	for _, s := range ss[:min(n, len(ss))] {
		out = append(out, fmt.Sprintf("at %.2f s: first byte %.3f s, total %.3f s, version %.8s",
			s.at.Sub(from).Seconds(), s.first.Seconds(), s.took.Seconds(), s.version))
	}
	return out
}
