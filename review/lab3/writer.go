//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/masticwing/masticwing/platform/platformtest"
)

const (
	// valueBytes is ValueBytes of the platform, the length of the longest value of the store.
	valueBytes = 1048576
	// recoverTime is RecoverS of the platform.
	recoverTime = 12 * time.Second
	// foreignEntries is the number of entries of another writer.
	foreignEntries = 8
	// pageBytes is the length of a page of a listing.
	pageBytes = 1000000
)

// pagedStore splits the listings of a store into pages, as the platform does.
type pagedStore struct{ *platformtest.Store }

// ServeHTTP implements http.Handler.
func (s pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/kv-range" {
		s.Store.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	s.Store.ServeHTTP(rec, r)
	var page struct {
		Items   []json.RawMessage
		HasMore bool
		At      int64
	}
	if rec.Code != http.StatusOK || json.Unmarshal(rec.Body.Bytes(), &page) != nil {
		w.WriteHeader(rec.Code)
		return
	}
	all, after, bytes := page.Items, r.URL.Query().Get("After"), 0
	page.Items = []json.RawMessage{}
	for _, raw := range all {
		var it struct {
			Key   string
			Value []byte
		}
		if json.Unmarshal(raw, &it) != nil || it.Key <= after {
			continue
		}
		if len(page.Items) > 0 && bytes+len(it.Value) > pageBytes {
			page.HasMore = true
			break
		}
		page.Items, bytes = append(page.Items, raw), bytes+len(it.Value)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// putRaw writes bytes that are no entry of a worker, as another writer does.
func putRaw(s *platformtest.Store, key string, value []byte) error {
	body, err := json.Marshal(map[string]any{"Expected": []any{}, "Remove": []any{}, "Puts": []map[string]any{{"Key": key, "Value": value, "Lease": 0}}})
	if err != nil {
		return err
	}
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/kv-txn", bytes.NewReader(body)))
	if rec.Code != http.StatusOK {
		return fmt.Errorf("writing %s: status %d", key, rec.Code)
	}
	return nil
}

// restartBesideForeignEntries kills and restarts all gateways while entries of another writer, which can't be
// read, stand beside those of the workers.
func restartBesideForeignEntries(d *deployment, trouble bool) ([]string, error) {
	gs, ws, err := startThreeZones(d, 0, 3, 1)
	if err != nil {
		return nil, err
	}
	before := startTraffic(gs, "GET", "/desk/stations", 10)
	if trouble {
		for i := range foreignEntries {
			if err := putRaw(d.store, fmt.Sprintf("servers/x-%d", i), bytes.Repeat([]byte{0xff}, valueBytes)); err != nil {
				return nil, err
			}
			d.record.printf("another writer writes %d bytes to servers/x-%d", valueBytes, i)
			time.Sleep(600 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	before.end(d.record)
	d.changeConfig()
	for _, g := range gs {
		if err := g.cmd.Process.Kill(); err != nil {
			return nil, err
		}
		<-g.exited
		d.record.printf("killed %s", g.name)
	}
	time.Sleep(1300 * time.Millisecond)
	for _, g := range gs {
		if err := d.start(g); err != nil {
			return nil, err
		}
	}
	time.Sleep(recoverTime)
	after := startTraffic(gs, "GET", "/desk/stations", 10)
	time.Sleep(10 * time.Second)
	after.end(d.record)
	for _, g := range gs {
		if lines := g.logLines(`"prefix":"servers/"`); len(lines) > 0 {
			d.record.printf("log of %s: %s", g.name, lines[len(lines)-1])
		}
	}
	runsBefore, sent, served := before.statuses["200"], len(after.sentAt), after.statuses["200"]
	d.record.printf("%d workers; served before the kill %d of %d, later than %v after the start %d of %d", len(ws), runsBefore, len(before.sentAt), recoverTime, served, sent)
	if 4*runsBefore < len(before.sentAt) {
		return nil, fmt.Errorf("under a quarter was served before the kill")
	}
	if 4*served < sent {
		return []string{fmt.Sprintf("RECOVER: of %d requests sent later than %v after the gateways were back, %d were served", sent, recoverTime, served)}, nil
	}
	return nil, nil
}
