package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/masticwing/masticwing/internal/core/bytesize"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// groupProgress is the progress of the machines of one group in one failure
// domain towards a version.
type groupProgress struct {
	Group    string `json:"group"`
	Version  string `json:"version"`
	Domain   string `json:"domain"`
	Machines int    `json:"machines"`
	Done     int    `json:"done"`
	Bytes    int64  `json:"bytes"`
	Total    int64  `json:"bytes_total"`
	// Rate is in bytes per second; negative if unknown.
	Rate float64 `json:"bytes_per_second"`
	// LeftSeconds is the estimated time to completion; negative if unknown.
	LeftSeconds float64        `json:"seconds_left"`
	Stuck       []stuckMachine `json:"stuck"`
}

// stuckMachine is a machine that reports a reason for waiting, or that made no
// progress between two reads of its record.
type stuckMachine struct {
	Machine string `json:"machine"`
	Reason  string `json:"reason"`
}

// statusReport is the output of the status command.
type statusReport struct {
	memberTable
	Slowest string          `json:"slowest"`
	Unseen  []process       `json:"unseen"`
	Groups  []groupProgress `json:"groups"`
}

func (s *session) status(ctx context.Context) error {
	table, err := s.readMembersWithRevisions(ctx)
	if err != nil {
		return err
	}
	interval := s.c.Duration("interval")
	out := summarize(table, nil, 0)
	if !s.c.Bool("watch") && out.unfinished() {
		// Rates are computed from two reads.
		if !s.sleep(ctx, interval) {
			return ctx.Err()
		}
		next, err := s.readMembersWithRevisions(ctx)
		if err != nil {
			return err
		}
		out = summarize(next, &table, interval)
	}
	if err := s.print(out, out.writeText); err != nil || !s.c.Bool("watch") {
		return err
	}
	for s.sleep(ctx, interval) {
		next, err := s.readMembersWithRevisions(ctx)
		if err != nil {
			s.warn("%v", err)
			continue
		}
		out = summarize(next, &table, interval)
		table = next
		if err := s.print(out, out.writeText); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(d):
		return ctx.Err() == nil
	}
}

func (sr statusReport) unfinished() bool {
	return slices.ContainsFunc(sr.Groups, func(r groupProgress) bool { return r.Done < r.Machines })
}

// summarize computes the status report of a member table. before is the table read
// elapsed earlier, from which rates are computed, or nil.
func summarize(table memberTable, before *memberTable, elapsed time.Duration) statusReport {
	out := statusReport{memberTable: table, Unseen: []process{}}
	lowest := uint64(0)
	for _, p := range table.Processes {
		switch {
		case !p.visible():
			out.Unseen = append(out.Unseen, p)
		case out.Slowest == "" || p.Revision < lowest:
			out.Slowest, lowest = p.ID, p.Revision
		}
	}
	earlierBytes := map[string]int64{}
	if before != nil {
		for _, p := range before.Processes {
			if p.record.Status != nil {
				earlierBytes[p.ID+"/"+string(p.record.Status.Progress.Target)] = bytesHeld(p.record.Status.Progress)
			}
		}
	}
	out.Groups = progressByGroup(table, earlierBytes, before != nil, elapsed)
	return out
}

// bytesHeld returns the size of the verified chunks of a version.
func bytesHeld(p port.Progress) int64 {
	if p.Chunks == 0 {
		return 0
	}
	return p.BytesTotal / int64(p.Chunks) * int64(p.ChunksHave)
}

func progressByGroup(table memberTable, earlierBytes map[string]int64, ratesKnown bool, elapsed time.Duration) []groupProgress {
	rows := map[string]*groupProgress{}
	for _, p := range table.Processes {
		status := p.record.Status
		if status == nil || status.Group == "" || !p.visible() {
			continue
		}
		target := status.Progress.Target
		if target == "" {
			target = status.Version
		}
		key := strings.Join([]string{string(status.Group), string(target), p.Domain}, "/")
		r := rows[key]
		if r == nil {
			r = &groupProgress{Group: string(status.Group), Version: string(target), Domain: p.Domain, Rate: -1, LeftSeconds: -1, Stuck: []stuckMachine{}}
			if ratesKnown {
				r.Rate = 0
			}
			rows[key] = r
		}
		r.addMachine(p, target, earlierBytes, elapsed)
	}
	out := []groupProgress{}
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		r := rows[k]
		if r.Rate > 0 {
			r.LeftSeconds = float64(r.Total-r.Bytes) / r.Rate
		}
		out = append(out, *r)
	}
	return out
}

// addMachine adds the progress of one machine.
func (r *groupProgress) addMachine(p process, target fleet.Version, earlierBytes map[string]int64, elapsed time.Duration) {
	status := p.record.Status
	held := bytesHeld(status.Progress)
	r.Machines++
	r.Bytes += held
	r.Total += status.Progress.BytesTotal
	before, known := earlierBytes[p.ID+"/"+string(target)]
	if r.Rate >= 0 && known && elapsed > 0 {
		r.Rate += float64(max(0, held-before)) / elapsed.Seconds()
	}
	switch {
	case status.Version == target && target != "":
		r.Done++
	case status.Progress.Reason != "":
		r.Stuck = append(r.Stuck, stuckMachine{p.ID, status.Progress.Reason})
	case known && held == before:
		r.Stuck = append(r.Stuck, stuckMachine{p.ID, "no progress in state " + cmp.Or(status.Progress.State, "unknown")})
	}
}

func (sr statusReport) writeText(w io.Writer) {
	behind := 0
	for _, p := range sr.Processes {
		if p.visible() && p.Revision < sr.Revision {
			behind++
		}
	}
	fmt.Fprintf(w, "revision %d, confirmed %s; %d processes, %d behind, %d unseen\n",
		sr.Revision, formatAgo(sr.AgeSeconds), len(sr.Processes), behind, len(sr.Unseen))
	rows := [][]string{{"PROCESS", "KIND", "DOMAIN", "REVISION", "STATE"}}
	for _, p := range sr.Processes {
		rows = append(rows, []string{p.ID, p.Kind, p.Domain, fmt.Sprint(p.Revision), p.State})
	}
	writeTable(w, rows)
	if behind > 0 {
		fmt.Fprintf(w, "slowest: %s\n", sr.Slowest)
	}
	for _, p := range sr.Unseen {
		fmt.Fprintf(w, "unseen: %s, last at revision %d, heard %s\n", p.ID, p.Revision, formatAgo(p.HeardSeconds))
	}
	if len(sr.Groups) == 0 {
		return
	}
	rows = [][]string{{"GROUP", "VERSION", "DOMAIN", "DONE", "BYTES", "RATE", "LEFT", "STUCK"}}
	for _, r := range sr.Groups {
		rows = append(rows, r.row())
	}
	writeTable(w, rows)
	for _, r := range sr.Groups {
		for _, x := range r.Stuck {
			fmt.Fprintf(w, "stuck: %s: %s\n", x.Machine, x.Reason)
		}
	}
}

func (r groupProgress) row() []string {
	rate, left := "-", "-"
	if r.Rate >= 0 {
		rate = formatSize(int64(r.Rate)) + "/s"
	}
	if r.LeftSeconds >= 0 {
		left = time.Duration(r.LeftSeconds * float64(time.Second)).Round(time.Second).String()
	}
	return []string{
		r.Group, fmt.Sprintf("%.12s", cmp.Or(r.Version, "-")), r.Domain, fmt.Sprintf("%d/%d", r.Done, r.Machines),
		formatSize(r.Bytes) + "/" + formatSize(r.Total), rate, left, fmt.Sprint(len(r.Stuck)),
	}
}

// formatSize returns n in the largest fitting binary unit, rounded to one decimal
// to stay readable.
func formatSize(n int64) string {
	for _, u := range []struct {
		name  string
		bytes int64
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		if n >= u.bytes {
			return fmt.Sprintf("%.1f%s", float64(n)/float64(u.bytes), u.name)
		}
	}
	return bytesize.Format(n)
}

func formatAgo(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return time.Duration(seconds*float64(time.Second)).Round(time.Second).String() + " ago"
}

func (w waitResult) writeText(out io.Writer) {
	if w.Done {
		fmt.Fprintf(out, "in force at every visible process after %.2f s", w.Seconds)
		if w.Slowest != "" {
			fmt.Fprintf(out, "; the slowest was %s", w.Slowest)
		}
		fmt.Fprintln(out)
		return
	}
	fmt.Fprintf(out, "not in force everywhere after %.2f s\n", w.Seconds)
	for _, p := range w.Behind {
		fmt.Fprintf(out, "behind: %s at revision %d\n", p.ID, p.Revision)
	}
}
