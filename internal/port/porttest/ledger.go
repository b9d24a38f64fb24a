package porttest

import (
	"context"
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// LedgerState is the state of a key in the fake Ledger.
type LedgerState string

// States of a key.
const (
	LedgerStarted LedgerState = "started"
	LedgerDone    LedgerState = "done"
	LedgerUnknown LedgerState = "unknown"
)

type ledgerRecord struct {
	state   LedgerState
	answer  *port.StoredAnswer
	content port.ContentDigest
}

// Ledger is an in-memory fake of port.Ledger.
type Ledger struct {
	records *shard.Map[port.LedgerKey, ledgerRecord]
	// Unavailable makes Begin refuse every call with the verdict NotRun.
	Unavailable atomic.Bool
	// Outcomes counts the claims whose outcome was recorded.
	Outcomes atomic.Int64
}

var _ port.Ledger = (*Ledger)(nil)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: shard.New[port.LedgerKey, ledgerRecord](0)} }

// State returns the state of a key, or an empty state if a call with the key may
// run.
func (l *Ledger) State(k port.LedgerKey) LedgerState {
	r, _ := l.records.Get(k)
	return r.state
}

// Begin implements port.Ledger.
func (l *Ledger) Begin(_ context.Context, k port.LedgerKey, content port.ContentDigest) (port.LedgerClaim, *port.StoredAnswer, error) {
	if l.Unavailable.Load() {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeLedgerUnavailable, "ledger is down")
	}
	var old ledgerRecord
	var known bool
	l.records.Update(k, func(r ledgerRecord, ok bool) (ledgerRecord, bool) {
		if old, known = r, ok; ok {
			return r, true
		}
		return ledgerRecord{state: LedgerStarted, content: content}, true
	})
	switch {
	case !known:
		return &ledgerClaim{l: l, k: k, content: content}, nil, nil
	case old.state == LedgerDone && old.answer != nil && old.content != content:
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeKeyReused, "idempotency key was used for another call")
	case old.state == LedgerDone && old.answer != nil:
		return nil, old.answer, nil
	case old.state == LedgerDone:
		return nil, nil, verdict.New(verdict.Ran, verdict.CodeDuplicate, "answer is not stored")
	case old.state == LedgerUnknown:
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.CodeDuplicate, "outcome of the call is unknown")
	default:
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "call is in progress")
	}
}

// ledgerClaim is a fake of port.LedgerClaim. It panics if more than one outcome is
// recorded.
type ledgerClaim struct {
	l        *Ledger
	k        port.LedgerKey
	content  port.ContentDigest
	recorded atomic.Bool
}

func (c *ledgerClaim) recordOutcome() {
	if c.recorded.Swap(true) {
		panic("outcome of a ledger claim recorded twice")
	}
	c.l.Outcomes.Add(1)
}

// Done implements port.LedgerClaim.
func (c *ledgerClaim) Done(a *port.StoredAnswer) {
	c.recordOutcome()
	c.l.records.Put(c.k, ledgerRecord{LedgerDone, a, c.content})
}

// Unknown implements port.LedgerClaim.
func (c *ledgerClaim) Unknown() {
	c.recordOutcome()
	c.l.records.Put(c.k, ledgerRecord{state: LedgerUnknown})
}

// NotRun implements port.LedgerClaim.
func (c *ledgerClaim) NotRun() {
	c.recordOutcome()
	c.l.records.Delete(c.k)
}
