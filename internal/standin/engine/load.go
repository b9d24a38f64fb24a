package engine

import (
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"time"
)

const mib = 1 << 20

// beginOrder checks the fencing number of an order and records the order. It
// returns false after it has written an error response.
func (s *Server) beginOrder(w http.ResponseWriter, r *http.Request) (*Order, bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get("fence"), 10, 64)
	if err != nil {
		http.Error(w, "bad fencing number", http.StatusBadRequest)
		return nil, false
	}
	order, ok := s.recordOrder(r.URL.Path, r.URL.Query().Get("version"), n)
	if !ok {
		s.refuseStale(w)
	}
	return order, ok
}

// recordOrder records an order and its fencing number. It returns false if the
// engine refuses the number.
func (s *Server) recordOrder(kind, version string, fence int64) (*Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStale(fence) {
		return nil, false
	}
	s.fence = max(s.fence, fence)
	order := &Order{Kind: kind, Version: version, Fence: fence, BeganSeq: s.nextEventSeq()}
	if len(s.orders) < maxHistory {
		s.orders = append(s.orders, order)
	}
	return order, true
}

// isStale reports whether the engine checks fencing numbers and has seen a
// higher one. The caller holds the lock.
func (s *Server) isStale(fence int64) bool { return s.opts.CheckFence && fence < s.fence }

func (s *Server) refuseStale(w http.ResponseWriter) {
	s.counts.Add("stale_order")
	http.Error(w, "old fencing number", http.StatusPreconditionFailed)
}

// nextEventSeq returns the next sequence number for the events of orders. The
// caller holds the lock.
func (s *Server) nextEventSeq() int {
	s.eventSeq++
	return s.eventSeq
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	order, ok := s.beginOrder(w, r)
	if !ok {
		return
	}
	q := r.URL.Query()
	size, err := strconv.ParseInt(q.Get("bytes"), 10, 64)
	if err != nil || size <= 0 || q.Get("version") == "" {
		http.Error(w, "bad version or size", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	bootCount, used := s.bootCount, int64(0)
	for v, m := range s.loaded {
		if v != q.Get("version") {
			used += m.bytes
		}
	}
	s.mu.Unlock()
	if s.opts.MemoryBytes > 0 && used+size > s.opts.MemoryBytes {
		s.counts.Add("out_of_memory")
		http.Error(w, "not enough memory", http.StatusInsufficientStorage)
		return
	}
	digest, n, err := s.readWeights(r)
	if err != nil || n != size {
		http.Error(w, "weights are not whole", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bootCount != bootCount {
		http.Error(w, "engine restarted", http.StatusInternalServerError)
		return
	}
	if s.isStale(order.Fence) {
		s.refuseStale(w)
		return
	}
	order.DoneSeq = s.nextEventSeq()
	s.loaded[q.Get("version")] = loadedModel{digest: digest, bytes: n}
	s.loadCount++
	s.served = 0
}

// readWeights reads the request body at the engine's load speed and returns its
// digest and size.
func (s *Server) readWeights(r *http.Request) (digest [sha256.Size]byte, n int64, err error) {
	h := sha256.New()
	buf := make([]byte, 64<<10)
	for {
		k, err := r.Body.Read(buf)
		h.Write(buf[:k])
		n += int64(k)
		if d := time.Duration(int64(s.opts.LoadPerMiB) * int64(k) / mib); d > 0 {
			time.Sleep(d)
		}
		if err == io.EOF {
			return [sha256.Size]byte(h.Sum(nil)), n, nil
		}
		if err != nil {
			return digest, n, err
		}
	}
}

func (s *Server) unload(w http.ResponseWriter, r *http.Request) {
	order, ok := s.beginOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	order.DoneSeq = s.nextEventSeq()
	delete(s.loaded, r.URL.Query().Get("version"))
}
