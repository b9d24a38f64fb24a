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

// FrameText returns the text of frame seq in the answer of an engine with these
// weights to a request body.
func FrameText(weights, body []byte, seq int) string {
	return frameText(sha256.Sum256(weights), body, seq)
}

// FrameTextFromDigest is FrameText for the SHA-256 digest of the weights, so that
// a test that checks many frames hashes the weights only once.
func FrameTextFromDigest(digest [sha256.Size]byte, body []byte, seq int) string {
	return frameText(digest, body, seq)
}

func frameText(digest [sha256.Size]byte, body []byte, seq int) string {
	h := sha256.New()
	h.Write(digest[:])
	h.Write(body)
	fmt.Fprintf(h, "/%d", seq)
	return fmt.Sprintf("%x", h.Sum(nil)[:8])
}

// FrameCount returns the number of frames in the answer to a request body: its
// max_tokens if it is a JSON object with a positive one, otherwise 8.
func FrameCount(body []byte) int {
	var req struct {
		MaxTokens int `json:"max_tokens"`
	}
	if json.Unmarshal(body, &req) != nil || req.MaxTokens <= 0 {
		return defaultTokens
	}
	return req.MaxTokens
}

// startRequest admits a request and updates the counts. It returns the loaded
// weights and a status code, which is 200 for an admitted request. expect is the
// engine identity that the request requires, or empty.
func (s *Server) startRequest(w http.ResponseWriter, version, expect string) (loadedModel, int) {
	m, inFlight, code := s.admit(w, version, expect)
	switch code {
	case http.StatusPreconditionFailed:
		s.counts.Add("changed")
	case http.StatusInternalServerError:
		s.counts.Add("overload")
	case http.StatusOK:
		s.counts.RaiseTo("max_in_flight", int64(inFlight))
	}
	return m, code
}

func (s *Server) admit(w http.ResponseWriter, version, expect string) (m loadedModel, inFlight, code int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.CheckIdentity && expect != "" && expect != s.entityTag() {
		w.Header().Set("ETag", s.entityTag())
		return loadedModel{}, s.inFlight, http.StatusPreconditionFailed
	}
	m, ok := s.loaded[version]
	if !ok {
		return m, s.inFlight, http.StatusConflict
	}
	if s.inFlight >= min(s.opts.MaxRequests, s.opts.ColdRequests+s.served) {
		s.failed = true
		return m, s.inFlight, http.StatusInternalServerError
	}
	s.inFlight++
	return m, s.inFlight, http.StatusOK
}

func (s *Server) finishRequest(entry HistoryEntry) {
	if !entry.Complete {
		s.counts.Add("canceled")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if entry.Complete {
		s.served++
	}
	if len(s.history) < maxHistory {
		s.history = append(s.history, entry)
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	entry := HistoryEntry{RequestID: r.Header.Get("X-Request-Id"), Version: r.Header.Get("X-Model-Version")}
	m, code := s.startRequest(w, entry.Version, r.Header.Get("If-Match"))
	if code != http.StatusOK {
		http.Error(w, "engine has changed, has failed, or has not loaded the version", code)
		return
	}
	finished := false
	defer func() {
		if !finished {
			s.finishRequest(entry)
		}
	}()
	resume, _ := strconv.Atoi(r.Header.Get("X-Resume-Frames"))
	if entry.Complete = s.stream(w, r, entry, m, body, resume); !entry.Complete {
		return
	}
	// The engine frees the slot of the request before it sends the end of the
	// answer. Otherwise the caller's next request could exceed the limit.
	s.finishRequest(entry)
	finished = true
	var end endLine
	end.End.Frames = FrameCount(body)
	_ = json.NewEncoder(w).Encode(end)
}

// stream writes the head and the frames of an answer and reports whether all
// of them were written.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, entry HistoryEntry, m loadedModel, body []byte, resume int) bool {
	f := s.faults.Get()
	id, version := entry.RequestID, entry.Version
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
	n := FrameCount(body)
	for i := resume; i < n; i++ {
		if !s.waitToken(r) {
			return false
		}
		if f.CutAfter > 0 && i >= f.CutAfter && (resume == 0 || !f.CutOnce) {
			panic(http.ErrAbortHandler)
		}
		if out.Encode(Frame{id, version, i, frameText(m.digest, body, i)}) != nil || flush.Flush() != nil {
			return false
		}
	}
	return true
}

// waitToken waits for the time of one token. It returns false if the caller has
// disconnected or the engine has failed.
func (s *Server) waitToken(r *http.Request) bool {
	if s.opts.TokenDelay > 0 {
		fault.Sleep(r.Context(), s.opts.TokenDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Context().Err() == nil && !s.failed
}
