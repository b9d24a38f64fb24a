package engine

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/masticwing/masticwing/internal/standin/fault"
)

const (
	maxBodyBytes  = 8 << 20
	defaultTokens = 8
)

// Frame is one line of a generated answer.
type Frame struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	Seq       int    `json:"seq"`
	Text      string `json:"text"`
}

type headLine struct {
	Head struct {
		RequestID string `json:"request_id"`
		Version   string `json:"version"`
	} `json:"head"`
}

type endLine struct {
	End struct {
		Frames int `json:"frames"`
	} `json:"end"`
}

// Token returns the text of frame seq of the answer that the given weights
// produce for a request body.
func Token(weights, body []byte, seq int) string { return token(sha256.Sum256(weights), body, seq) }

// DigestToken is Token for weights of which the SHA-256 digest is known, so that
// a test that checks many frames hashes the weights once.
func DigestToken(digest [sha256.Size]byte, body []byte, seq int) string {
	return token(digest, body, seq)
}

func token(digest [sha256.Size]byte, body []byte, seq int) string {
	h := sha256.New()
	h.Write(digest[:])
	h.Write(body)
	fmt.Fprintf(h, "/%d", seq)
	return fmt.Sprintf("%x", h.Sum(nil)[:8])
}

// Tokens returns the number of frames of the answer to body: its max_tokens
// if it is a JSON object with one, otherwise 8.
func Tokens(body []byte) int {
	var req struct {
		MaxTokens int `json:"max_tokens"`
	}
	if json.Unmarshal(body, &req) != nil || req.MaxTokens <= 0 {
		return defaultTokens
	}
	return req.MaxTokens
}

// enter counts a request in, or makes the engine fail over its limit. expect is
// the identity that the request names, or empty.
func (s *Server) enter(w http.ResponseWriter, version, expect string) (model, int) {
	m, inFlight, code := s.take(w, version, expect)
	switch code {
	case http.StatusPreconditionFailed:
		s.counts.Add("changed")
	case http.StatusInternalServerError:
		s.counts.Add("overload")
	case http.StatusOK:
		s.counts.Max("max_in_flight", int64(inFlight))
	}
	return m, code
}

func (s *Server) take(w http.ResponseWriter, version, expect string) (m model, inFlight, code int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.o.CheckIdentity && expect != "" && expect != s.tag() {
		w.Header().Set("ETag", s.tag())
		return model{}, s.inFlight, http.StatusPreconditionFailed
	}
	m, ok := s.loaded[version]
	if !ok {
		return m, s.inFlight, http.StatusConflict
	}
	if s.inFlight >= min(s.o.MaxRequests, s.o.ColdRequests+s.served) {
		s.failed = true
		return m, s.inFlight, http.StatusInternalServerError
	}
	s.inFlight++
	return m, s.inFlight, http.StatusOK
}

func (s *Server) leave(a Answered) {
	if !a.Whole {
		s.counts.Add("canceled")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if a.Whole {
		s.served++
	}
	if len(s.history) < maxHistory {
		s.history = append(s.history, a)
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	a := Answered{RequestID: r.Header.Get("X-Request-Id"), Version: r.Header.Get("X-Model-Version")}
	m, code := s.enter(w, a.Version, r.Header.Get("If-Match"))
	if code != http.StatusOK {
		http.Error(w, "engine has changed, has failed, or has not loaded the version", code)
		return
	}
	left := false
	defer func() {
		if !left {
			s.leave(a)
		}
	}()
	resume, _ := strconv.Atoi(r.Header.Get("X-Resume-Frames"))
	if a.Whole = s.stream(w, r, a, m, body, resume); !a.Whole {
		return
	}
	// An engine frees what a request holds before it says that the answer has
	// ended. Were the request still counted then, its caller's next one could
	// count as one too many.
	s.leave(a)
	left = true
	var end endLine
	end.End.Frames = Tokens(body)
	_ = json.NewEncoder(w).Encode(end)
}

// stream writes the head and the frames of an answer and reports whether all
// of them were written.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, a Answered, m model, body []byte, resume int) bool {
	f := s.faults.Get()
	id, version := a.RequestID, a.Version
	if f.WrongID != "" {
		id = f.WrongID
	}
	if f.WrongVersion != "" {
		version = f.WrongVersion
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	var head headLine
	head.Head.RequestID, head.Head.Version = id, version
	_ = out.Encode(head)
	n := Tokens(body)
	for i := resume; i < n; i++ {
		if !s.pause(r) {
			return false
		}
		if f.CutAfter > 0 && i >= f.CutAfter && (resume == 0 || !f.CutOnce) {
			panic(http.ErrAbortHandler)
		}
		if out.Encode(Frame{id, version, i, token(m.digest, body, i)}) != nil || flush.Flush() != nil {
			return false
		}
	}
	return true
}

// pause waits for one token. It reports false once the caller has gone or the
// engine has failed.
func (s *Server) pause(r *http.Request) bool {
	if s.o.TokenDelay > 0 {
		fault.Wait(r.Context(), s.o.TokenDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Context().Err() == nil && !s.failed
}
