// Package origin is a stand-in for the origin of weights. It generates versions
// from seeds, limits its total send rate, and counts the bytes it sends.
package origin

import (
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/standin/fault"
)

const (
	requesterHeader = "X-Masticwing-VM"
	// writeBytes is the most that is written between two waits for the link's
	// rate.
	writeBytes = 16 << 10
)

// Version describes a version of a model, whose weights are generated from Seed.
type Version struct {
	Model      fleet.Model
	Bytes      int
	ChunkBytes int
	Seed       uint64
}

// GenerateWeights returns the weights of the version: Bytes pseudorandom bytes.
func (v Version) GenerateWeights() []byte {
	out := make([]byte, v.Bytes)
	src := rand.New(rand.NewPCG(v.Seed, uint64(v.Bytes)))
	for i := 0; i < len(out); i += 8 {
		x := src.Uint64()
		for j := range min(8, len(out)-i) {
			out[i+j] = byte(x >> (8 * j))
		}
	}
	return out
}

// Manifest generates the weights and returns their manifest.
func (v Version) Manifest() manifest.Manifest {
	return manifest.Split(v.Model, v.GenerateWeights(), v.ChunkBytes)
}

// Faults are the failures that a test can set with POST /faults.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// Hang sends no response to any call until the caller closes the connection.
	Hang bool `json:"hang"`
	// DelayMillis delays every response.
	DelayMillis int `json:"delay_ms"`
	// Corrupt is the probability that a chunk is sent with a wrong byte.
	Corrupt float64 `json:"corrupt"`
	// Rate, if positive, replaces the rate of the link, in bytes per second.
	Rate int64 `json:"rate"`
}

// Counts is the response to GET /counts. Calls and Bytes are keyed by the kind
// of call, "manifest" or "chunk"; ByRequester has the bytes per VM and kind.
type Counts struct {
	Calls       map[string]int64            `json:"calls"`
	Bytes       map[string]int64            `json:"bytes"`
	ByRequester map[string]map[string]int64 `json:"bytes_by_requester"`
}

type storedVersion struct {
	man        manifest.Manifest
	weights    []byte
	chunkBytes int
}

// Server is the stand-in's HTTP handler.
type Server struct {
	link   link
	faults fault.Active[Faults]

	mu       sync.Mutex // guards the fields below
	versions map[fleet.Version]storedVersion
	counts   Counts
}

// New returns a server that offers the versions. rate limits the link in bytes
// per second; 0 means no limit.
func New(rate int64, versions ...Version) *Server {
	s := &Server{versions: map[fleet.Version]storedVersion{}, link: link{rate: rate}}
	s.counts = Counts{Calls: map[string]int64{}, Bytes: map[string]int64{}, ByRequester: map[string]map[string]int64{}}
	for _, v := range versions {
		s.AddVersion(v)
	}
	return s
}

// AddVersion makes the server offer a version and returns its digest. Adding a
// version again has no effect.
func (s *Server) AddVersion(v Version) fleet.Version {
	w := v.GenerateWeights()
	m := manifest.Split(v.Model, w, v.ChunkBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[m.Version()] = storedVersion{m, w, v.ChunkBytes}
	return m.Version()
}

func (s *Server) version(v string) (storedVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.versions[fleet.Version(v)]
	return h, ok
}

// Handler returns the HTTP routes of the stand-in.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/versions/{version}/manifest", s.instrument("manifest", s.manifest))
	mux.HandleFunc("GET /v1/versions/{version}/chunks/{n}", s.instrument("chunk", s.chunk))
	mux.HandleFunc("GET /versions", s.listVersions)
	mux.HandleFunc("POST /versions", s.postVersion)
	mux.HandleFunc("GET /counts", s.getCounts)
	mux.Handle("POST /faults", &s.faults)
	return mux
}

// instrument wraps a handler: it counts the calls by kind and applies the faults.
func (s *Server) instrument(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.counts.Calls[kind]++
		s.mu.Unlock()
		f := s.faults.Get()
		if (fault.CallFaults{Down: f.Down, Hang: f.Hang, DelayMillis: f.DelayMillis}).Apply(w, r) {
			h(w, r)
		}
	}
}

func (s *Server) manifest(w http.ResponseWriter, r *http.Request) {
	v, ok := s.version(r.PathValue("version"))
	if !ok {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	type chunk struct {
		Digest string `json:"digest"`
		Bytes  int64  `json:"bytes"`
	}
	body := struct {
		Model  string  `json:"model"`
		Chunks []chunk `json:"chunks"`
	}{Model: string(v.man.Model)}
	for _, c := range v.man.Chunks {
		body.Chunks = append(body.Chunks, chunk{hex.EncodeToString(c.Digest[:]), c.Bytes})
	}
	b, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.write(w, r, "manifest", b)
}

func (s *Server) chunk(w http.ResponseWriter, r *http.Request) {
	v, ok := s.version(r.PathValue("version"))
	n, err := strconv.Atoi(r.PathValue("n"))
	if !ok || err != nil || n < 0 || n >= len(v.man.Chunks) {
		http.Error(w, "no such chunk", http.StatusNotFound)
		return
	}
	data := v.weights[n*v.chunkBytes : min(len(v.weights), (n+1)*v.chunkBytes)]
	if p := s.faults.Get().Corrupt; p > 0 && rand.Float64() < p {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	s.write(w, r, "chunk", data)
}

// write sends b at the rate of the link and counts the bytes sent.
func (s *Server) write(w http.ResponseWriter, r *http.Request, kind string, b []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	for len(b) > 0 {
		n := min(len(b), writeBytes)
		if !s.link.wait(r.Context(), n, s.faults.Get().Rate) {
			return
		}
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		s.count(kind, r.Header.Get(requesterHeader), n)
		b = b[n:]
	}
}

func (s *Server) count(kind, requester string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Bytes[kind] += int64(n)
	byKind := s.counts.ByRequester[requester]
	if byKind == nil {
		byKind = map[string]int64{}
		s.counts.ByRequester[requester] = byKind
	}
	byKind[kind] += int64(n)
}

// TotalBytes returns the number of bytes sent so far, manifests and chunks.
func (s *Server) TotalBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Bytes["manifest"] + s.counts.Bytes["chunk"]
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.WriteJSON(w, s.counts)
}

// postVersion adds the version that the request body
// {"model","size","chunk","seed"} describes and responds with {"version"}.
func (s *Server) postVersion(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Model, Size, Chunk string
		Seed               uint64
	}
	err := json.NewDecoder(r.Body).Decode(&in)
	size, sizeErr := ParseBytes(in.Size)
	chunk, chunkErr := ParseBytes(in.Chunk)
	if err != nil || sizeErr != nil || chunkErr != nil || chunk <= 0 {
		http.Error(w, "model, size, chunk and seed are needed", http.StatusBadRequest)
		return
	}
	v := s.AddVersion(Version{Model: fleet.Model(in.Model), Bytes: int(size), ChunkBytes: int(chunk), Seed: in.Seed})
	fault.WriteJSON(w, map[string]fleet.Version{"version": v})
}

func (s *Server) listVersions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for id, v := range s.versions {
		out[string(id)] = string(v.man.Model)
	}
	fault.WriteJSON(w, out)
}
