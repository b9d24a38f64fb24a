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

// TestChangedEngineRefusesRequest guards against a request that runs on an engine
// that has lost its caches or restarted since the request was admitted, and against
// a refusal without the engine's current identity.
func TestChangedEngineRefusesRequest(t *testing.T) {
	c, h := startEngine(t, engine.Options{CheckIdentity: true})
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
		if _, err := readAll(a); err != nil {
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

// TestEngineWithoutIdentityCheck guards against an engine that is wrongly assumed to
// check identities, and against the verdict not-run for a 412 that such an engine
// sends for another reason.
func TestEngineWithoutIdentityCheck(t *testing.T) {
	c, _ := startEngine(t, engine.Options{})
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

// TestEntityTagRoundTrip guards against an identity that is changed by its encoding,
// in which case every request would be refused, and against a tag that is not valid
// in a header.
func TestEntityTagRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := fleet.EngineIdentity{BootID: rapid.String().Draw(t, "boot"), LoadCount: rapid.Int64().Draw(t, "loads")}
		tag := entityTag(id)
		if got := parseEntityTag(tag); got != id {
			t.Fatalf("%+v became %+v", id, got)
		}
		for _, c := range tag[1 : len(tag)-1] {
			if c <= ' ' || c == '"' || c > '~' {
				t.Fatalf("tag %s has %q", tag, c)
			}
		}
	})
	for _, bad := range []string{"", `"x"`, `"%zz/1"`, `"x/y"`, `W/"3f-abc"`} {
		if got := parseEntityTag(bad); got != (fleet.EngineIdentity{}) {
			t.Errorf("tag %s gives %+v", bad, got)
		}
	}
}
