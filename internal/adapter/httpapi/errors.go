package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// statusClientClosed is the conventional status for a request that the client has
// canceled. The client does not receive it.
const statusClientClosed = 499

// statuses maps codes to HTTP statuses. Codes that are not listed become 500.
var statuses = map[verdict.Code]int{
	verdict.CodeBadRequest:         http.StatusBadRequest,
	verdict.CodeTooLarge:           http.StatusRequestEntityTooLarge,
	verdict.CodeUnknownCustomer:    http.StatusForbidden,
	verdict.CodeUnknownGroup:       http.StatusNotFound,
	verdict.CodeUnknownService:     http.StatusNotFound,
	verdict.CodeKeyRequired:        http.StatusBadRequest,
	verdict.CodeKeyExpired:         http.StatusConflict,
	verdict.CodeKeyReused:          http.StatusUnprocessableEntity,
	verdict.CodeNoConfiguration:    http.StatusServiceUnavailable,
	verdict.CodeCustomerLimit:      http.StatusTooManyRequests,
	verdict.CodeOverloaded:         http.StatusServiceUnavailable,
	verdict.CodeNoTarget:           http.StatusServiceUnavailable,
	verdict.CodeTargetFull:         http.StatusServiceUnavailable,
	verdict.CodeTargetWarming:      http.StatusServiceUnavailable,
	verdict.CodeTargetCordoned:     http.StatusServiceUnavailable,
	verdict.CodeTargetLeaving:      http.StatusServiceUnavailable,
	verdict.CodeVersionNotServing:  http.StatusServiceUnavailable,
	verdict.CodeLedgerUnavailable:  http.StatusServiceUnavailable,
	verdict.CodeDuplicate:          http.StatusConflict,
	verdict.CodeInProgress:         http.StatusConflict,
	verdict.CodeDeadline:           http.StatusGatewayTimeout,
	verdict.CodeCanceled:           statusClientClosed,
	verdict.CodeTargetLost:         http.StatusBadGateway,
	verdict.CodeBrokenAnswer:       http.StatusBadGateway,
	verdict.CodeVersionMismatch:    http.StatusBadGateway,
	verdict.CodeSlowCaller:         http.StatusServiceUnavailable,
	verdict.CodeTargetError:        http.StatusBadGateway,
	verdict.CodeInterrupted:        http.StatusBadGateway,
	verdict.CodeShuttingDown:       http.StatusServiceUnavailable,
	verdict.CodeStaleConfiguration: http.StatusServiceUnavailable,
	verdict.CodeQuarantined:        http.StatusServiceUnavailable,
}

// Status returns the HTTP status of a code.
func Status(c verdict.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         verdict.Code    `json:"code"`
	Message      string          `json:"message"`
	Verdict      string          `json:"verdict"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	RequestID    fleet.RequestID `json:"request_id"`
}

// errorJSON encodes an error without its cause. The result ends with a newline, so
// that it can also be a line of a stream.
func errorJSON(e *verdict.Error, id fleet.RequestID) []byte {
	b, err := json.Marshal(errorBody{errorDetail{
		Code: e.Code, Message: e.Message, Verdict: e.Verdict.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(), RequestID: id,
	}})
	if err != nil {
		return []byte("{\"error\":{\"code\":\"internal\",\"verdict\":\"may-have-run\"}}\n")
	}
	return append(b, '\n')
}

// shuttingDownError returns the error of a request that arrives after the start of
// the drain.
func shuttingDownError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "entry is shutting down").WithRetryAfter(time.Second)
}

// errorHeaders sets the headers of a response whose body is errorJSON.
func errorHeaders(h http.Header, e *verdict.Error, id fleet.RequestID) {
	h.Set("Content-Type", "application/json")
	h.Set(headerRequest, string(id))
	h.Set(headerVerdict, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(e.RetryAfter)/float64(time.Second)))))
	}
}

func writeError(w http.ResponseWriter, e *verdict.Error, id fleet.RequestID) {
	w.Header().Del("Trailer")
	errorHeaders(w.Header(), e, id)
	w.WriteHeader(Status(e.Code))
	_, _ = w.Write(errorJSON(e, id))
}
