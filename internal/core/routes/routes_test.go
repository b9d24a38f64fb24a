package routes

import (
	"fmt"
	"testing"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// TestLongestPrefix guards against a request that is routed by a shorter prefix or
// by a prefix of another host.
func TestLongestPrefix(t *testing.T) {
	table := Compile(Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"A.Example:8005", "/x/1", "short"},
		{"b.example", "/x/y/z/", "other"},
		{"b.example", "/x/y/", ""},
		{"a.example", "/x", ""},
		{"c.example", "/x/y/", ""},
	} {
		r, ok := table.MatchRoute(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name != c.want {
			t.Errorf("%s%s: route %v, want %q", c.host, c.path, r, c.want)
		}
	}
}

// TestTrafficSplit guards against a split that does not match the weights, and
// against a retry that goes to another service.
func TestTrafficSplit(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[fleet.Service]int{}
	for h := range uint64(1000) {
		s, ok := r.PickService(h)
		again, _ := r.PickService(h)
		if !ok || s != again {
			t.Fatalf("hash %d: %q, then %q", h, s, again)
		}
		counts[s]++
	}
	if fmt.Sprint(counts) != "map[a:900 b:100]" {
		t.Errorf("requests per service: %v", counts)
	}
	if _, ok := (&Route{}).PickService(1); ok {
		t.Error("route without services picked one")
	}
}

// TestRetryable guards against a retry of a request that may run only once.
func TestRetryable(t *testing.T) {
	for _, c := range []struct {
		r    Route
		want bool
	}{
		{Route{}, false},
		{Route{Kind: Safe}, true},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
		{Route{Kind: Unsafe, Resumable: true}, false},
	} {
		if got := c.r.Retryable(); got != c.want {
			t.Errorf("%v, resumable %v: retryable %v", c.r.Kind, c.r.Resumable, got)
		}
	}
}

// TestEmptyKeyIsNotValid guards against a request without an API key that is taken for one of an account whose
// keys include an empty one.
func TestEmptyKeyIsNotValid(t *testing.T) {
	table := Compile(Config{Accounts: []Account{{Name: "t", Keys: []string{"", "k"}}}})
	if a, ok := table.Account(""); ok {
		t.Errorf("a request without a key belongs to %q", a.Name)
	}
	if a, ok := table.Account("k"); !ok || a.Name != "t" {
		t.Errorf("the key of the account belongs to %v", a)
	}
}
