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

	"github.com/masticwing/masticwing/internal/adapter/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// spreadRow is how far the machines of a group in one failure domain are with
// a version.
type spreadRow struct {
	Group    string `json:"group"`
	Version  string `json:"version"`
	Domain   string `json:"domain"`
	Machines int    `json:"machines"`
	Done     int    `json:"done"`
	Bytes    int64  `json:"bytes"`
	Total    int64  `json:"bytes_total"`
	// Rate is in bytes per second; negative if it is not known yet.
	Rate float64 `json:"bytes_per_second"`
	// LeftSeconds is negative if it is not known.
	LeftSeconds float64        `json:"seconds_left"`
	Stuck       []stuckMachine `json:"stuck"`
}

// stuckMachine is a machine that makes no progress.
type stuckMachine struct {
	Machine string `json:"machine"`
	Reason  string `json:"reason"`
}

// statusView is what status shows.
type statusView struct {
	view
	Slowest string      `json:"slowest"`
	Unseen  []process   `json:"unseen"`
	Groups  []spreadRow `json:"groups"`
}

func (s *session) status(ctx context.Context) error {
	v, err := s.lookClosely(ctx)
	if err != nil {
		return err
	}
	every := s.c.Duration("interval")
	out := summarize(v, nil, 0)
	if !s.c.Bool("watch") && out.unfinished() {
		// Rates need a second look.
		if !s.after(ctx, every) {
			return ctx.Err()
		}
		next, err := s.lookClosely(ctx)
		if err != nil {
			return err
		}
		out = summarize(next, &v, every)
	}
	if err := s.print(out, out.write); err != nil || !s.c.Bool("watch") {
		return err
	}
	for s.after(ctx, every) {
		next, err := s.lookClosely(ctx)
		if err != nil {
			s.warn("%v", err)
			continue
		}
		out = summarize(next, &v, every)
		v = next
		if err := s.print(out, out.write); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) after(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(d):
		return ctx.Err() == nil
	}
}

func (v statusView) unfinished() bool {
	return slices.ContainsFunc(v.Groups, func(r spreadRow) bool { return r.Done < r.Machines })
}

// summarize groups the member table. before is an earlier look, or nil.
func summarize(v view, before *view, between time.Duration) statusView {
	out := statusView{view: v, Unseen: []process{}}
	low := uint64(0)
	for _, p := range v.Processes {
		switch {
		case !p.seen():
			out.Unseen = append(out.Unseen, p)
		case out.Slowest == "" || p.Revision < low:
			out.Slowest, low = p.ID, p.Revision
		}
	}
	had := map[string]int64{}
	if before != nil {
		for _, p := range before.Processes {
			if p.record.Status != nil {
				had[p.ID+"/"+string(p.record.Status.Progress.Target)] = bytesHeld(p.record.Status.Progress)
			}
		}
	}
	out.Groups = spread(v, had, before != nil, between)
	return out
}

// bytesHeld is the verified part of a version.
func bytesHeld(p port.Progress) int64 {
	if p.Chunks == 0 {
		return 0
	}
	return p.BytesTotal / int64(p.Chunks) * int64(p.ChunksHave)
}

func spread(v view, had map[string]int64, rated bool, between time.Duration) []spreadRow {
	rows := map[string]*spreadRow{}
	for _, p := range v.Processes {
		st := p.record.Status
		if st == nil || st.Group == "" || !p.seen() {
			continue
		}
		target := st.Progress.Target
		if target == "" {
			target = st.Version
		}
		key := strings.Join([]string{string(st.Group), string(target), p.Domain}, "/")
		r := rows[key]
		if r == nil {
			r = &spreadRow{Group: string(st.Group), Version: string(target), Domain: p.Domain, Rate: -1, LeftSeconds: -1, Stuck: []stuckMachine{}}
			if rated {
				r.Rate = 0
			}
			rows[key] = r
		}
		r.add(p, target, had, between)
	}
	out := []spreadRow{}
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		r := rows[k]
		if r.Rate > 0 {
			r.LeftSeconds = float64(r.Total-r.Bytes) / r.Rate
		}
		out = append(out, *r)
	}
	return out
}

// add counts one machine.
func (r *spreadRow) add(p process, target fleet.Version, had map[string]int64, between time.Duration) {
	st := p.record.Status
	held := bytesHeld(st.Progress)
	r.Machines++
	r.Bytes += held
	r.Total += st.Progress.BytesTotal
	before, known := had[p.ID+"/"+string(target)]
	if r.Rate >= 0 && known && between > 0 {
		r.Rate += float64(max(0, held-before)) / between.Seconds()
	}
	switch {
	case st.Version == target && target != "":
		r.Done++
	case st.Progress.Reason != "":
		r.Stuck = append(r.Stuck, stuckMachine{p.ID, st.Progress.Reason})
	case known && held == before:
		r.Stuck = append(r.Stuck, stuckMachine{p.ID, "no progress in state " + cmp.Or(st.Progress.State, "unknown")})
	}
}

func (v statusView) write(w io.Writer) {
	behind := 0
	for _, p := range v.Processes {
		if p.seen() && p.Revision < v.Revision {
			behind++
		}
	}
	fmt.Fprintf(w, "revision %d, confirmed %s; %d processes, %d behind, %d unseen\n",
		v.Revision, ago(v.AgeSeconds), len(v.Processes), behind, len(v.Unseen))
	rows := [][]string{{"PROCESS", "KIND", "DOMAIN", "REVISION", "STATE"}}
	for _, p := range v.Processes {
		rows = append(rows, []string{p.ID, p.Kind, p.Domain, fmt.Sprint(p.Revision), p.State})
	}
	table(w, rows)
	if behind > 0 {
		fmt.Fprintf(w, "slowest: %s\n", v.Slowest)
	}
	for _, p := range v.Unseen {
		fmt.Fprintf(w, "unseen: %s, last at revision %d, heard %s\n", p.ID, p.Revision, ago(p.HeardSeconds))
	}
	if len(v.Groups) == 0 {
		return
	}
	rows = [][]string{{"GROUP", "VERSION", "DOMAIN", "DONE", "BYTES", "RATE", "LEFT", "STUCK"}}
	for _, r := range v.Groups {
		rows = append(rows, r.cells())
	}
	table(w, rows)
	for _, r := range v.Groups {
		for _, x := range r.Stuck {
			fmt.Fprintf(w, "stuck: %s: %s\n", x.Machine, x.Reason)
		}
	}
}

func (r spreadRow) cells() []string {
	rate, left := "-", "-"
	if r.Rate >= 0 {
		rate = size(int64(r.Rate)) + "/s"
	}
	if r.LeftSeconds >= 0 {
		left = time.Duration(r.LeftSeconds * float64(time.Second)).Round(time.Second).String()
	}
	return []string{
		r.Group, fmt.Sprintf("%.12s", cmp.Or(r.Version, "-")), r.Domain, fmt.Sprintf("%d/%d", r.Done, r.Machines),
		size(r.Bytes) + "/" + size(r.Total), rate, left, fmt.Sprint(len(r.Stuck)),
	}
}

// size rounds to one decimal, so that odd numbers of bytes stay readable.
func size(n int64) string {
	for _, u := range []struct {
		name  string
		bytes int64
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		if n >= u.bytes {
			return fmt.Sprintf("%.1f%s", float64(n)/float64(u.bytes), u.name)
		}
	}
	return settings.FormatBytes(n)
}

func ago(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return time.Duration(seconds*float64(time.Second)).Round(time.Second).String() + " ago"
}

func (w waited) write(out io.Writer) {
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
