package moment

import (
	"testing"
	"time"
)

// TestUnknownIsNoNumber guards against an unknown age or time that becomes a known one by
// arithmetic, or that hides a known one.
func TestUnknownIsNoNumber(t *testing.T) {
	var noAge Age
	var noTime Time
	if _, ok := noAge.Plus(time.Hour).Get(); ok {
		t.Error("an unknown age is known an hour later")
	}
	if _, ok := noAge.Before(time.Hour).Get(); ok {
		t.Error("an unknown age has a time")
	}
	if _, ok := noTime.Age(time.Hour).Get(); ok {
		t.Error("an unknown time has an age")
	}
	for _, pair := range [][2]Age{{noAge, KnownAge(2)}, {KnownAge(2), noAge}, {KnownAge(1), KnownAge(2)}} {
		if a, ok := Longer(pair[0], pair[1]).Get(); a != 2 || !ok {
			t.Errorf("the longer of %v is %v", pair, a)
		}
	}
	for _, pair := range [][2]Time{{noTime, KnownTime(0)}, {KnownTime(0), noTime}, {KnownTime(0), KnownTime(5)}} {
		if at, ok := Earlier(pair[0], pair[1]).Get(); at != 0 || !ok {
			t.Errorf("the earlier of %v is %v", pair, at)
		}
	}
}
