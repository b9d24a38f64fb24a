package enginehttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/engine"
)

func post(t *testing.T, url string) {
	t.Helper()
	resp, err := http.Post(url, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestPrecondition guards against a request that runs at an engine which lost
// its caches or restarted since the request was admitted, and against a
// refusal that does not name the engine's present identity.
func TestPrecondition(t *testing.T) {
	c, h := start(t, engine.Options{CheckIdentity: true})
	if err := load(c, "v1", "weights", 1); err != nil {
		t.Fatal(err)
	}
	status := func() port.EngineStatus {
		t.Helper()
		st, err := c.Status(context.Background())
		if err != nil || !st.ChecksIdentity {
			t.Fatalf("status %+v, %v", st, err)
		}
		return st
	}
	for _, path := range []string{"/cold", "/restart"} {
		before := status()
		r := port.EngineRequest{ID: "r", Version: "v1", Expect: before.EngineIdentity}
		a, err := c.Generate(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := read(a); err != nil {
			t.Fatal(err)
		}
		_ = a.Close()
		post(t, h.URL+path)
		_, err = c.Generate(context.Background(), r)
		var changed *port.EngineChangedError
		if e := verdict.FromError(err); e.Verdict != verdict.NotRun || e.Code != verdict.CodeTargetWarming || !errors.As(err, &changed) {
			t.Fatalf("got %v after %s", err, path)
		}
		if now := status().EngineIdentity; changed.Now != now || now == before.EngineIdentity {
			t.Fatalf("engine says %+v, status says %+v, before it was %+v", changed.Now, now, before)
		}
	}
	if n := counts(t, h); n["changed"] != 2 || n["max_in_flight"] != 1 {
		t.Fatalf("counts %v", n)
	}
}

// TestNoPrecondition guards against an engine without the check that passes
// for one with it, and against a 412 of its own that is reported as not run.
func TestNoPrecondition(t *testing.T) {
	c, _ := start(t, engine.Options{})
	if st, err := c.Status(context.Background()); err != nil || st.ChecksIdentity {
		t.Fatalf("status %+v, %v", st, err)
	}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `W/"3f-abc"`)
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		_, _ = w.Write([]byte(`{"boot_id":"b","loaded":[],"fence":0,"load_count":1}`))
	}))
	t.Cleanup(h.Close)
	c = New(fleet.Address(h.Listener.Addr().String()))
	if st, err := c.Status(context.Background()); err != nil || st.ChecksIdentity {
		t.Fatalf("status %+v, %v with a tag that the HTTP server made", st, err)
	}
	_, err := c.Generate(context.Background(), port.EngineRequest{ID: "r"})
	if verdict.FromError(err).Verdict != verdict.MayHaveRun {
		t.Fatalf("got %v for a request without a precondition", err)
	}
}

// TestEntityTag guards against an identity that its tag changes, which would
// refuse every request, and against a tag that breaks the header.
func TestEntityTag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := fleet.EngineIdentity{BootID: rapid.String().Draw(t, "boot"), LoadCount: rapid.Int64().Draw(t, "loads")}
		tag := entityTag(id)
		if got := parseTag(tag); got != id {
			t.Fatalf("%+v became %+v", id, got)
		}
		for _, c := range tag[1 : len(tag)-1] {
			if c <= ' ' || c == '"' || c > '~' {
				t.Fatalf("tag %s has %q", tag, c)
			}
		}
	})
	for _, bad := range []string{"", `"x"`, `"%zz/1"`, `"x/y"`, `W/"3f-abc"`} {
		if got := parseTag(bad); got != (fleet.EngineIdentity{}) {
			t.Errorf("tag %s gives %+v", bad, got)
		}
	}
}
