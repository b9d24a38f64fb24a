package port

import (
	"context"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// LedgerKey identifies a call that may run at most once.
type LedgerKey struct {
	Service  fleet.Service
	Customer fleet.Customer
	// Key is the caller's idempotency key, a UUID of version 7.
	Key string
}

// ContentDigest identifies what a call asks for: a digest of its name, content type
// and body. A key stands for one content.
type ContentDigest [16]byte

// StoredAnswer is an answer kept for repeats of a call.
type StoredAnswer struct {
	Head AnswerHead
	Body []byte
}

// LedgerClaim allows one run of a call. Exactly one of its methods is called.
type LedgerClaim interface {
	// Done records that the call ran. The answer may be nil if it is not kept.
	Done(a *StoredAnswer)
	// Unknown records that the call may have run.
	Unknown()
	// NotRun records that the call certainly did not run, so that a repeat of
	// the key may run.
	NotRun()
}

// Ledger lets calls that are not idempotent run at most once.
type Ledger interface {
	// Begin returns a ticket if the caller may run the call now, or the stored
	// answer if the call ran before, or an error with a verdict. The stored answer
	// of another content is never returned.
	Begin(ctx context.Context, k LedgerKey, content ContentDigest) (LedgerClaim, *StoredAnswer, error)
}
