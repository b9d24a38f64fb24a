package ledger

import (
	"maps"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

// MaxRecords bounds the records of a document. With about 42 bytes a record,
// the encoded document stays below the platform's limit of 1 MB.
const MaxRecords = 20000

// Attempt identifies one attempt by one process to run a call.
type Attempt [16]byte

// NewAttempt builds an attempt's identifier from two random numbers.
func NewAttempt(a, b uint64) Attempt {
	var id Attempt
	for i := range 8 {
		id[i], id[8+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}
	return id
}

// State is the recorded state of an attempt.
type State uint8

const (
	// Started means that the attempt may run or has run.
	Started State = iota + 1
	// Done means that the attempt ran. It is a final state.
	Done
	// Aborted means that the attempt did not run and never will.
	Aborted
)

// Record is the ledger's state of one key.
type Record struct {
	Attempt Attempt
	State   State
}

// Records holds the records of a document by key.
type Records map[KeyHash]Record

// Merge combines the known records with those of a later read. For each key the
// fetched record wins, except that no record is lost and an attempt that is
// known to be done stays done.
func Merge(known, fetched Records) Records {
	out := make(Records, max(len(known), len(fetched)))
	maps.Copy(out, known)
	for k, f := range fetched {
		if prev, ok := out[k]; ok && prev.Attempt == f.Attempt && prev.State == Done {
			continue
		}
		out[k] = f
	}
	return out
}

// Decision says whether a call may run, and if not, why.
type Decision uint8

const (
	// Queued means that no decision is made yet.
	Queued Decision = iota
	// Run means that the call may run now.
	Run
	// InProgress means that another attempt of this process is using the key.
	InProgress
	// MayHaveRun means that another attempt is recorded as started.
	MayHaveRun
	// AlreadyRan means that another attempt is recorded as done.
	AlreadyRan
	// Unavailable means that the platform could not record the attempt.
	Unavailable
	// Expired means that the key became older than the window while its record
	// was being written.
	Expired
	// Full means that the document has no room for another record.
	Full
)

// retryAfter is the retry delay sent to callers while a call with the same key
// is in progress or the platform cannot be reached.
const retryAfter = time.Second

// Err returns the error for the caller, or nil for Run and Queued.
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
