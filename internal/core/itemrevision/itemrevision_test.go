package itemrevision

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/storeera"
)

// event is a change of an item, or a listing if listed is set.
type event struct {
	listed   map[string]int64
	key      string
	revision int64
	removed  bool
}

// model is a table, and the revision of the newest change that was applied for each key.
type model struct {
	t      *rapid.T
	table  *Table
	newest map[string]int64
}

func (m *model) apply(e event) {
	if e.listed == nil {
		if m.table.Apply(e.key, e.revision, e.removed) && e.revision < m.newest[e.key] {
			m.t.Fatalf("change %v replaces %d", e, m.newest[e.key])
		}
		m.newest[e.key] = max(m.newest[e.key], e.revision)
		return
	}
	current, gone := m.table.ApplyListing(e.listed, e.revision)
	for _, k := range gone {
		if m.newest[k] > e.revision {
			m.t.Fatalf("%s of revision %d is removed by a listing at %d", k, m.newest[k], e.revision)
		}
		m.newest[k] = e.revision
	}
	for k, r := range e.listed {
		if current[k] && r < m.newest[k] {
			m.t.Fatalf("%s of revision %d replaces %d", k, r, m.newest[k])
		}
		m.newest[k] = max(m.newest[k], r)
	}
}

// applySome applies some of the first events and returns the others.
func (m *model) applySome(es []event) []event {
	for len(es) > 0 && rapid.Bool().Draw(m.t, "arrives") {
		m.apply(es[0])
		es = es[1:]
	}
	return es
}

// TestLateEvents guards against an older change, removal or listing that replaces a newer
// state, and against an item that stays after all events have arrived. Changes arrive in
// order, while listings and single items of replies are read at one time and arrive at a
// later one.
func TestLateEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, stored := model{t, New(), map[string]int64{}}, map[string]int64{}
		var watch, replies []event
		for rev := int64(1); rev < 30; rev++ {
			key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
			_, exists := stored[key]
			removed := exists && rapid.Bool().Draw(t, "remove")
			if stored[key] = rev; removed {
				delete(stored, key)
			}
			watch = append(watch, event{key: key, revision: rev, removed: removed})
			switch reply := rapid.IntRange(0, 3).Draw(t, "reply"); {
			case reply == 0:
				replies = append(replies, event{listed: maps.Clone(stored), revision: rev})
			case reply == 1 && !removed:
				replies = append(replies, event{key: key, revision: rev})
			}
			replies = m.applySome(replies)
			watch = m.applySome(watch)
		}
		for _, e := range append(replies, watch...) {
			m.apply(e)
		}
		if got := m.table.Existing(); fmt.Sprint(got) != fmt.Sprint(stored) {
			t.Fatalf("known %v, stored %v", got, stored)
		}
	})
}

// TestKeptItemOfOlderEra guards against an expectation that the store still has an item which it lacks since
// it was restored from an older copy, and against a late change of the old era.
func TestKeptItemOfOlderEra(t *testing.T) {
	table, old := New(), storeera.Stamp(1, 90)
	table.ApplyListing(map[string]int64{"kept": old, "back": old}, old)
	now := storeera.Stamp(2, 7)
	table.ApplyListing(map[string]int64{"kept": old, "back": now}, now)
	if got := table.Existing(); got["kept"] != 0 || got["back"] != now || len(got) != 2 {
		t.Errorf("expected %v", got)
	}
	if table.Apply("back", old+1, false) || table.Apply("new", old+2, false) {
		t.Error("a change of the old era replaces the state of the new one")
	}
}
