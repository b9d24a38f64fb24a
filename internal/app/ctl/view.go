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
func (p process) visible() bool { return p.State == "alive" || p.State == "leaving" }

var stateNames = []string{"alive", "suspect", "leaving", "dead"}

// view is the member table as the peers together know it.
type memberTable struct {
	// Revision is the highest that any process reports.
	Revision uint64 `json:"revision"`
	// AgeSeconds is the time since the platform confirmed it; negative if no
	// peer knows.
	AgeSeconds float64   `json:"confirmed_seconds_ago"`
	Processes  []process `json:"processes"`
}

// look asks all peers at the same time and joins their tables.
func (s *session) readMembers(ctx context.Context) (memberTable, error) {
	if len(s.peers) == 0 {
		return memberTable{}, exitErrorf(ExitUsage, "--peer is required")
	}
	var mu sync.Mutex
	var replies []port.ExchangeMessage
	var lastErr error
	var wg conc.WaitGroup
	for _, a := range s.peers {
		wg.Go(func() {
			m, err := s.Members.Members(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			replies = append(replies, m)
		})
	}
	wg.Wait()
	if len(replies) == 0 {
		return memberTable{}, exitErrorf(ExitUnreachable, "no peer answers: %v", lastErr)
	}
	return mergeTables(replies), nil
}

func mergeTables(replies []port.ExchangeMessage) memberTable {
	v := memberTable{AgeSeconds: -1}
	records := map[string]port.MemberRecord{}
	for _, m := range replies {
		if age := m.Age.Seconds(); m.Revision > v.Revision || m.Revision == v.Revision && m.Age >= 0 && (v.AgeSeconds < 0 || age < v.AgeSeconds) {
			v.Revision, v.AgeSeconds = m.Revision, max(age, -1)
		}
		for _, r := range m.Records {
			old, ok := records[r.ID]
			if ok {
				r = mergeRecords(old, r)
			}
			records[r.ID] = r
		}
	}
	for _, r := range records {
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
func mergeRecords(a, b port.MemberRecord) port.MemberRecord {
	toCore := func(r port.MemberRecord) membership.Record[port.MemberRecord] {
		return membership.Record[port.MemberRecord]{
			Incarnation: r.Incarnation, Version: r.Version, State: membership.State(r.State), Payload: r,
		}
	}
	m, _ := membership.Merge(toCore(a), toCore(b))
	out := m.Payload
	out.State, out.Age = port.MemberState(m.State), min(a.Age, b.Age)
	return out
}

// machines returns the machines that the peers know to be there. Without
// peers it returns none, and the effect on machines stays unknown.
func (s *session) knownMachines(ctx context.Context) ([]declare.Machine, error) {
	if len(s.peers) == 0 {
		s.warn("no --peer is given, so the machines are unknown and the effect on them is not checked")
		return nil, nil
	}
	v, err := s.readMembers(ctx)
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
func (s *session) checkNameKnown(ctx context.Context, doc inifile.Document, kind, name string, cordoned bool) error {
	if !cordoned || s.c.Bool("force") {
		return nil
	}
	if d, faults := doc.Declaration(); len(faults) == 0 {
		_, dom := d.Domains[fleet.Domain(name)]
		_, vm := d.VMs[fleet.VM(name)]
		if kind == "domain" && dom || kind == "vm" && vm {
			return nil
		}
	}
	if v, err := s.readMembers(ctx); err == nil {
		for _, p := range v.Processes {
			if kind == "domain" && p.Domain == name || kind == "vm" && p.ID == name {
				return nil
			}
		}
	}
	return exitErrorf(ExitRefused, "%s %q is not known; --force cordons it all the same", kind, name)
}

// waited is the result of --wait.
type waitResult struct {
	Done    bool      `json:"done"`
	Seconds float64   `json:"seconds"`
	Slowest string    `json:"slowest"`
	Behind  []process `json:"behind"`
}

const (
	// waitPoll is the time between two looks at the member table.
	waitPollInterval = 250 * time.Millisecond
	// waitAsks bounds the processes that are asked at the same time.
	maxConcurrentQueries = 64
)

// wait returns once every visible process reports the revision. The member
// table lags by some exchanges, so those that seem to be behind are asked.
func (s *session) waitInForce(ctx context.Context, rev uint64) (waitResult, error) {
	began := s.Clock.Now()
	out := waitResult{Behind: []process{}}
	for {
		v, err := s.readMembers(ctx)
		if err == nil {
			out.Behind = s.processesBehind(ctx, v, rev)
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
			return out, exitErrorf(ExitFailed, "revision %d is accepted, but not in force at %d visible processes", rev, len(out.Behind))
		}
		select {
		case <-ctx.Done():
			return out, ctx.Err()
		case <-s.Clock.After(waitPollInterval):
		}
	}
}

// behind returns the visible processes that do not have the revision.
func (s *session) processesBehind(ctx context.Context, v memberTable, rev uint64) []process {
	processes := slices.DeleteFunc(v.Processes, func(p process) bool { return !p.visible() || p.Revision >= rev })
	s.refreshRevisions(ctx, processes, rev)
	return slices.DeleteFunc(processes, func(p process) bool { return p.Revision >= rev })
}

// ask asks the visible processes that seem to be behind rev. Their records lag:
// a revision alone does not rewrite them.
func (s *session) refreshRevisions(ctx context.Context, processes []process, rev uint64) {
	queries := pool.New().WithMaxGoroutines(maxConcurrentQueries)
	for i := range processes {
		if !processes[i].visible() || processes[i].Revision >= rev {
			continue
		}
		queries.Go(func() {
			m, err := s.Members.Exchange(ctx, processes[i].record.Address, port.ExchangeMessage{})
			if err == nil {
				processes[i].Revision = max(processes[i].Revision, m.Revision)
			}
		})
	}
	queries.Wait()
}

// lookClosely is look with the revisions that the processes report themselves.
func (s *session) readMembersWithRevisions(ctx context.Context) (memberTable, error) {
	v, err := s.readMembers(ctx)
	if err == nil {
		s.refreshRevisions(ctx, v.Processes, v.Revision)
	}
	return v, err
}
