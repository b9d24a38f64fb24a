package ledger

import (
	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/port"
)

// claim implements port.LedgerClaim.
type claim struct {
	l       *Ledger
	key     core.Key
	attempt core.Attempt
	content port.ContentDigest
}

// Done implements port.LedgerClaim.
func (c *claim) Done(a *port.StoredAnswer) {
	if a != nil {
		c.l.answers.Put(c.key, cachedAnswer{a, c.content}, len(a.Body))
	}
	c.l.table.Finish(c.key, c.attempt, core.Done)
}

// Unknown implements port.LedgerClaim.
func (c *claim) Unknown() { c.l.table.Finish(c.key, c.attempt, core.Started) }

// NotRun implements port.LedgerClaim.
func (c *claim) NotRun() { c.l.table.Finish(c.key, c.attempt, core.Aborted) }
