package ledger

import (
	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/port"
)

// ticket implements port.LedgerClaim.
type ticket struct {
	l       *Ledger
	key     core.Key
	attempt core.Attempt
	content port.ContentDigest
}

// Done implements port.LedgerClaim.
func (t *ticket) Done(a *port.StoredAnswer) {
	if a != nil {
		t.l.answers.Put(t.key, kept{a, t.content}, len(a.Body))
	}
	t.l.table.Finish(t.key, t.attempt, core.Done)
}

// Unknown implements port.LedgerClaim.
func (t *ticket) Unknown() { t.l.table.Finish(t.key, t.attempt, core.Started) }

// NotRun implements port.LedgerClaim.
func (t *ticket) NotRun() { t.l.table.Finish(t.key, t.attempt, core.Aborted) }
