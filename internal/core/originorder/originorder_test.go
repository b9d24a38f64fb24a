package originorder

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// TestChoose guards against engines without weights because a version that lacks a few chunks waits
// behind a whole copy of its successor, and against a link that carries what can't serve any more.
func TestChoose(t *testing.T) {
	const copyTime = 2600 * ms
	for name, c := range map[string]struct {
		older    Version
		newer    time.Duration
		served   time.Duration
		decision Choice
	}{
		"six chunks lack":                    {Version{160 * ms, 2300 * ms, true}, copyTime, 300 * ms, First},
		"six chunks lack, little time left":  {Version{160 * ms, 1300 * ms, true}, copyTime, 0, Drop},
		"complete at other members":          {Version{0, 2300 * ms, true}, copyTime, 0, First},
		"complete at others, just in time":   {Version{0, 950 * ms, true}, copyTime, 0, First},
		"complete at others, too late":       {Version{0, 850 * ms, true}, copyTime, 0, Drop},
		"a whole copy lacks":                 {Version{copyTime, 4 * time.Second, true}, copyTime, 0, Drop},
		"a whole copy lacks, much time left": {Version{copyTime, 7 * time.Second, true}, copyTime, 0, First},
		"old weights serve long enough":      {Version{160 * ms, 5 * time.Second, true}, copyTime, 4 * time.Second, First},
		"bound is over":                      {Version{0, -ms, true}, copyTime, 0, Drop},
		"no newer version is declared":       {Version{copyTime, 0, false}, copyTime, 0, First},
	} {
		if got := Choose(c.older, Version{LinkTime: c.newer}, c.served); got != c.decision {
			t.Errorf("%s: choice %d, want %d", name, got, c.decision)
		}
	}
}
