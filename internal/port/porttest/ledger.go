package porttest

import (
	"context"
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// LedgerState is the state of a key in the fake ledger.
type LedgerState string

// The states of a key.
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

// Ledger is a fake of port.Ledger in memory.
type Ledger struct {
	records *shard.Map[port.LedgerKey, ledgerRecord]
	// Down refuses every call as not run.
	Down atomic.Bool
	// Settled counts the tickets that were settled.
	Settled atomic.Int64
}

var _ port.Ledger = (*Ledger)(nil)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: shard.New[port.LedgerKey, ledgerRecord](0)} }

// State returns the state of a key, or empty if a call may run.
func (l *Ledger) State(k port.LedgerKey) LedgerState {
	r, _ := l.records.Get(k)
	return r.state
}

// Begin implements port.Ledger.
func (l *Ledger) Begin(_ context.Context, k port.LedgerKey, content port.ContentDigest) (port.LedgerClaim, *port.StoredAnswer, error) {
	if l.Down.Load() {
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
		return &ledgerTicket{l: l, k: k, content: content}, nil, nil
	case old.state == LedgerDone && old.answer != nil && old.content != content:
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeKeyReused, "key of another call")
	case old.state == LedgerDone && old.answer != nil:
		return nil, old.answer, nil
	case old.state == LedgerDone:
		return nil, nil, verdict.New(verdict.Ran, verdict.CodeDuplicate, "answer not kept")
	case old.state == LedgerUnknown:
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.CodeDuplicate, "end of the call is not known")
	default:
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "call is in progress")
	}
}

type ledgerTicket struct {
	l       *Ledger
	k       port.LedgerKey
	content port.ContentDigest
	settled atomic.Bool
}

func (t *ledgerTicket) settle() {
	if t.settled.Swap(true) {
		panic("ledger ticket settled twice")
	}
	t.l.Settled.Add(1)
}

// Done implements port.LedgerClaim.
func (t *ledgerTicket) Done(a *port.StoredAnswer) {
	t.settle()
	t.l.records.Put(t.k, ledgerRecord{LedgerDone, a, t.content})
}

// Unknown implements port.LedgerClaim.
func (t *ledgerTicket) Unknown() {
	t.settle()
	t.l.records.Put(t.k, ledgerRecord{state: LedgerUnknown})
}

// NotRun implements port.LedgerClaim.
func (t *ledgerTicket) NotRun() {
	t.settle()
	t.l.records.Delete(t.k)
}
