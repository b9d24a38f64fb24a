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

// machineChange is the change of one machine's assignment.
type machineChange struct {
	Machine string `json:"machine"`
	Domain  string `json:"domain"`
	Old     string `json:"old"`
	New     string `json:"new"`
}

// changeEffect is the effect of a new declaration on the known machines.
type changeEffect struct {
	From     uint64          `json:"from_revision"`
	Machines int             `json:"machines_known"`
	Changes  []machineChange `json:"changes"`
	// Rejections lists the reasons of failed checks. Forced is set if --force
	// overrode them.
	Rejections []string `json:"refused"`
	Forced     bool     `json:"forced"`
}

func (c changeEffect) writeText(w io.Writer) {
	fmt.Fprintf(w, "against revision %d: %d of %d known machines change\n", c.From, len(c.Changes), c.Machines)
	if len(c.Changes) > 0 {
		rows := [][]string{{"MACHINE", "DOMAIN", "NOW", "THEN"}}
		for _, r := range c.Changes {
			rows = append(rows, []string{r.Machine, r.Domain, r.Old, r.New})
		}
		writeTable(w, rows)
	}
	if c.Forced {
		return
	}
	for _, r := range c.Rejections {
		fmt.Fprintln(w, "refused:", r)
	}
}

// computeEffect returns the effect of replacing current by next.
func computeEffect(current inifile.Document, next inifile.Document, machines []declare.Machine) (changeEffect, error) {
	out := changeEffect{From: current.Revision, Machines: len(machines), Changes: []machineChange{}, Rejections: []string{}}
	after, faults := next.Declaration()
	if len(faults) > 0 {
		return out, exitErrorf(ExitUsage, "new declaration: %s", faults[0])
	}
	var before *declare.Declaration
	if current.Revision > 0 {
		// A stored document that cannot be parsed may be replaced without checks.
		before, _ = current.Declaration()
	}
	for _, c := range declare.Diff(before, after, machines) {
		out.Changes = append(out.Changes, machineChange{
			string(c.Machine.VM), string(c.Machine.Domain), c.Old.String(), c.New.String(),
		})
	}
	out.Rejections = append(out.Rejections, declare.RejectionReasons(before, after, machines)...)
	return out, nil
}

func (s *session) diff(ctx context.Context) error {
	config, _, err := s.parseFiles()
	if err != nil {
		return err
	}
	cur, err := s.readDocument(ctx)
	if err != nil {
		return err
	}
	machines, err := s.knownMachines(ctx)
	if err != nil {
		return err
	}
	next := cur.doc
	next.Config = config
	effect, err := computeEffect(cur.doc, next, machines)
	if err != nil {
		return err
	}
	return s.print(effect, effect.writeText)
}

// applyResult is the output of a command that changed the declaration.
type applyResult struct {
	Revision uint64       `json:"revision"`
	WriteID  string       `json:"write_id"`
	Effect   changeEffect `json:"effect"`
	Wait     *waitResult  `json:"wait,omitempty"`
	Unseen   []process    `json:"unseen"`
}

// checkWaitFlag rejects --wait without --peer, before anything is changed.
func (s *session) checkWaitFlag() error {
	if s.c.Bool("wait") && len(s.peers) == 0 {
		return exitErrorf(ExitUsage, "--wait needs --peer")
	}
	return nil
}

func (s *session) apply(ctx context.Context) error {
	if err := s.checkWaitFlag(); err != nil {
		return err
	}
	config, _, err := s.parseFiles()
	if err != nil {
		return err
	}
	cur, err := s.readDocument(ctx)
	if err != nil {
		return err
	}
	if s.c.IsSet("revision") && cur.doc.Revision != s.c.Uint64("revision") {
		return s.baseConflict(s.c.Uint64("revision"), cur)
	}
	next := cur.doc.WithChange(s.newChangeRecord("apply " + strings.Join(s.c.Args().Slice(), " ")))
	next.Config = config
	effect, err := s.checkEffect(ctx, cur.doc, next, true)
	if err != nil {
		return err
	}
	var c conflictError
	err = s.writeDocument(ctx, cur, next)
	if errors.As(err, &c) {
		return s.printConflict(cur.doc.Revision, c.stored.doc, c)
	}
	if err != nil {
		return err
	}
	return s.reportChange(ctx, next, effect)
}

// checkEffect rejects a change that leaves a group without a machine or a version,
// unless --force is set. A strict check also fails if no peer responds. The check
// of a cordon is not strict, since a cordon has to work without reachable peers.
func (s *session) checkEffect(ctx context.Context, cur, next inifile.Document, strict bool) (changeEffect, error) {
	machines, err := s.knownMachines(ctx)
	switch {
	case err != nil && strict && !s.c.Bool("force"):
		return changeEffect{}, errors.Wrap(err, "cannot check the effect on machines (--force applies without)")
	case err != nil:
		s.warn("the effect on machines is not checked: %v", err)
	}
	effect, err := computeEffect(cur, next, machines)
	if err != nil || len(effect.Rejections) == 0 {
		return effect, err
	}
	if s.c.Bool("force") {
		for _, r := range effect.Rejections {
			s.warn("%s", r)
		}
		effect.Forced = true
		return effect, nil
	}
	if err := s.print(effect, effect.writeText); err != nil {
		return effect, err
	}
	return effect, exitErrorf(ExitRefused, "refused by a check; --force applies it all the same")
}

// baseConflict returns the error for a change based on a revision other than the
// stored one. A base above the stored revision is not a conflict between
// operators.
func (s *session) baseConflict(base uint64, cur storedDocument) error {
	if base > cur.doc.Revision {
		return exitErrorf(ExitConflict, "revision %d does not exist yet; the declaration is at revision %d", base, cur.doc.Revision)
	}
	return s.printConflict(base, cur.doc, conflictError{cur})
}

// printConflict prints the changes since the base revision and returns c with its
// exit code.
func (s *session) printConflict(base uint64, stored inifile.Document, c conflictError) error {
	others := []inifile.ChangeRecord{}
	for _, r := range stored.History {
		if r.Revision > base {
			others = append(others, r)
		}
	}
	out := map[string]any{"seen_revision": base, "revision": stored.Revision, "changes": others, "config": stored.Config}
	err := s.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "the declaration is at revision %d, not %d\n", stored.Revision, base)
		writeHistory(w, others)
	})
	if err != nil {
		return err
	}
	return withExitCode(ExitConflict, c)
}

// reportChange prints the result of an accepted change. With --wait it first waits
// until the change is in force.
func (s *session) reportChange(ctx context.Context, next inifile.Document, effect changeEffect) error {
	result := applyResult{Revision: next.Revision, WriteID: next.WriteID, Effect: effect, Unseen: []process{}}
	var failed error
	if s.c.Bool("wait") {
		w, err := s.waitInForce(ctx, next.Revision)
		result.Wait, failed = &w, err
	}
	if members, err := s.readMembers(ctx); err == nil {
		result.Unseen = slices.DeleteFunc(members.Processes, process.visible)
	}
	err := s.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d is accepted\n", result.Revision)
		effect.writeText(w)
		if result.Wait != nil {
			result.Wait.writeText(w)
		}
	})
	for _, p := range result.Unseen {
		s.warn("%s was not heard of for %.0f s; the change is not confirmed there (revision %d)", p.ID, p.HeardSeconds, p.Revision)
	}
	if err != nil {
		return err
	}
	return failed
}

// cordon sets or removes a cordon. Cordons of different operators are independent
// of each other, so a write that lost a race is retried.
func (s *session) cordon(ctx context.Context, cordoned bool) error {
	kind, name := s.c.Args().Get(0), s.c.Args().Get(1)
	if s.c.Args().Len() != 2 || kind != "domain" && kind != "vm" {
		return exitErrorf(ExitUsage, "expected domain NAME or vm NAME")
	}
	if err := s.checkWaitFlag(); err != nil {
		return err
	}
	verb := map[bool]string{true: "cordon", false: "uncordon"}[cordoned]
	rec := s.newChangeRecord(fmt.Sprintf("%s %s %s", verb, kind, name))
	for {
		cur, err := s.readDocument(ctx)
		if err != nil {
			return err
		}
		if cur.doc.Revision == 0 {
			return exitErrorf(ExitFailed, "no declaration has been applied")
		}
		if err := s.checkNameKnown(ctx, cur.doc, kind, name, cordoned); err != nil {
			return err
		}
		next := cur.doc.WithChange(rec)
		if kind == "domain" {
			next.CordonedDomains = inifile.SetCordon(next.CordonedDomains, name, cordoned)
		} else {
			next.CordonedVMs = inifile.SetCordon(next.CordonedVMs, name, cordoned)
		}
		effect, err := s.checkEffect(ctx, cur.doc, next, false)
		if err != nil {
			return err
		}
		var c conflictError
		if err = s.writeDocument(ctx, cur, next); errors.As(err, &c) {
			continue
		}
		if err != nil {
			return err
		}
		return s.reportChange(ctx, next, effect)
	}
}
