package quarantine

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"strings"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Subject is what evidence is about: a part of prompts, under its ID, or a whole request, under
// requestPrefix and a digest. IDs of parts are hexadecimal, so the two never coincide.
type Subject string

const (
	requestPrefix = "r-"
	// digestBytes is the part of the digest that is kept. An account that finds two requests
	// with the same digest has only its own requests refused.
	digestBytes = 16
	// maxPartBytes bounds the ID of a part, which becomes part of a key in the store.
	maxPartBytes = 64
)

// PartSubject returns the subject of a part of prompts.
func PartSubject(p fleet.PromptPart) Subject { return Subject(p) }

// IsPartID reports whether id is the ID of a part of a prompt: some hexadecimal digits.
func IsPartID(id string) bool {
	notHex := func(r rune) bool { return !strings.ContainsRune("0123456789abcdefABCDEF", r) }
	return id != "" && len(id) <= maxPartBytes && strings.IndexFunc(id, notHex) < 0
}

// Valid reports whether s is the subject of a part or of a whole request.
func (s Subject) Valid() bool { return s.IsRequest() || IsPartID(string(s)) }

// IsRequest reports whether the subject is a whole request.
func (s Subject) IsRequest() bool {
	digest, ok := strings.CutPrefix(string(s), requestPrefix)
	return ok && len(digest) == 2*digestBytes && IsPartID(digest)
}

// Content is what determines a response: what all attempts of a caller at one request share.
// Request IDs, time budgets, hints, the encoding of the transfer and the event after which a
// stream continues may differ between attempts and are left out, as are all other header fields.
type Content struct {
	// Account is empty for a request without an API key.
	Account fleet.Customer
	// Host is in lower case.
	Method, Host, URI string
	Model             fleet.Model
	// Prompt holds all parts of the prompt in order, also the last one.
	Prompt []fleet.PromptPart
	Body   []byte
}

// Subject returns the subject of the whole request.
func (c Content) Subject() Subject {
	h := sha256.New()
	for _, s := range []string{string(c.Account), c.Method, c.Host, c.URI, string(c.Model)} {
		writeField(h, []byte(s))
	}
	writeField(h, c.Body)
	for _, p := range c.Prompt {
		writeField(h, []byte(p))
	}
	return Subject(fmt.Sprintf("%s%x", requestPrefix, h.Sum(nil)[:digestBytes]))
}

// writeField writes a field behind its length, so that bytes can't move between two fields
// without a change of the digest.
func writeField(h hash.Hash, b []byte) {
	_, _ = fmt.Fprintf(h, "%d:", len(b))
	_, _ = h.Write(b)
}

// Request is a request as the table knows it.
type Request struct {
	// Account is the client account, or empty for a request without an API key.
	Account fleet.Customer
	// Parts are the parts of the prompt that other requests may have as well.
	Parts []fleet.PromptPart
	// Whole is the subject of the whole request.
	Whole Subject
	// Probing is set for a request that is the probe of its whole.
	Probing bool
}

// subjects returns the subjects of the request, the whole request last.
func (r Request) subjects() []Subject {
	out := make([]Subject, 0, len(r.Parts)+1)
	for _, p := range r.Parts {
		out = append(out, PartSubject(p))
	}
	return append(out, r.Whole)
}
