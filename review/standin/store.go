package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store, or an event of a watch.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64 `json:",omitempty"`
	Lease    int64
	Removed  bool `json:",omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store stands in for the platform's metadata store. Its history is kept in full.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.end(id)
		}
	}
}

func (s *store) end(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.remove(k)
		}
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
}

// write writes an item as the operator or a worker does.
func (s *store) write(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
}

// count returns the number of items under a prefix.
func (s *store) count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, out := s.call(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) call(r *http.Request) (int, any) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	id, _ := strconv.ParseInt(rest, 10, 64)
	q := r.URL.Query()
	switch name {
	case "kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		if it, ok := s.items[q.Get("Key")]; ok {
			return http.StatusOK, it
		}
		return http.StatusNotFound, struct{}{}
	case "kv-range":
		return http.StatusOK, s.page(q.Get("Prefix"), q.Get("After"))
	case "kv-watch":
		return s.watch(r)
	case "kv-txn":
		return s.txn(r)
	case "kv-lease":
		var in struct{ TtlMs int64 }
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			return http.StatusBadRequest, struct{}{}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		ttl := time.Duration(min(max(in.TtlMs, 1000), 600000)) * time.Millisecond
		s.revision++
		s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, struct{ Lease, TtlMs int64 }{s.revision, ttl.Milliseconds()}
	case "kv-keep":
		s.mu.Lock()
		defer s.mu.Unlock()
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, struct{}{}
		}
		s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
		return http.StatusOK, struct{ TtlMs int64 }{l.ttl.Milliseconds()}
	case "kv-lease-end":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(id)
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, struct{}{}
}

const pageItems = 500

func (s *store) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Key < out.Items[j].Key })
	if len(out.Items) > pageItems {
		out.Items, out.HasMore = out.Items[:pageItems], true
	}
	return out
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := struct {
			Events []item `json:"events"`
			At     int64
		}{Events: []item{}, At: s.revision}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("Prefix")) {
				out.Events = append(out.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			return http.StatusOK, out
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, out
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, struct{}{}
		}
	}
}

func (s *store) txn(r *http.Request) (int, any) {
	var in struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Puts   []item
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Puts)+len(in.Remove) > 32*3 {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := struct{ Items []item }{[]item{}}
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if ok {
			current.Items = append(current.Items, it)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, current
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
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
