package itemrevision

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestLateEvents guards against an older change, removal or listing that replaces a newer
// state, and against an item that stays after all events have arrived. Changes arrive in
// order, while listings and single items of replies are read at one time and arrive at a
// later one.
func TestLateEvents(t *testing.T) {
	type event struct {
		listed   map[string]int64
		key      string
		revision int64
		removed  bool
	}
	rapid.Check(t, func(t *rapid.T) {
		table, stored := New(), map[string]int64{}
		var watch, replies []event
		newest := map[string]int64{} // revision of the newest applied change by key
		apply := func(e event) {
			if e.listed == nil {
				if table.Apply(e.key, e.revision, e.removed) && e.revision < newest[e.key] {
					t.Fatalf("change %v replaces %d", e, newest[e.key])
				}
				newest[e.key] = max(newest[e.key], e.revision)
				return
			}
			newer, gone := table.ApplyListing(e.listed, e.revision)
			for _, k := range gone {
				if newest[k] > e.revision {
					t.Fatalf("%s of revision %d is removed by a listing at %d", k, newest[k], e.revision)
				}
				newest[k] = e.revision
			}
			for k, r := range e.listed {
				if newer[k] && r < newest[k] {
					t.Fatalf("%s of revision %d replaces %d", k, r, newest[k])
				}
				newest[k] = max(newest[k], r)
			}
		}
		for rev := int64(1); rev < 30; rev++ {
			key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
			_, exists := stored[key]
			removed := exists && rapid.Bool().Draw(t, "remove")
			if stored[key] = rev; removed {
				delete(stored, key)
			}
			watch = append(watch, event{key: key, revision: rev, removed: removed})
			switch rapid.IntRange(0, 3).Draw(t, "reply") {
			case 0:
				listed := map[string]int64{}
				for k, r := range stored {
					listed[k] = r
				}
				replies = append(replies, event{listed: listed, revision: rev})
			case 1:
				if !removed {
					replies = append(replies, event{key: key, revision: rev})
				}
			}
			for len(replies) > 0 && rapid.Bool().Draw(t, "reply arrives") {
				apply(replies[0])
				replies = replies[1:]
			}
			for len(watch) > 0 && rapid.Bool().Draw(t, "change arrives") {
				apply(watch[0])
				watch = watch[1:]
			}
		}
		for _, e := range append(replies, watch...) {
			apply(e)
		}
		if got := table.Existing(); fmt.Sprint(got) != fmt.Sprint(stored) {
			t.Fatalf("known %v, stored %v", got, stored)
		}
	})
}
