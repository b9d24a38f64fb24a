package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/engine"
)

func start(t *testing.T, o engine.Options) (*Client, *httptest.Server) {
	t.Helper()
	h := httptest.NewServer(engine.New(o).Handler())
	t.Cleanup(h.Close)
	return New(fleet.Address(h.Listener.Addr().String())), h
}

// valid is the check of an order whose time has not ended.
func valid() error { return nil }

func load(c *Client, v fleet.Version, weights string, fence int64) error {
	return c.Load(context.Background(), port.LoadOrder{
		Model: "m", Version: v, Fence: fence, Bytes: int64(len(weights)), Weights: strings.NewReader(weights),
		Check: valid,
	})
}

func read(a port.Answer) (string, error) {
	var out bytes.Buffer
	for {
		b, err := a.Next()
		if err == io.EOF {
			return out.String(), nil
		}
		if err != nil {
			return out.String(), err
		}
		out.Write(b)
	}
}

// TestOrders guards against an old order that is taken for a done one, against
// a part of the weights that counts as loaded, and against a version beyond
// the engine's memory.
func TestOrders(t *testing.T) {
	c, _ := start(t, engine.Options{CheckFence: true, MemoryBytes: 10})
	if err := load(c, "v1", "weights", 5); err != nil {
		t.Fatal(err)
	}
	if err := load(c, "v2", "w", 4); !errors.Is(err, ErrStaleFence) {
		t.Fatalf("got %v for an old fencing number", err)
	}
	if err := load(c, "v2", "weights", 5); err == nil {
		t.Fatal("loaded beyond the memory")
	}
	short := port.LoadOrder{Version: "v3", Fence: 6, Bytes: 3, Weights: strings.NewReader("w"), Check: valid}
	if c.Load(context.Background(), short) == nil {
		t.Fatal("loaded a part of the weights")
	}
	st, err := c.Status(context.Background())
	if err != nil || st.Fence != 6 || st.LoadCount != 1 || len(st.Loaded) != 1 || st.Loaded[0] != "v1" {
		t.Fatalf("status %+v, %v", st, err)
	}
	if err := c.Unload(context.Background(), port.UnloadOrder{Version: "v1", Fence: 6, Check: valid}); err != nil {
		t.Fatal(err)
	}
	_, err = c.Generate(context.Background(), port.EngineRequest{ID: "r", Version: "v1"})
	if e := verdict.FromError(err); e.Verdict != verdict.NotRun || e.Code != verdict.CodeVersionNotServing {
		t.Fatalf("got %v without the version", err)
	}
}

// TestResume guards against frames that are lost or repeated when an answer is
// taken up again, and against a wrong verdict of an engine that has gone.
func TestResume(t *testing.T) {
	c, h := start(t, engine.Options{})
	if err := load(c, "v1", "weights", 1); err != nil {
		t.Fatal(err)
	}
	ask := func(resume uint64) string {
		t.Helper()
		a, err := c.Generate(context.Background(), port.EngineRequest{ID: "r", Version: "v1", Body: []byte("x"), Resume: resume})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = a.Close() }()
		s, err := read(a)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	whole := ask(0)
	if rest := ask(3); strings.Count(rest, "\n") != 5 || !strings.HasSuffix(whole, rest) {
		t.Fatalf("resumed answer %q is not the rest of %q", rest, whole)
	}
	h.Close()
	// A client without a kept connection cannot have sent anything.
	_, err := New(fleet.Address(h.Listener.Addr().String())).Generate(context.Background(), port.EngineRequest{ID: "r", Version: "v1"})
	if verdict.FromError(err).Verdict != verdict.NotRun {
		t.Fatalf("got %v from an engine that has gone", err)
	}
}

func counts(t *testing.T, h *httptest.Server) map[string]int64 {
	t.Helper()
	resp, err := http.Get(h.URL + "/counts")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	m := map[string]int64{}
	if err := json.NewDecoder(resp.Body).Decode(&m); err != nil {
		t.Fatal(err)
	}
	return m
}

// TestCloseCancels guards against an engine that works on for nobody. It also
// checks that the stand-in falls over above its limit and only then.
func TestCloseCancels(t *testing.T) {
	c, h := start(t, engine.Options{TokenDelay: 5 * time.Millisecond, MaxRequests: 1, ColdRequests: 1})
	if err := load(c, "v1", "weights", 1); err != nil {
		t.Fatal(err)
	}
	r := port.EngineRequest{ID: "r", Version: "v1", Body: []byte(`{"max_tokens":100000}`)}
	a, err := c.Generate(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.Next(); err != nil {
		t.Fatal(err)
	}
	_ = a.Close()
	for end := time.Now().Add(5 * time.Second); counts(t, h)["canceled"] == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("engine did not notice the close")
		}
	}
	b, err := c.Generate(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b.Close() }()
	if _, err := c.Generate(context.Background(), r); verdict.FromError(err).Verdict != verdict.MayHaveRun {
		t.Fatalf("got %v over the limit", err)
	}
	if n := counts(t, h)["overload"]; n != 1 {
		t.Fatalf("%d overloads counted", n)
	}
	if _, err := c.Status(context.Background()); err == nil {
		t.Fatal("engine answers after it fell over")
	}
}

// TestOrderStopsWhenItLapses guards against an order that an agent goes on to
// send after its time for it has ended.
func TestOrderStopsWhenItLapses(t *testing.T) {
	c, _ := start(t, engine.Options{})
	if err := load(c, "v1", "weights", 5); err != nil {
		t.Fatal(err)
	}
	errLapsed := errors.New("lapsed")
	lapsed := func() error { return errLapsed }
	err := c.Unload(context.Background(), port.UnloadOrder{Version: "v1", Fence: 5, Check: lapsed})
	if !errors.Is(err, errLapsed) {
		t.Fatalf("unload: got %v", err)
	}
	const size = 1 << 20
	parts := 0
	midway := func() error {
		if parts++; parts > 4 {
			return errLapsed
		}
		return nil
	}
	o := port.LoadOrder{Version: "v2", Fence: 5, Bytes: size, Weights: bytes.NewReader(make([]byte, size)), Check: midway}
	if err := c.Load(context.Background(), o); !errors.Is(err, errLapsed) {
		t.Fatalf("load: got %v", err)
	}
	st, err := c.Status(context.Background())
	if err != nil || len(st.Loaded) != 1 || st.Loaded[0] != "v1" {
		t.Fatalf("status %+v, %v", st, err)
	}
}

// TestRefusedLoadSendsNothing guards against weights that are sent to an engine
// that refuses the order, again with each attempt, and against a refusal without
// its reason.
func TestRefusedLoadSendsNothing(t *testing.T) {
	c, _ := start(t, engine.Options{MemoryBytes: 10})
	w := strings.NewReader(strings.Repeat("w", 8<<20))
	o := port.LoadOrder{Model: "m", Version: "v1", Fence: 5, Bytes: w.Size(), Weights: w, Check: valid}
	if err := c.Load(context.Background(), o); err == nil || !strings.Contains(err.Error(), "not enough memory") {
		t.Fatalf("got %v", err)
	}
	if sent := w.Size() - int64(w.Len()); sent > 0 {
		t.Fatalf("%d bytes were sent", sent)
	}
}
