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

// process is one entry of the member table.
type process struct {
	ID           string  `json:"id"`
	Kind         string  `json:"kind"`
	Domain       string  `json:"domain"`
	Revision     uint64  `json:"revision"`
	State        string  `json:"state"`
	HeardSeconds float64 `json:"heard_seconds_ago"`

	record port.MemberRecord
}

// visible reports whether the process is known to be reachable. A suspect is not
// visible, because the revision in force there cannot be confirmed.
func (p process) visible() bool { return p.State == "alive" || p.State == "leaving" }

var stateNames = []string{"alive", "suspect", "leaving", "dead"}

// memberTable is the member table merged from all peers.
type memberTable struct {
	// Revision is the highest revision that any peer reports.
	Revision uint64 `json:"revision"`
	// AgeSeconds is the time since the platform confirmed Revision; negative if
	// no peer knows it.
	AgeSeconds float64   `json:"confirmed_seconds_ago"`
	Processes  []process `json:"processes"`
}

// readMembers queries all peers concurrently and merges their tables.
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
	table := memberTable{AgeSeconds: -1}
	records := map[string]port.MemberRecord{}
	for _, m := range replies {
		if age := m.Age.Seconds(); m.Revision > table.Revision || m.Revision == table.Revision && m.Age >= 0 && (table.AgeSeconds < 0 || age < table.AgeSeconds) {
			table.Revision, table.AgeSeconds = m.Revision, max(age, -1)
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
		table.Processes = append(table.Processes, process{
			r.ID, r.Kind.String(), string(r.Domain), r.Revision, state, r.Age.Round(100 * time.Millisecond).Seconds(), r,
		})
	}
	slices.SortFunc(table.Processes, func(a, b process) int {
		return cmp.Or(strings.Compare(a.Domain, b.Domain), strings.Compare(a.ID, b.ID))
	})
	return table
}

// mergeRecords merges two peers' records of one process by the rules of package
// membership.
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

// knownMachines returns the machines whose agents the peers do not report as dead.
// Without peers it warns and returns none.
func (s *session) knownMachines(ctx context.Context) ([]declare.Machine, error) {
	if len(s.peers) == 0 {
		s.warn("no --peer is given, so the machines are unknown and the effect on them is not checked")
		return nil, nil
	}
	table, err := s.readMembers(ctx)
	if err != nil {
		return nil, err
	}
	var out []declare.Machine
	for _, p := range table.Processes {
		if p.record.Kind == fleet.KindAgent && p.State != "dead" {
			out = append(out, declare.Machine{VM: fleet.VM(p.ID), Domain: p.record.Domain, Labels: p.record.Labels})
		}
	}
	return out, nil
}

// checkNameKnown rejects a cordon of a name that neither the declaration nor the
// peers know, because a typing error would go unnoticed.
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
	if table, err := s.readMembers(ctx); err == nil {
		for _, p := range table.Processes {
			if kind == "domain" && p.Domain == name || kind == "vm" && p.ID == name {
				return nil
			}
		}
	}
	return exitErrorf(ExitRefused, "%s %q is not known; --force cordons it all the same", kind, name)
}

// waitResult is the result of --wait.
type waitResult struct {
	Done    bool      `json:"done"`
	Seconds float64   `json:"seconds"`
	Slowest string    `json:"slowest"`
	Behind  []process `json:"behind"`
}

const (
	// waitPollInterval is the time between two reads of the member table.
	waitPollInterval = 250 * time.Millisecond
	// maxConcurrentQueries bounds the concurrent queries to processes.
	maxConcurrentQueries = 64
)

// waitInForce waits until every visible process reports the revision or the wait
// timeout passes. The member table lags by some exchanges, so processes that seem
// to be behind are queried directly.
func (s *session) waitInForce(ctx context.Context, rev uint64) (waitResult, error) {
	start := s.Clock.Now()
	result := waitResult{Behind: []process{}}
	for {
		table, err := s.readMembers(ctx)
		if err == nil {
			result.Behind = s.processesBehind(ctx, table, rev)
		}
		result.Seconds = s.Clock.Now().Sub(start).Round(10 * time.Millisecond).Seconds()
		if err == nil && len(result.Behind) == 0 {
			result.Done = true
			return result, nil
		}
		if err == nil {
			result.Slowest = slices.MinFunc(result.Behind, func(a, b process) int { return cmp.Compare(a.Revision, b.Revision) }).ID
		}
		if s.Clock.Now().Sub(start) >= s.c.Duration("wait-timeout") {
			if err != nil {
				return result, err
			}
			return result, exitErrorf(ExitFailed, "revision %d is accepted, but not in force at %d visible processes", rev, len(result.Behind))
		}
		select {
		case <-ctx.Done():
			return result, ctx.Err()
		case <-s.Clock.After(waitPollInterval):
		}
	}
}

// processesBehind returns the visible processes that do not have the revision.
func (s *session) processesBehind(ctx context.Context, table memberTable, rev uint64) []process {
	processes := slices.DeleteFunc(table.Processes, func(p process) bool { return !p.visible() || p.Revision >= rev })
	s.refreshRevisions(ctx, processes, rev)
	return slices.DeleteFunc(processes, func(p process) bool { return p.Revision >= rev })
}

// refreshRevisions queries the visible processes that seem to be behind rev. Their
// records lag, because a new revision alone does not change a member record.
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

// readMembersWithRevisions is readMembers with the revisions of lagging records
// updated by direct queries.
func (s *session) readMembersWithRevisions(ctx context.Context) (memberTable, error) {
	table, err := s.readMembers(ctx)
	if err == nil {
		s.refreshRevisions(ctx, table.Processes, table.Revision)
	}
	return table, err
}
