package lab

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an entry of its history.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64 `json:",omitempty"`
	Removed  bool  `json:",omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store stands in for the platform's metadata store. It is sound.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
}

// Put writes a key as an operator or a worker does.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
}

func (s *Store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.remove(k)
		}
	}
}

// expire ends the leases whose time is over.
func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// Run ends leases in time until the program ends.
func (s *Store) Run() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, out := s.serve(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

type none struct{}

func (s *Store) serve(r *http.Request) (int, any) {
	if r.URL.Path == "/kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	name, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	leaseID, _ := strconv.ParseInt(id, 10, 64)
	switch name {
	case "kv-key":
		it, ok := s.items[r.URL.Query().Get("Key")]
		if !ok {
			return http.StatusNotFound, none{}
		}
		return http.StatusOK, struct {
			item
			At int64
		}{it, s.revision}
	case "kv-range":
		return s.list(r.URL.Query().Get("Prefix"), r.URL.Query().Get("After"))
	case "kv-txn":
		return s.commit(r)
	case "kv-lease":
		return s.grant(r)
	case "kv-keep":
		l, ok := s.leases[leaseID]
		if !ok {
			return http.StatusNotFound, none{}
		}
		s.leases[leaseID] = lease{l.ttl, time.Now().Add(l.ttl)}
		return http.StatusOK, none{}
	case "kv-lease-end":
		if _, ok := s.leases[leaseID]; !ok {
			return http.StatusNotFound, none{}
		}
		s.endLease(leaseID)
		return http.StatusOK, none{}
	}
	return http.StatusBadRequest, none{}
}

// maxPage is the number of items of a page.
const maxPage = 500

func (s *Store) list(prefix, after string) (int, any) {
	out := struct {
		Items   []item
		HasMore bool
		At      int64
	}{Items: []item{}, At: s.revision}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out.Items = append(out.Items, it)
		}
	}
	slices.SortFunc(out.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(out.Items) > maxPage {
		out.Items, out.HasMore = out.Items[:maxPage], true
	}
	return http.StatusOK, out
}

func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		out := struct {
			Events []item `json:"events"`
			At     int64
		}{[]item{}, s.revision}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("Prefix")) {
				out.Events = append(out.Events, it)
			}
		}
		changed, unknown := s.changed, after > s.revision
		s.mu.Unlock()
		switch {
		case unknown:
			return http.StatusGone, none{}
		case len(out.Events) > 0:
			return http.StatusOK, out
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, out
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, none{}
		}
	}
}

// commit does a conditional write. The system may not write under the keys of operators and workers.
func (s *Store) commit(r *http.Request) (int, any) {
	var in struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Puts   []item
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expected) > 32 || len(in.Puts) > 32 {
		return http.StatusBadRequest, none{}
	}
	matches := true
	current := struct{ Items []item }{[]item{}}
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		matches = matches && it.Revision == e.Revision
		if ok {
			current.Items = append(current.Items, it)
		}
	}
	if !matches {
		return http.StatusPreconditionFailed, current
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, none{}
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, none{}
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	return http.StatusOK, struct{ Revision int64 }{s.revision}
}

func (s *Store) grant(r *http.Request) (int, any) {
	var in struct{ TtlMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, none{}
	}
	ttl := min(max(time.Duration(in.TtlMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.revision++
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, struct{ Lease, TtlMs int64 }{s.revision, ttl.Milliseconds()}
}
