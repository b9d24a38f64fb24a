package weightsbound

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/moment"
)

const testBound = 8 * time.Second

// TestDeclaredAt guards against a bound that counts from the time at which a process learns
// of a declaration, and against a time in place of an unknown one.
func TestDeclaredAt(t *testing.T) {
	const now = time.Hour
	ago := func(d time.Duration) moment.Time { return moment.KnownTime(now - d) }
	for name, c := range map[string]struct {
		learned Learned
		want    moment.Time
	}{
		"in time":                  {Learned{Confirmed: ago(500 * time.Millisecond)}, ago(0)},
		"confirmed 3 s ago":        {Learned{Confirmed: ago(3 * time.Second)}, ago(3*time.Second - usualConfirmationAge)},
		"never confirmed":          {Learned{}, moment.Time{}},
		"known to another process": {Learned{Confirmed: ago(time.Second), Stated: moment.KnownAge(2 * time.Second)}, ago(2 * time.Second)},
		"never confirmed, old":     {Learned{Stated: moment.KnownAge(6 * time.Second)}, ago(6 * time.Second)},
	} {
		c.learned.Now = now
		if at := c.learned.At(); at != c.want {
			t.Errorf("%s: declared at %v, want %v", name, at, c.want)
		}
	}
}

// TestRequired guards against weights that are used after their bound: when several versions
// are declared within it, and when one is learned of twice.
func TestRequired(t *testing.T) {
	var ds Declarations
	for i := range 20 {
		at := time.Duration(i) * 300 * time.Millisecond
		ds = ds.Add(Declaration{int64(i + 2), moment.KnownTime(at)}, testBound, at)
	}
	for i := range 20 {
		at := time.Duration(i)*300*time.Millisecond + testBound
		if v := ds.Required(testBound, at); v != int64(i+2) {
			t.Errorf("version %d is required at %v, want %d", v, at, i+2)
		}
	}
	ds = ds.Add(Declaration{21, moment.KnownTime(0)}, testBound, testBound)
	if v := ds.Required(testBound, testBound); v != 21 {
		t.Errorf("version %d is required after the earlier time of the newest was learned, want 21", v)
	}
	if len(ds) != 1 {
		t.Errorf("%d declarations are kept, want those that are not replaced: 1", len(ds))
	}
	if ds = ds.Add(Declaration{3, moment.KnownTime(0)}, testBound, testBound); ds.Required(testBound, time.Hour) != 21 {
		t.Error("an older version replaces a newer one")
	}
}

// TestLimit guards against a request that is sent to old weights and starts after their bound,
// which the oldest of the newer declarations ends.
func TestLimit(t *testing.T) {
	ds := Declarations{{2, moment.KnownTime(time.Second)}, {3, moment.KnownTime(4 * time.Second)}}
	for version, want := range map[int64]Limit{
		1: {7*time.Second - usualConfirmationAge, 2, true}, 2: {10*time.Second - usualConfirmationAge, 3, true},
	} {
		if limit, limited := ds.Limit(version, testBound, 2*time.Second); !limited || limit != want {
			t.Errorf("version %d may start requests for %v, want %v", version, limit, want)
		}
	}
	if _, limited := ds.Limit(3, testBound, time.Hour); limited {
		t.Error("the newest version is limited")
	}
}

// TestUnknownTimeEndsOldWeights guards against old weights that are used because the time of a
// declaration is not known, until another process states it, and against a stated time that
// replaces a known one.
func TestUnknownTimeEndsOldWeights(t *testing.T) {
	const now = time.Hour
	ds := Declarations{}.Add(Declaration{Version: 2}, testBound, now)
	if limit, limited := ds.Limit(1, testBound, now); !limited || limit.Left > 0 || ds.Required(testBound, now) != 2 {
		t.Errorf("weights 1 may be used for %v more (limited: %v), weights %d are required", limit.Left, limited, ds.Required(testBound, now))
	}
	if s := ds.Statement(testBound, now); s != (Statement{}) {
		t.Errorf("%+v is stated without the time of the declaration", s)
	}
	ds, changed := ds.Adopt(Statement{Newest: Declaration{2, moment.KnownTime(now - time.Second)}})
	if limit, _ := ds.Limit(1, testBound, now); !changed || limit.Left != 7*time.Second-usualConfirmationAge || ds.Required(testBound, now) != 0 {
		t.Errorf("weights 1 may be used for %v more, weights %d are required", limit.Left, ds.Required(testBound, now))
	}
	if _, changed = ds.Adopt(Statement{Newest: Declaration{2, moment.KnownTime(now - 5*time.Second)}}); changed {
		t.Error("a known time was replaced")
	}
}

// TestStatementCoversOldestDeclaration guards against a process that learns only of the newest of
// two declarations and uses weights that the older one has replaced for too long.
func TestStatementCoversOldestDeclaration(t *testing.T) {
	ds := Declarations{{2, moment.KnownTime(time.Second)}, {3, moment.KnownTime(4 * time.Second)}}
	if s := ds.Statement(testBound, 5*time.Second); s != (Statement{Newest: Declaration{3, moment.KnownTime(time.Second)}}) {
		t.Errorf("stated %+v, want version 3 since 1 s", s)
	}
	if s := ds.Statement(testBound, 10*time.Second); s != (Statement{Declaration{3, moment.KnownTime(4 * time.Second)}, 2}) {
		t.Errorf("stated %+v after the first bound, want version 3 since 4 s", s)
	}
}

// TestWorthLoading guards against engines that stay empty although weights that came late could serve
// for a second or more, against a load whose weights get no requests any more, and against an engine
// that stops serving for weights whose load may end too late.
func TestWorthLoading(t *testing.T) {
	for _, c := range []struct {
		until          time.Duration
		serves, result bool
	}{
		{2 * time.Second, false, true}, {time.Second, false, true}, {900 * time.Millisecond, false, false},
		{-time.Second, false, false}, {2 * time.Second, true, false}, {3 * time.Second, true, true},
	} {
		if got := WorthLoading(c.until, c.serves); got != c.result {
			t.Errorf("%v left, serves %v: %v", c.until, c.serves, got)
		}
	}
}
