package follow

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/port"
)

// TestUnreadableIsLoggedOnce guards against a log that is flooded by an item that another
// writer rewrites all the time, or by the text of one, and against an item that becomes
// unreadable again without a line.
func TestUnreadableIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	u := NewUnreadable("unreadable item", logging.New(&out, "x", "1"))
	lines := func() int { return strings.Count(out.String(), "unreadable item") }
	change := func(key string, removed bool) port.StoreChange {
		return port.StoreChange{StoreItem: port.StoreItem{Key: key}, Removed: removed}
	}
	for i := range 100 {
		u.Record(change("p/a", false), errors.Errorf("%d%s", i, strings.Repeat("x", 1<<20)))
	}
	if n := lines(); n != 1 || out.Len() > 1000 {
		t.Fatalf("%d lines, %d bytes; want 1 line", n, out.Len())
	}
	again := map[string]func(){
		"readable": func() { u.Record(change("p/a", false), nil) },
		"removed":  func() { u.Begin(Event{Changes: []port.StoreChange{change("p/a", true)}}) },
		"unlisted": func() { u.Begin(Event{Reset: true, Changes: []port.StoreChange{change("p/b", false)}}) },
	}
	for name, f := range again {
		before := lines()
		f()
		u.Record(change("p/a", false), errors.New("bad"))
		if lines() != before+1 {
			t.Errorf("%s, then unreadable: %d more lines, want 1", name, lines()-before)
		}
	}
	u.Begin(Event{Reset: true, Changes: []port.StoreChange{change("p/a", false)}})
	before := lines()
	u.Record(change("p/a", false), errors.New("bad"))
	if lines() != before {
		t.Error("an item that a listing has again is logged again")
	}
	for i := range 10 * maxUnreadableKeys {
		u.Record(change(fmt.Sprintf("p/%d", i), false), errors.New("bad"))
	}
	if n := lines(); n > before+maxUnreadableKeys {
		t.Errorf("%d lines", n)
	}
}

// TestUnreadableFromTwoGoroutines guards against a process that ends since two of its goroutines change the same
// map: one follows a prefix, the other one applies the items in the response to a refused write.
func TestUnreadableFromTwoGoroutines(t *testing.T) {
	u := NewUnreadable("unreadable item", logging.New(io.Discard, "x", "1"))
	var wg conc.WaitGroup
	for range 2 {
		wg.Go(func() {
			for i := range 2000 {
				c := port.StoreChange{StoreItem: port.StoreItem{Key: fmt.Sprint("p/", i%10)}}
				u.Begin(Event{Reset: i%7 == 0, Changes: []port.StoreChange{c}})
				u.Record(c, errors.New("bad"))
				u.Record(c, nil)
			}
		})
	}
	wg.Wait()
}
