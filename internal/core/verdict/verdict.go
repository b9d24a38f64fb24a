// Package verdict defines the error type returned to callers. Each error says
// whether the request that it answers may have run.
package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict says whether a request ran at its target.
type Verdict uint8

// The verdicts. The zero value makes no claim about the request.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the form used in HTTP headers and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict written as s. Unknown text yields MayHaveRun, which
// makes no claim about the request.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Code is a stable, machine-readable error code.
type Code string

// Codes of errors that callers can see. docs/http.md lists the HTTP status of
// each.
const (
	CodeBadRequest         Code = "bad_request"
	CodeTooLarge           Code = "too_large"
	CodeUnknownCustomer    Code = "unknown_customer"
	CodeUnknownGroup       Code = "unknown_group"
	CodeUnknownService     Code = "unknown_service"
	CodeKeyRequired        Code = "idempotency_key_required"
	CodeKeyExpired         Code = "idempotency_key_expired"
	CodeKeyReused          Code = "idempotency_key_reused"
	CodeNoConfiguration    Code = "no_configuration"
	CodeCustomerLimit      Code = "customer_limit"
	CodeOverloaded         Code = "overloaded"
	CodeQuarantined        Code = "quarantined"
	CodeNoTarget           Code = "no_target"
	CodeTargetFull         Code = "target_full"
	CodeTargetWarming      Code = "target_warming"
	CodeTargetCordoned     Code = "target_cordoned"
	CodeTargetLeaving      Code = "target_leaving"
	CodeVersionNotServing  Code = "version_not_serving"
	CodeLedgerUnavailable  Code = "ledger_unavailable"
	CodeDuplicate          Code = "duplicate"
	CodeInProgress         Code = "in_progress"
	CodeDeadline           Code = "deadline_exceeded"
	CodeCanceled           Code = "canceled"
	CodeTargetLost         Code = "target_lost"
	CodeBrokenAnswer       Code = "broken_answer"
	CodeVersionMismatch    Code = "version_mismatch"
	CodeSlowCaller         Code = "slow_caller"
	CodeTargetError        Code = "target_error"
	CodeShuttingDown       Code = "shutting_down"
	CodeInterrupted        Code = "interrupted"
	CodeInternal           Code = "internal"
	CodeStaleConfiguration Code = "configuration_stale"
)

// Error is an error with a verdict and a code.
type Error struct {
	Verdict    Verdict
	Code       Code
	Message    string
	RetryAfter time.Duration
	cause      error
}

// New returns an error without a cause.
func New(v Verdict, c Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: c, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a cause that errors.Is and errors.As can find.
func Wrap(cause error, v Verdict, c Code, format string, args ...any) *Error {
	e := New(v, c, format, args...)
	e.cause = cause
	return e
}

// WithRetryAfter returns a copy of e that tells the caller how long to wait
// before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithVerdict returns a copy of e with the given verdict.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = v
	return &c
}

// AfterStart returns e as the error of a request that a target has accepted, which
// no later error can show as not run: NotRun becomes MayHaveRun.
func (e *Error) AfterStart() *Error {
	if e.Verdict != NotRun {
		return e
	}
	return e.WithVerdict(MayHaveRun)
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Verdict, e.Message, e.cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// FromError returns the first *Error in the chain of err. Any other error
// becomes CodeInternal with MayHaveRun, since nothing is known about the
// request.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, CodeInternal, "internal error")
}
