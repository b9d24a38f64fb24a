package port

import (
	"context"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/ledger"
)

// LedgerKey identifies a call that must run at most once.
type LedgerKey struct {
	Service  fleet.Service
	Customer fleet.Customer
	// Key is the caller's idempotency key, a UUID of version 7.
	Key string
}

// ContentDigest is a digest of a call's name, content type and body. It detects
// an idempotency key that is reused for another call.
type ContentDigest [16]byte

// StoredAnswer is an answer that is stored for retries of a call.
type StoredAnswer struct {
	Head AnswerHead
	Body []byte
}

// LedgerClaim is the exclusive right to run a call once. Its holder calls exactly
// one of the methods, once, to record the outcome.
type LedgerClaim interface {
	// Done records that the call ran. The answer is nil if it is not stored.
	Done(answer *StoredAnswer)
	// Unknown records that the call may have run.
	Unknown()
	// NotRun records that the call certainly did not run, so that a retry with
	// the key may run.
	NotRun()
}

// LedgerCodec encodes the documents in which the ledger stores its records.
type LedgerCodec interface {
	// Encode returns the document with the records.
	Encode(records ledger.Records) ([]byte, error)
	// Decode returns the records of a document. If it fails, a call must not run, since the
	// document may hold a record of an earlier run.
	Decode(document []byte) (ledger.Records, error)
}

// Ledger ensures that calls that are not idempotent run at most once.
type Ledger interface {
	// Begin returns a claim if the caller may run the call now, or the stored
	// answer if the call ran before, or an error with a verdict. It never returns
	// an answer that was stored for another content digest.
	Begin(ctx context.Context, key LedgerKey, content ContentDigest) (LedgerClaim, *StoredAnswer, error)
}
