package routes

import (
	"fmt"
	"testing"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// TestLongestPrefix guards against a request that goes to the service of a
// shorter prefix or of another host.
func TestLongestPrefix(t *testing.T) {
	tab := Compile(Config{Routes: []Route{
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
		r, ok := tab.Match(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name != c.want {
			t.Errorf("%s%s: route %v, want %q", c.host, c.path, r, c.want)
		}
	}
}

// TestSplit guards against a split that does not follow the weights, and against
// a request that changes its service when it is sent again.
func TestSplit(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	seen := map[fleet.Service]int{}
	for h := range uint64(1000) {
		s, ok := r.Pick(h)
		again, _ := r.Pick(h)
		if !ok || s != again {
			t.Fatalf("hash %d: %q, then %q", h, s, again)
		}
		seen[s]++
	}
	if fmt.Sprint(seen) != "map[a:900 b:100]" {
		t.Errorf("split %v", seen)
	}
	if _, ok := (&Route{}).Pick(1); ok {
		t.Error("a route without services picks one")
	}
}

// TestRepeatable guards against a second run of a request that may run once.
func TestRepeatable(t *testing.T) {
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
		if got := c.r.Repeatable(); got != c.want {
			t.Errorf("%v, resumable %v: repeatable %v", c.r.Kind, c.r.Resumable, got)
		}
	}
}
