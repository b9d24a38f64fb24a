// Package engine stands in for a model engine in tests and demos. Its answers
// are a function of the request body and of the loaded weights, so that a test
// can tell which version produced an answer and that all of it was loaded.
package engine

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/standin/fault"
)

// Options are the properties of the engine.
type Options struct {
	// CheckFence refuses orders with a fencing number lower than the highest
	// one seen.
	CheckFence bool
	// CheckIdentity states the identity as the entity tag of the status and
	// refuses requests that name another one as their precondition.
	CheckIdentity bool
	// MaxRequests is the load that a warm engine bears; ColdRequests is that of
	// a cold one. Each request that a cold engine finishes lets it bear one
	// more. Over its limit it answers 500 to everything until it is restarted.
	MaxRequests, ColdRequests int
	// TokenDelay is the time for one token.
	TokenDelay time.Duration
	// LoadPerMiB is the time to load one MiB of weights.
	LoadPerMiB time.Duration
	// MemoryBytes bounds the weights that are loaded at one time; 0 is no bound.
	MemoryBytes int64
}

// Faults are the failures that a test can switch on with POST /faults.
type Faults struct {
	// WrongVersion is named in answers instead of the version that produced them.
	WrongVersion string `json:"wrong_version"`
	// WrongID is named in answers instead of the request's id.
	WrongID string `json:"wrong_id"`
	// CutAfter ends the connection after that many frames, if positive.
	CutAfter int `json:"cut_after"`
	// CutOnce leaves resumed answers alone.
	CutOnce bool `json:"cut_once"`
}

// HistoryEntry is one line of the history.
type HistoryEntry struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	// Complete is false for an answer that was cut or canceled.
	Complete bool `json:"whole"`
}

// Order is one order that the engine has taken. Began and Done number these
// events of all orders; Done is 0 for an order without an effect.
type Order struct {
	Kind     string `json:"kind"`
	Version  string `json:"version"`
	Fence    int64  `json:"fence"`
	BeganSeq int    `json:"began"`
	DoneSeq  int    `json:"done"`
}

// maxHistory bounds the record of answers, and that of orders.
const maxHistory = 100_000

type loadedModel struct {
	digest [sha256.Size]byte
	bytes  int64
}

// Server is the stand-in's HTTP handler.
type Server struct {
	opts Options

	// startedAt tells the boot identities of two processes apart.
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
func New(o Options) *Server {
	if o.MaxRequests <= 0 {
		o.MaxRequests = 8
	}
	if o.ColdRequests <= 0 {
		o.ColdRequests = o.MaxRequests
	}
	return &Server{opts: o, startedAt: time.Now(), bootCount: 1, loaded: map[string]loadedModel{}}
}

// Handler returns the routes of the stand-in.
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

// bootID is called under the lock.
func (s *Server) bootID() string { return fmt.Sprintf("%x-%d", s.startedAt.UnixNano(), s.bootCount) }

// entityTag is the entity entityTag of the identity. It is called under the lock.
func (s *Server) entityTag() string {
	return fmt.Sprintf(`"%s/%d"`, s.bootID(), s.loadCount)
}

// restart is a new process of the engine: no weights, no failure.
func (s *Server) restart(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootCount++
	s.loadCount, s.served, s.failed, s.fence = 0, 0, false, 0
	s.loaded = map[string]loadedModel{}
}

// dropCaches drops the caches and keeps the weights.
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
