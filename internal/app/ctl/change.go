package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/inifile"
	"github.com/masticwing/masticwing/internal/core/declare"
)

// changeRow is a machine whose assignment changes.
type changeRow struct {
	Machine string `json:"machine"`
	Domain  string `json:"domain"`
	Old     string `json:"old"`
	New     string `json:"new"`
}

// comparison is the effect of a change on the machines.
type comparison struct {
	From     uint64      `json:"from_revision"`
	Machines int         `json:"machines_known"`
	Changes  []changeRow `json:"changes"`
	// Refused lists the reasons of the checks, which Forced overrides.
	Refused []string `json:"refused"`
	Forced  bool     `json:"forced"`
}

func (c comparison) write(w io.Writer) {
	fmt.Fprintf(w, "against revision %d: %d of %d known machines change\n", c.From, len(c.Changes), c.Machines)
	if len(c.Changes) > 0 {
		rows := [][]string{{"MACHINE", "DOMAIN", "NOW", "THEN"}}
		for _, r := range c.Changes {
			rows = append(rows, []string{r.Machine, r.Domain, r.Old, r.New})
		}
		table(w, rows)
	}
	if c.Forced {
		return
	}
	for _, r := range c.Refused {
		fmt.Fprintln(w, "refused:", r)
	}
}

// compare returns the effect of replacing cur by next.
func compare(cur inifile.Document, next inifile.Document, ms []declare.Machine) (comparison, error) {
	out := comparison{From: cur.Revision, Machines: len(ms), Changes: []changeRow{}, Refused: []string{}}
	after, faults := next.Declaration()
	if len(faults) > 0 {
		return out, exitf(ExitUsage, "new declaration: %s", faults[0])
	}
	var before *declare.Declaration
	if cur.Revision > 0 {
		// A stored document that cannot be read is replaced without checks.
		before, _ = cur.Declaration()
	}
	for _, c := range declare.Diff(before, after, ms) {
		out.Changes = append(out.Changes, changeRow{
			string(c.Machine.VM), string(c.Machine.Domain), c.Old.String(), c.New.String(),
		})
	}
	out.Refused = append(out.Refused, declare.RejectionReasons(before, after, ms)...)
	return out, nil
}

func (s *session) diff(ctx context.Context) error {
	config, _, err := s.parsed()
	if err != nil {
		return err
	}
	cur, err := s.read(ctx)
	if err != nil {
		return err
	}
	ms, err := s.machines(ctx)
	if err != nil {
		return err
	}
	next := cur.doc
	next.Config = config
	cmp, err := compare(cur.doc, next, ms)
	if err != nil {
		return err
	}
	return s.print(cmp, cmp.write)
}

// applied is the result of a change.
type applied struct {
	Revision uint64     `json:"revision"`
	WriteID  string     `json:"write_id"`
	Effect   comparison `json:"effect"`
	Wait     *waited    `json:"wait,omitempty"`
	Unseen   []process  `json:"unseen"`
}

// canWait refuses --wait without a peer before anything is changed.
func (s *session) canWait() error {
	if s.c.Bool("wait") && len(s.peers) == 0 {
		return exitf(ExitUsage, "--wait needs --peer")
	}
	return nil
}

func (s *session) apply(ctx context.Context) error {
	if err := s.canWait(); err != nil {
		return err
	}
	config, _, err := s.parsed()
	if err != nil {
		return err
	}
	cur, err := s.read(ctx)
	if err != nil {
		return err
	}
	if s.c.IsSet("revision") && cur.doc.Revision != s.c.Uint64("revision") {
		return s.wrongBase(s.c.Uint64("revision"), cur)
	}
	next := cur.doc.Next(s.newRecord("apply " + strings.Join(s.c.Args().Slice(), " ")))
	next.Config = config
	cmp, err := s.check(ctx, cur.doc, next, true)
	if err != nil {
		return err
	}
	var c conflict
	err = s.write(ctx, cur, next)
	if errors.As(err, &c) {
		return s.showConflict(cur.doc.Revision, c.now.doc, c)
	}
	if err != nil {
		return err
	}
	return s.finish(ctx, next, cmp)
}

// check refuses a change that leaves a group without a machine or a version. If
// no peer answers, a strict check refuses as well; a cordon may not wait for
// that.
func (s *session) check(ctx context.Context, cur, next inifile.Document, strict bool) (comparison, error) {
	ms, err := s.machines(ctx)
	switch {
	case err != nil && strict && !s.c.Bool("force"):
		return comparison{}, errors.Wrap(err, "cannot check the effect on machines (--force applies without)")
	case err != nil:
		s.warn("the effect on machines is not checked: %v", err)
	}
	cmp, err := compare(cur, next, ms)
	if err != nil || len(cmp.Refused) == 0 {
		return cmp, err
	}
	if s.c.Bool("force") {
		for _, r := range cmp.Refused {
			s.warn("%s", r)
		}
		cmp.Forced = true
		return cmp, nil
	}
	if err := s.print(cmp, cmp.write); err != nil {
		return cmp, err
	}
	return cmp, exitf(ExitRefused, "refused by a check; --force applies it all the same")
}

// wrongBase refuses a change that is based on another revision than the one in
// the platform. One above it is no conflict between operators.
func (s *session) wrongBase(base uint64, cur current) error {
	if base > cur.doc.Revision {
		return exitf(ExitConflict, "revision %d does not exist yet; the declaration is at revision %d", base, cur.doc.Revision)
	}
	return s.showConflict(base, cur.doc, conflict{cur})
}

// showConflict prints what changed since the revision that the operator saw.
func (s *session) showConflict(seen uint64, now inifile.Document, c conflict) error {
	others := []inifile.ChangeRecord{}
	for _, r := range now.History {
		if r.Revision > seen {
			others = append(others, r)
		}
	}
	v := map[string]any{"seen_revision": seen, "revision": now.Revision, "changes": others, "config": now.Config}
	err := s.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "the declaration is at revision %d, not %d\n", now.Revision, seen)
		writeHistory(w, others)
	})
	if err != nil {
		return err
	}
	return exit(ExitConflict, c)
}

// finish reports an accepted change, after waiting if that was asked for.
func (s *session) finish(ctx context.Context, next inifile.Document, cmp comparison) error {
	out := applied{Revision: next.Revision, WriteID: next.WriteID, Effect: cmp, Unseen: []process{}}
	var failed error
	if s.c.Bool("wait") {
		w, err := s.wait(ctx, next.Revision)
		out.Wait, failed = &w, err
	}
	if v, err := s.look(ctx); err == nil {
		out.Unseen = slices.DeleteFunc(v.Processes, process.seen)
	}
	err := s.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d is accepted\n", out.Revision)
		cmp.write(w)
		if out.Wait != nil {
			out.Wait.write(w)
		}
	})
	for _, p := range out.Unseen {
		s.warn("%s was not heard of for %.0f s; the change is not confirmed there (revision %d)", p.ID, p.HeardSeconds, p.Revision)
	}
	if err != nil {
		return err
	}
	return failed
}

// cordon sets or lifts a cordon. Cordons of two operators do not contradict
// each other, so a lost race is tried again.
func (s *session) cordon(ctx context.Context, on bool) error {
	kind, name := s.c.Args().Get(0), s.c.Args().Get(1)
	if s.c.Args().Len() != 2 || kind != "domain" && kind != "vm" {
		return exitf(ExitUsage, "expected domain NAME or vm NAME")
	}
	if err := s.canWait(); err != nil {
		return err
	}
	verb := map[bool]string{true: "cordon", false: "uncordon"}[on]
	rec := s.newRecord(fmt.Sprintf("%s %s %s", verb, kind, name))
	for {
		cur, err := s.read(ctx)
		if err != nil {
			return err
		}
		if cur.doc.Revision == 0 {
			return exitf(ExitFailed, "no declaration has been applied")
		}
		if err := s.knownName(ctx, cur.doc, kind, name, on); err != nil {
			return err
		}
		next := cur.doc.Next(rec)
		if kind == "domain" {
			next.CordonedDomains = inifile.Cordon(next.CordonedDomains, name, on)
		} else {
			next.CordonedVMs = inifile.Cordon(next.CordonedVMs, name, on)
		}
		cmp, err := s.check(ctx, cur.doc, next, false)
		if err != nil {
			return err
		}
		var c conflict
		if err = s.write(ctx, cur, next); errors.As(err, &c) {
			continue
		}
		if err != nil {
			return err
		}
		return s.finish(ctx, next, cmp)
	}
}
