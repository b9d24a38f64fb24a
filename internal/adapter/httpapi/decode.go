package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// Headers of requests and responses.
const (
	headerCustomer       = "X-Masticwing-Customer"
	headerClass          = "X-Masticwing-Class"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerRequest        = "X-Masticwing-Request"
	headerVersion        = "X-Masticwing-Version"
	headerVerdict        = "X-Masticwing-Verdict"
	headerReplayed       = "X-Masticwing-Replayed"
)

const (
	// DefaultTimeout applies to requests without a timeout header.
	DefaultTimeout = 60 * time.Second
	// MaxTimeout is the maximum timeout that a caller may request.
	MaxTimeout = 10 * time.Minute
	// maxName limits the names of groups, services, calls and customers, in bytes.
	maxName = 128
	// maxContentType limits the content type that is forwarded, in bytes.
	maxContentType = 256
	// prefixBytes is the length of the prompt prefix that selects a target by
	// affinity. Shorter prompts have no affinity, since a prefix cache saves little
	// for them.
	prefixBytes = 256
	// maxAnswerTokens is the maximum of max_tokens. It is far above the context
	// length of any model served.
	maxAnswerTokens = 1 << 20
	// uuidLength is the length of a UUID in its text form with hyphens.
	uuidLength = 36
)

func badRequest(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, format, args...)
}

// decodeHeaders decodes the headers. It also validates the group, service and call,
// which the caller has set in r.
func decodeHeaders(h http.Header, r *port.ServeRequest) error {
	for _, n := range []string{string(r.Group), string(r.Service), r.Call} {
		if n != "" && !validName(n) {
			return badRequest("name in the path is not valid")
		}
	}
	r.Customer = fleet.Customer(h.Get(headerCustomer))
	if !validName(string(r.Customer)) {
		return badRequest("%s is missing or not valid", headerCustomer)
	}
	r.ContentType = h.Get("Content-Type")
	if len(r.ContentType) > maxContentType {
		return badRequest("Content-Type is longer than %d bytes", maxContentType)
	}
	if err := decodeClass(h, r); err != nil {
		return err
	}
	if err := decodeTimeout(h, r); err != nil {
		return err
	}
	return decodeKey(h, r)
}

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		c := s[i]
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_'
		if !ok {
			return false
		}
	}
	return true
}

// decodeClass sets the class. Without a class header it is summary for groups and
// status for services.
func decodeClass(h http.Header, r *port.ServeRequest) error {
	r.Class = fleet.ClassStatus
	if r.Group != "" {
		r.Class = fleet.ClassSummary
	}
	v := h.Get(headerClass)
	if v == "" {
		return nil
	}
	c, ok := fleet.ParseClass(v)
	if !ok {
		return badRequest("%s must be status, order, summary or draft", headerClass)
	}
	r.Class = c
	return nil
}

func decodeTimeout(h http.Header, r *port.ServeRequest) error {
	r.Timeout = DefaultTimeout
	v := h.Get(headerTimeout)
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 || ms > MaxTimeout.Milliseconds() {
		return badRequest("%s must be a whole number from 1 to %d", headerTimeout, MaxTimeout.Milliseconds())
	}
	r.Timeout = time.Duration(ms) * time.Millisecond
	return nil
}

// decodeKey accepts a UUID of version 7 and stores it in lower case, so that two
// spellings of a key identify the same call.
func decodeKey(h http.Header, r *port.ServeRequest) error {
	v := h.Get(headerIdempotencyKey)
	if v == "" {
		return nil
	}
	u, err := uuid.Parse(v)
	if err != nil || len(v) != uuidLength || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return badRequest("%s must be a UUID of version 7", headerIdempotencyKey)
	}
	r.IdempotencyKey = u.String()
	return nil
}

// decodeBody validates the body of a generate request and computes the hash of the
// prompt's prefix. The hash includes the customer, so that no customer can learn
// from the latency whether another sent the same prompt.
func decodeBody(r *port.ServeRequest) error {
	if r.Group == "" {
		return nil
	}
	var in struct {
		Prompt    json.RawMessage `json:"prompt"`
		MaxTokens json.RawMessage `json:"max_tokens"`
	}
	if err := json.Unmarshal(r.Body, &in); err != nil || bytes.TrimLeft(r.Body, " \t\r\n")[0] != '{' {
		return badRequest("body is not a JSON object")
	}
	if in.MaxTokens != nil {
		n, err := strconv.Atoi(string(in.MaxTokens))
		if err != nil || n < 1 || n > maxAnswerTokens {
			return badRequest("max_tokens must be a whole number from 1 to %d", maxAnswerTokens)
		}
	}
	if len(in.Prompt) >= prefixBytes {
		r.PrefixHash = routing.Hash(string(r.Customer), string(in.Prompt[:prefixBytes]))
	}
	return nil
}
