package ledger

import (
	"maps"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

// MaxRecords bounds the records of a document, so that its encoding stays
// below the platform's limit of 1 MB at about 42 bytes a record.
const MaxRecords = 20000

// Attempt identifies one attempt of one process to run a call.
type Attempt [16]byte

// NewAttempt returns an attempt made of two random numbers.
func NewAttempt(a, b uint64) Attempt {
	var id Attempt
	for i := range 8 {
		id[i], id[8+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}
	return id
}

// State is what a record says of its attempt.
type State uint8

// The states of a record.
const (
	// Started means that the attempt may run or has run.
	Started State = iota + 1
	// Done means that the attempt ran. It is final.
	Done
	// Aborted means that the attempt did not run and never will.
	Aborted
)

// Record is the entry of one key.
type Record struct {
	Attempt Attempt
	State   State
}

// Records are the records of a document by key.
type Records map[KeyHash]Record

// Merge returns the records to work with after fetched was read while known
// was held: the fetched record of a key wins, but a record is never forgotten
// and an attempt that is done stays done.
func Merge(known, fetched Records) Records {
	out := make(Records, max(len(known), len(fetched)))
	maps.Copy(out, known)
	for k, f := range fetched {
		if o, ok := out[k]; ok && o.Attempt == f.Attempt && o.State == Done {
			continue
		}
		out[k] = f
	}
	return out
}

// Decision is what becomes of a call.
type Decision uint8

// The decisions.
const (
	// Queued means that the decision is still open.
	Queued Decision = iota
	// Run lets the call run now.
	Run
	// InProgress means that another attempt of this process holds the key.
	InProgress
	// MayHaveRun means that another attempt is recorded as started.
	MayHaveRun
	// AlreadyRan means that another attempt is recorded as done.
	AlreadyRan
	// Unavailable means that the platform could not record the attempt.
	Unavailable
	// Expired means that the key left the window while its record was written.
	Expired
	// Full means that the document takes no more records.
	Full
)

// retryAfter is what callers are told while a record is open or the platform
// cannot be reached.
const retryAfter = time.Second

// Err returns what the caller is told, or nil for Run and Queued.
func (d Decision) Err() *verdict.Error {
	switch d {
	case Queued, Run:
		return nil
	case InProgress:
		return verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "a call with this key is in progress").WithRetryAfter(retryAfter)
	case MayHaveRun:
		return verdict.New(verdict.MayHaveRun, verdict.CodeDuplicate, "a call with this key was started and its end is not recorded")
	case AlreadyRan:
		return verdict.New(verdict.Ran, verdict.CodeDuplicate, "a call with this key ran; answer not kept")
	case Expired:
		return verdict.New(verdict.MayHaveRun, verdict.CodeKeyExpired, "the idempotency key left its window")
	case Full:
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many calls with keys of the same minute")
	default:
		return verdict.New(verdict.NotRun, verdict.CodeLedgerUnavailable, "the call could not be recorded").WithRetryAfter(retryAfter)
	}
}
