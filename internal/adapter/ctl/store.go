package ctl

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/inifile"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// retryDelay is the pause between two calls to a platform that does not respond.
const retryDelay = 200 * time.Millisecond

// storedDocument is the declaration as stored in the platform, together with the
// platform's own revision of the key.
type storedDocument struct {
	doc              inifile.Document
	platformRevision int64
}

// errUnknownOutcome means that a write may have taken effect, but the platform did
// not confirm it before the timeout.
var errUnknownOutcome = errors.New("outcome of the change is unknown")

func (s *session) kv() (port.KV, error) {
	a := s.c.String("platform")
	if _, err := netip.ParseAddrPort(a); err != nil {
		return nil, exitErrorf(ExitUsage, "--platform must be IP:PORT, is %q", a)
	}
	return s.KV(fleet.Address(a)), nil
}

// readDocument returns the stored document, retrying until the timeout. Revision 0
// means that there is none.
func (s *session) readDocument(ctx context.Context) (storedDocument, error) {
	kv, err := s.kv()
	if err != nil {
		return storedDocument{}, err
	}
	until := s.deadline()
	for {
		c, err := readDocumentOnce(ctx, kv)
		if err == nil || !errors.Is(err, port.ErrUnavailable) {
			return c, err
		}
		if !s.waitRetry(ctx, until) {
			return storedDocument{}, withExitCode(ExitUnreachable, errors.Wrap(err, "platform does not answer"))
		}
	}
}

func readDocumentOnce(ctx context.Context, kv port.KV) (storedDocument, error) {
	e, err := kv.Get(ctx, inifile.DocumentKey)
	if errors.Is(err, port.ErrNotFound) {
		return storedDocument{}, nil
	}
	if err != nil {
		return storedDocument{}, err
	}
	doc, err := inifile.DecodeDocument(e.Value)
	return storedDocument{doc, e.Rev}, err
}

// deadline returns the time at which retries of the next operation end.
func (s *session) deadline() time.Time { return s.Clock.Now().Add(s.c.Duration("timeout")) }

// waitRetry waits before the next attempt. It returns false after until or if ctx
// ends.
func (s *session) waitRetry(ctx context.Context, until time.Time) bool {
	if !s.Clock.Now().Before(until) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(retryDelay):
		return true
	}
}

// newChangeRecord returns the history record of a change by this operator, with a
// random write ID.
func (s *session) newChangeRecord(summary string) inifile.ChangeRecord {
	return inifile.ChangeRecord{
		WriteID:  fmt.Sprintf("%016x%016x", s.Rand.Uint64(), s.Rand.Uint64()),
		Operator: s.c.String("operator"), Time: s.Clock.Now().UTC().Truncate(time.Second), Summary: summary,
	}
}

// conflictError means that another change took effect first. It holds the document
// now stored.
type conflictError struct{ stored storedDocument }

// Error implements error.
func (conflictError) Error() string { return "another operator changed the declaration first" }

// writeDocument replaces the document base by next. If a response is lost, it
// repeats the same write, which can take effect at most once, until the stored
// document shows the outcome. It returns a conflictError if another change took
// effect first.
func (s *session) writeDocument(ctx context.Context, base storedDocument, next inifile.Document) error {
	kv, err := s.kv()
	if err != nil {
		return err
	}
	b, err := next.Encode()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	until := s.deadline()
	maybeApplied := false
	for {
		_, err := kv.CompareAndSwap(ctx, inifile.DocumentKey, base.platformRevision, b, port.NoLease)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, port.ErrConflict):
			return s.resolveConflict(ctx, kv, base, next, maybeApplied, until)
		case errors.Is(err, port.ErrUnknownOutcome):
			maybeApplied = true
		case !errors.Is(err, port.ErrUnavailable):
			return err
		}
		if !s.waitRetry(ctx, until) {
			return unreachableError(maybeApplied, next, err)
		}
	}
}

// resolveConflict determines the outcome of a write that failed its comparison.
// The document lists the latest writes by ID, so a write whose response was
// lost is found even if other writes followed. A document that is not newer than
// base comes from a stale read and is read again.
func (s *session) resolveConflict(
	ctx context.Context, kv port.KV, base storedDocument, next inifile.Document, maybeApplied bool, until time.Time,
) error {
	for {
		stored, err := readDocumentOnce(ctx, kv)
		if err == nil {
			if _, found := stored.doc.FindChange(next.WriteID); found {
				return nil
			}
			if stored.platformRevision != base.platformRevision && stored.doc.Revision > base.doc.Revision {
				return conflictError{stored}
			}
		}
		if !s.waitRetry(ctx, until) {
			if !maybeApplied && err == nil {
				return conflictError{stored}
			}
			return unreachableError(maybeApplied, next, err)
		}
	}
}

func unreachableError(maybeApplied bool, next inifile.Document, err error) error {
	if !maybeApplied {
		return withExitCode(ExitUnreachable, errors.Wrap(err, "platform does not answer; nothing was changed"))
	}
	return withExitCode(ExitUnreachable, errors.Wrapf(errUnknownOutcome, "platform does not answer; look for write %s in the history", next.WriteID))
}

// writeTable writes rows in aligned columns without trailing spaces.
func writeTable(w io.Writer, rows [][]string) {
	var b strings.Builder
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(tw, strings.Join(r, "\t"))
	}
	_ = tw.Flush()
	for line := range strings.Lines(b.String()) {
		fmt.Fprintln(w, strings.TrimRight(line, " \n"))
	}
}
