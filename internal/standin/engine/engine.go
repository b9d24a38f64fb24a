// Package engine stands in for a model engine in tests and demos. The frames it
// generates depend only on the request body and the loaded weights, so that a
// test can tell which version produced an answer and whether all of its weights
// were loaded.
package engine

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/standin/fault"
)

// Options configure the engine.
type Options struct {
	// CheckFence makes the engine refuse orders with a fencing number lower than
	// the highest one seen.
	CheckFence bool
	// CheckIdentity makes the engine return its identity as the entity tag of
	// the status and refuse requests whose If-Match names another identity.
	CheckIdentity bool
	// MaxRequests is the number of concurrent requests that a warm engine can
	// run, ColdRequests that of a cold one. The limit of a cold engine grows by
	// one with each request it completes. Above its limit the engine fails: it
	// responds with 500 to every call until it is restarted.
	MaxRequests, ColdRequests int
	// TokenDelay is the time to generate one token.
	TokenDelay time.Duration
	// LoadPerMiB is the time to load one MiB of weights.
	LoadPerMiB time.Duration
	// MemoryBytes limits the total size of the loaded weights; 0 means no limit.
	MemoryBytes int64
}

// Faults are the failures that a test can set with POST /faults.
type Faults struct {
	// WrongVersion replaces the version in answers.
	WrongVersion string `json:"wrong_version"`
	// WrongID replaces the request id in answers.
	WrongID string `json:"wrong_id"`
	// CutAfter, if positive, closes the connection after that many frames.
	CutAfter int `json:"cut_after"`
	// CutOnce exempts resumed answers from CutAfter.
	CutOnce bool `json:"cut_once"`
}

// HistoryEntry is the record of one answer.
type HistoryEntry struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	// Complete is false for an answer that was canceled or ended early.
	Complete bool `json:"whole"`
}

// Order is the record of an order that the engine has accepted. BeganSeq and
// DoneSeq are sequence numbers of its start and completion among the events of
// all orders; DoneSeq is 0 for an order without an effect.
type Order struct {
	Kind     string `json:"kind"`
	Version  string `json:"version"`
	Fence    int64  `json:"fence"`
	BeganSeq int    `json:"began"`
	DoneSeq  int    `json:"done"`
}

// maxHistory bounds the number of recorded answers and of recorded orders.
const maxHistory = 100_000

type loadedModel struct {
	digest [sha256.Size]byte
	bytes  int64
}

// Server is the stand-in's HTTP handler.
type Server struct {
	opts Options

	// startedAt makes the boot id unique among processes.
	startedAt time.Time

	faults fault.Active[Faults]
	counts fault.Counts

	mu        sync.Mutex // guards the fields below
	bootCount int
	loadCount int64
	fence     int64
	loaded    map[string]loadedModel
	inFlight  int
	served    int
	failed    bool
	history   []HistoryEntry
	orders    []*Order
	eventSeq  int
}

// New returns an engine without weights.
func New(opts Options) *Server {
	if opts.MaxRequests <= 0 {
		opts.MaxRequests = 8
	}
	if opts.ColdRequests <= 0 {
		opts.ColdRequests = opts.MaxRequests
	}
	return &Server{opts: opts, startedAt: time.Now(), bootCount: 1, loaded: map[string]loadedModel{}}
}

// Handler returns the HTTP routes of the stand-in.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.instrument("status", s.status))
	mux.HandleFunc("POST /v1/load", s.instrument("load", s.load))
	mux.HandleFunc("POST /v1/unload", s.instrument("unload", s.unload))
	mux.HandleFunc("POST /v1/generate", s.instrument("generate", s.generate))
	mux.HandleFunc("POST /restart", s.restart)
	mux.HandleFunc("POST /cold", s.dropCaches)
	mux.Handle("POST /faults", &s.faults)
	mux.Handle("GET /counts", &s.counts)
	mux.HandleFunc("GET /history", s.getHistory)
	mux.HandleFunc("GET /orders", s.getOrders)
	return mux
}

func (s *Server) instrument(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counts.Add(kind)
		s.mu.Lock()
		failed := s.failed
		s.mu.Unlock()
		if failed {
			http.Error(w, "engine has failed", http.StatusInternalServerError)
			return
		}
		h(w, r)
	}
}

type status struct {
	BootID    string   `json:"boot_id"`
	Loaded    []string `json:"loaded"`
	Fence     int64    `json:"fence"`
	LoadCount int64    `json:"load_count"`
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	st := status{BootID: s.bootID(), Loaded: []string{}, Fence: s.fence, LoadCount: s.loadCount}
	for v := range s.loaded {
		st.Loaded = append(st.Loaded, v)
	}
	if s.opts.CheckIdentity {
		w.Header().Set("ETag", s.entityTag())
	}
	s.mu.Unlock()
	fault.WriteJSON(w, st)
}

// bootID returns the boot id of the current start of the engine. The caller
// holds the lock.
func (s *Server) bootID() string { return fmt.Sprintf("%x-%d", s.startedAt.UnixNano(), s.bootCount) }

// entityTag returns the identity, boot id and load count, as an entity tag. The
// caller holds the lock.
func (s *Server) entityTag() string {
	return fmt.Sprintf(`"%s/%d"`, s.bootID(), s.loadCount)
}

// restart simulates a restart of the engine, which loses its weights and clears
// its failure.
func (s *Server) restart(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootCount++
	s.loadCount, s.served, s.failed, s.fence = 0, 0, false, 0
	s.loaded = map[string]loadedModel{}
}

// dropCaches makes the engine cold without unloading its weights.
func (s *Server) dropCaches(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadCount++
	s.served = 0
}

func (s *Server) getHistory(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	h := append([]HistoryEntry{}, s.history...)
	s.mu.Unlock()
	fault.WriteJSON(w, h)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.WriteJSON(w, s.orders)
}
