package origin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func get(t *testing.T, url string) []byte {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(requesterHeader, "vm1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestRateCountsAndCorruption guards against an origin that does not limit its
// rate, miscounts bytes or ignores the Corrupt fault. The results of other tests
// and of benchmarks depend on these.
func TestRateCountsAndCorruption(t *testing.T) {
	v := Version{Model: "m", Bytes: 100_000, ChunkBytes: 32 << 10, Seed: 3}
	s := httptest.NewServer(New(200_000, v).Handler())
	defer s.Close()
	m := v.Manifest()
	base := s.URL + "/v1/versions/" + string(m.Version())
	start := time.Now()
	for i := range m.Chunks {
		if err := m.VerifyChunk(i, get(t, fmt.Sprintf("%s/chunks/%d", base, i))); err != nil {
			t.Error(err)
		}
	}
	if d := time.Since(start); d < 450*time.Millisecond || d > 2*time.Second {
		t.Errorf("100,000 bytes at 200,000 bytes/s took %v", d)
	}
	if _, err := http.Post(s.URL+"/faults", "application/json", strings.NewReader(`{"corrupt":1,"rate":100000000}`)); err != nil {
		t.Fatal(err)
	}
	if m.VerifyChunk(0, get(t, base+"/chunks/0")) == nil {
		t.Error("the chunk is not corrupted")
	}
	var c Counts
	if err := json.Unmarshal(get(t, s.URL+"/counts"), &c); err != nil {
		t.Fatal(err)
	}
	want := int64(v.Bytes + v.ChunkBytes)
	if c.Calls["chunk"] != 5 || c.Bytes["chunk"] != want || c.ByRequester["vm1"]["chunk"] != want {
		t.Errorf("counts %+v, want 5 calls and %d bytes", c, want)
	}
}
