package confirmation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCheckCoversOnlyItsKeys guards against a check that is taken to show the absence of a
// key that it did not cover, or not yet.
func TestCheckCoversOnlyItsKeys(t *testing.T) {
	var r Record
	if _, ok := r.NewestOf("a"); ok {
		t.Error("an empty record confirms a key")
	}
	r.SetChecked(map[string]int64{"a": 1}, 10)
	r.Check(20)
	r.SetChecked(map[string]int64{"a": 1, "b": 0}, 30)
	r.Check(25) // passed on by another process after b was added
	if at, ok := r.NewestOf("a"); !ok || at != 25 {
		t.Errorf("a is confirmed at %v, want 25", at)
	}
	if at, ok := r.NewestOf("b"); ok {
		t.Errorf("b is confirmed at %v by a check that did not cover it", at)
	}
	if at, ok := r.Newest(); !ok || at != 25 {
		t.Errorf("the view is confirmed at %v, want 25", at)
	}
	r.Check(30)
	if at, _ := r.NewestOf("b"); at != 30 {
		t.Errorf("b is confirmed at %v, want 30", at)
	}
	r.List(40)
	if at, _ := r.NewestOf("c"); at != 40 {
		t.Errorf("c is confirmed at %v, want 40, the time of a listing", at)
	}
}

// TestConfirmedKeysAreCurrent guards against a confirmation of a key that is newer than a
// change which is not in the view, for any order of changes, checks and listings.
func TestConfirmedKeysAreCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		keys := []string{"a", "b", "c"}
		checked := map[string]bool{}
		// missed is the time of the oldest change of a key that is not in the view.
		missed := map[string]time.Duration{}
		for now := time.Duration(1); now < 40; now++ {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0: // the key changes, and the view does not learn of it
				if missed[key] == 0 {
					missed[key] = now
				}
			case 1:
				checked[key] = !checked[key]
				set := map[string]int64{}
				for k, ok := range checked {
					if ok {
						set[k] = 0
					}
				}
				r.SetChecked(set, now)
			case 2: // a check fails if a covered key differs
				ok := true
				for k, c := range checked {
					ok = ok && (!c || missed[k] == 0)
				}
				if ok {
					r.Check(now)
				}
			case 3:
				clear(missed)
				r.List(now)
			}
			for _, k := range keys {
				if at, ok := r.NewestOf(k); ok && missed[k] > 0 && at > missed[k] {
					t.Fatalf("%s is confirmed at %d, but changed at %d", k, at, missed[k])
				}
			}
		}
	})
}

// TestRefutedViewIsKnownUntilItChanges guards against a process that does not know that its view is not current, and
// against one that is taken to be behind by a check from before the view changed or was confirmed.
func TestRefutedViewIsKnownUntilItChanges(t *testing.T) {
	var r Record
	r.SetChecked(map[string]int64{"a": 1}, 10)
	r.Check(20)
	r.Refute(15, 21)
	if x, refuted := r.Refuted(); refuted {
		t.Errorf("refuted %v by a check older than the confirmation", x)
	}
	r.Refute(30, 35)
	r.Refute(40, 42)
	r.SetChecked(map[string]int64{"a": 1, "b": 0}, 43)
	if x, refuted := r.Refuted(); !refuted || x != (Refutation{35, 42}) {
		t.Errorf("refuted %v, %v, want from 35 to 42: the view of a has not changed", refuted, x)
	}
	r.SetChecked(map[string]int64{"a": 2, "b": 0}, 44)
	if _, refuted := r.Refuted(); refuted {
		t.Error("refuted after the view has changed")
	}
	r.Refute(50, 52)
	r.Check(49)
	if _, refuted := r.Refuted(); !refuted {
		t.Error("not refuted after an older check")
	}
	r.Check(51)
	if _, refuted := r.Refuted(); refuted {
		t.Error("refuted after the view was confirmed")
	}
}
