package ctl

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/internal/adapter/inifile"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/port"
)

// process is one line of the member table.
type process struct {
	ID           string  `json:"id"`
	Kind         string  `json:"kind"`
	Domain       string  `json:"domain"`
	Revision     uint64  `json:"revision"`
	State        string  `json:"state"`
	HeardSeconds float64 `json:"heard_seconds_ago"`

	record port.MemberRecord
}

// seen reports whether the process is visible. A suspect is not: whatever is
// in force there cannot be vouched for.
func (p process) seen() bool { return p.State == "alive" || p.State == "leaving" }

var stateNames = []string{"alive", "suspect", "leaving", "dead"}

// view is the member table as the peers together know it.
type view struct {
	// Revision is the highest that any process reports.
	Revision uint64 `json:"revision"`
	// AgeSeconds is the time since the platform confirmed it; negative if no
	// peer knows.
	AgeSeconds float64   `json:"confirmed_seconds_ago"`
	Processes  []process `json:"processes"`
}

// look asks all peers at the same time and joins their tables.
func (s *session) look(ctx context.Context) (view, error) {
	if len(s.peers) == 0 {
		return view{}, exitf(ExitUsage, "--peer is required")
	}
	var mu sync.Mutex
	var answers []port.ExchangeMessage
	var last error
	var wg conc.WaitGroup
	for _, a := range s.peers {
		wg.Go(func() {
			m, err := s.Members.Members(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				last = err
				return
			}
			answers = append(answers, m)
		})
	}
	wg.Wait()
	if len(answers) == 0 {
		return view{}, exitf(ExitUnreachable, "no peer answers: %v", last)
	}
	return join(answers), nil
}

func join(answers []port.ExchangeMessage) view {
	v := view{AgeSeconds: -1}
	recs := map[string]port.MemberRecord{}
	for _, m := range answers {
		if age := m.Age.Seconds(); m.Revision > v.Revision || m.Revision == v.Revision && m.Age >= 0 && (v.AgeSeconds < 0 || age < v.AgeSeconds) {
			v.Revision, v.AgeSeconds = m.Revision, max(age, -1)
		}
		for _, r := range m.Records {
			old, ok := recs[r.ID]
			if ok {
				r = newer(old, r)
			}
			recs[r.ID] = r
		}
	}
	for _, r := range recs {
		state := "unknown"
		if int(r.State) < len(stateNames) {
			state = stateNames[r.State]
		}
		v.Processes = append(v.Processes, process{
			r.ID, r.Kind.String(), string(r.Domain), r.Revision, state, r.Age.Round(100 * time.Millisecond).Seconds(), r,
		})
	}
	slices.SortFunc(v.Processes, func(a, b process) int {
		return cmp.Or(strings.Compare(a.Domain, b.Domain), strings.Compare(a.ID, b.ID))
	})
	return v
}

// newer joins two peers' records of one process by the rules of the table.
func newer(a, b port.MemberRecord) port.MemberRecord {
	conv := func(r port.MemberRecord) membership.Record[port.MemberRecord] {
		return membership.Record[port.MemberRecord]{
			Incarnation: r.Incarnation, Version: r.Version, State: membership.State(r.State), Payload: r,
		}
	}
	m, _ := membership.Merge(conv(a), conv(b))
	out := m.Payload
	out.State, out.Age = port.MemberState(m.State), min(a.Age, b.Age)
	return out
}

// machines returns the machines that the peers know to be there. Without
// peers it returns none, and the effect on machines stays unknown.
func (s *session) machines(ctx context.Context) ([]declare.Machine, error) {
	if len(s.peers) == 0 {
		s.warn("no --peer is given, so the machines are unknown and the effect on them is not checked")
		return nil, nil
	}
	v, err := s.look(ctx)
	if err != nil {
		return nil, err
	}
	var out []declare.Machine
	for _, p := range v.Processes {
		if p.record.Kind == fleet.KindAgent && p.State != "dead" {
			out = append(out, declare.Machine{VM: fleet.VM(p.ID), Domain: p.record.Domain, Labels: p.record.Labels})
		}
	}
	return out, nil
}

// knownName refuses to cordon a name that neither the declaration nor the
// peers know, since a slip would go unnoticed.
func (s *session) knownName(ctx context.Context, doc inifile.Document, kind, name string, on bool) error {
	if !on || s.c.Bool("force") {
		return nil
	}
	if d, faults := doc.Declaration(); len(faults) == 0 {
		_, dom := d.Domains[fleet.Domain(name)]
		_, vm := d.VMs[fleet.VM(name)]
		if kind == "domain" && dom || kind == "vm" && vm {
			return nil
		}
	}
	if v, err := s.look(ctx); err == nil {
		for _, p := range v.Processes {
			if kind == "domain" && p.Domain == name || kind == "vm" && p.ID == name {
				return nil
			}
		}
	}
	return exitf(ExitRefused, "%s %q is not known; --force cordons it all the same", kind, name)
}

// waited is the result of --wait.
type waited struct {
	Done    bool      `json:"done"`
	Seconds float64   `json:"seconds"`
	Slowest string    `json:"slowest"`
	Behind  []process `json:"behind"`
}

const (
	// waitPoll is the time between two looks at the member table.
	waitPoll = 250 * time.Millisecond
	// waitAsks bounds the processes that are asked at the same time.
	waitAsks = 64
)

// wait returns once every visible process reports the revision. The member
// table lags by some exchanges, so those that seem to be behind are asked.
func (s *session) wait(ctx context.Context, rev uint64) (waited, error) {
	began := s.Clock.Now()
	out := waited{Behind: []process{}}
	for {
		v, err := s.look(ctx)
		if err == nil {
			out.Behind = s.behind(ctx, v, rev)
		}
		out.Seconds = s.Clock.Now().Sub(began).Round(10 * time.Millisecond).Seconds()
		if err == nil && len(out.Behind) == 0 {
			out.Done = true
			return out, nil
		}
		if err == nil {
			out.Slowest = slices.MinFunc(out.Behind, func(a, b process) int { return cmp.Compare(a.Revision, b.Revision) }).ID
		}
		if s.Clock.Now().Sub(began) >= s.c.Duration("wait-timeout") {
			if err != nil {
				return out, err
			}
			return out, exitf(ExitFailed, "revision %d is accepted, but not in force at %d visible processes", rev, len(out.Behind))
		}
		select {
		case <-ctx.Done():
			return out, ctx.Err()
		case <-s.Clock.After(waitPoll):
		}
	}
}

// behind returns the visible processes that do not have the revision.
func (s *session) behind(ctx context.Context, v view, rev uint64) []process {
	ps := slices.DeleteFunc(v.Processes, func(p process) bool { return !p.seen() || p.Revision >= rev })
	s.ask(ctx, ps, rev)
	return slices.DeleteFunc(ps, func(p process) bool { return p.Revision >= rev })
}

// ask asks the visible processes that seem to be behind rev. Their records lag:
// a revision alone does not rewrite them.
func (s *session) ask(ctx context.Context, ps []process, rev uint64) {
	asks := pool.New().WithMaxGoroutines(waitAsks)
	for i := range ps {
		if !ps[i].seen() || ps[i].Revision >= rev {
			continue
		}
		asks.Go(func() {
			m, err := s.Members.Exchange(ctx, ps[i].record.Address, port.ExchangeMessage{})
			if err == nil {
				ps[i].Revision = max(ps[i].Revision, m.Revision)
			}
		})
	}
	asks.Wait()
}

// lookClosely is look with the revisions that the processes report themselves.
func (s *session) lookClosely(ctx context.Context) (view, error) {
	v, err := s.look(ctx)
	if err == nil {
		s.ask(ctx, v.Processes, v.Revision)
	}
	return v, err
}
