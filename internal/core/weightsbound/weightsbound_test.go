package weightsbound

import (
	"testing"
	"time"
)

const (
	testBound   = 8 * time.Second
	testUnknown = 5 * time.Second
)

// TestDeclaredAt guards against a bound that counts from the time at which a process learns
// of a declaration.
func TestDeclaredAt(t *testing.T) {
	const now = time.Hour
	for name, c := range map[string]struct {
		learned Learned
		ago     time.Duration
	}{
		"in time":                  {Learned{Confirmed: now - 500*time.Millisecond, HasConfirmation: true}, 0},
		"confirmed 3 s ago":        {Learned{Confirmed: now - 3*time.Second, HasConfirmation: true}, 3*time.Second - usualConfirmationAge},
		"never confirmed":          {Learned{}, testUnknown},
		"known to another process": {Learned{Confirmed: now - time.Second, HasConfirmation: true, StatedAge: 2 * time.Second}, 2 * time.Second},
		"never confirmed, old":     {Learned{StatedAge: 6 * time.Second}, 6 * time.Second},
	} {
		c.learned.Now = now
		if at := c.learned.DeclaredAt(testUnknown); now-at != c.ago {
			t.Errorf("%s: declared %v ago, want %v", name, now-at, c.ago)
		}
	}
}

// TestRequired guards against weights that are used after their bound: when several versions
// are declared within it, and when one is learned of twice.
func TestRequired(t *testing.T) {
	var ds Declarations
	for i := range 20 {
		at := time.Duration(i) * 300 * time.Millisecond
		ds = ds.Add(Declaration{int64(i + 2), at}, testBound, at)
	}
	for i := range 20 {
		at := time.Duration(i)*300*time.Millisecond + testBound
		if v := ds.Required(testBound, at); v != int64(i+2) {
			t.Errorf("version %d is required at %v, want %d", v, at, i+2)
		}
	}
	ds = ds.Add(Declaration{21, 0}, testBound, testBound)
	if v := ds.Required(testBound, testBound); v != 21 {
		t.Errorf("version %d is required after the earlier time of the newest was learned, want 21", v)
	}
	if len(ds) != 1 {
		t.Errorf("%d declarations are kept, want those that are not replaced: 1", len(ds))
	}
	if ds = ds.Add(Declaration{3, 0}, testBound, testBound); ds.Required(testBound, time.Hour) != 21 {
		t.Error("an older version replaces a newer one")
	}
}

// TestLeft guards against a request that is sent to old weights and starts after their bound,
// which the oldest of the newer declarations ends.
func TestLeft(t *testing.T) {
	ds := Declarations{{2, time.Second}, {3, 4 * time.Second}}
	for version, want := range map[int64]time.Duration{
		1: 7*time.Second - usualConfirmationAge, 2: 10*time.Second - usualConfirmationAge,
	} {
		if left, limited := ds.Left(version, testBound, 2*time.Second); !limited || left != want {
			t.Errorf("version %d may start requests for %v, want %v", version, left, want)
		}
	}
	if _, limited := ds.Left(3, testBound, time.Hour); limited {
		t.Error("the newest version is limited")
	}
}
