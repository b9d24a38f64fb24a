// Package moment represents times since the machine booted, and ages, that may be unknown. An
// unknown one is a value of its own, since a number in its place looks like one that
// was measured.
package moment

import "time"

// Age is the longest time since something may have happened. The zero value is unknown.
type Age struct {
	longest time.Duration
	known   bool
}

// KnownAge returns an age; a negative one counts as zero.
func KnownAge(longest time.Duration) Age { return Age{max(0, longest), true} }

// Get returns the age, or false if it is unknown.
func (a Age) Get() (time.Duration, bool) { return a.longest, a.known }

// Plus returns the age after a time. An unknown age stays unknown.
func (a Age) Plus(d time.Duration) Age {
	if !a.known {
		return a
	}
	return KnownAge(a.longest + d)
}

// Before returns the time that was an age before now.
func (a Age) Before(now time.Duration) Time {
	if !a.known {
		return Time{}
	}
	return KnownTime(now - a.longest)
}

// Longer returns the longer of two ages, or the known one.
func Longer(a, b Age) Age {
	if !a.known || b.known && b.longest > a.longest {
		return b
	}
	return a
}

// Time is the earliest time at which something may have happened, since the machine booted.
// The zero value is unknown.
type Time struct {
	sinceBoot time.Duration
	known     bool
}

// KnownTime returns a time.
func KnownTime(sinceBoot time.Duration) Time { return Time{sinceBoot, true} }

// Get returns the time, or false if it is unknown.
func (t Time) Get() (time.Duration, bool) { return t.sinceBoot, t.known }

// Age returns the age at now.
func (t Time) Age(now time.Duration) Age {
	if !t.known {
		return Age{}
	}
	return KnownAge(now - t.sinceBoot)
}

// Earlier returns the earlier of two times, or the known one.
func Earlier(a, b Time) Time {
	if !a.known || b.known && b.sinceBoot < a.sinceBoot {
		return b
	}
	return a
}
