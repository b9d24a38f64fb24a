package feed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/moment"
)

// TestReaders guards against two gateways of a domain that follow each other, and
// against a process that follows a gateway of another domain.
func TestReaders(t *testing.T) {
	ms := []Member{
		{ID: "g3", Domain: "a", Gateway: true}, {ID: "g1", Domain: "a", Gateway: true}, {ID: "g2", Domain: "a", Gateway: true},
		{ID: "g0", Domain: "b", Gateway: true}, {ID: "l1", Domain: "a"},
	}
	for id, want := range map[string]string{"g1": "", "g2": "g1", "g3": "g1g2"} {
		got := ""
		for _, m := range Readers(Member{ID: id, Domain: "a", Gateway: true}, ms) {
			got += m.ID
		}
		if got != want {
			t.Errorf("%s follows %q, want %q", id, got, want)
		}
	}
	if rs := Readers(Member{ID: "l1", Domain: "a"}, ms); len(rs) != 3 || rs[0].ID != "g1" {
		t.Errorf("a process beside a target follows %v", rs)
	}
	if rs := Readers(Member{ID: "l9", Domain: "c"}, ms); len(rs) != 0 {
		t.Errorf("a process of a domain without gateways follows %v", rs)
	}
}

// apply applies changes to the state of a follower: the revision of each key.
func apply(state map[string]int64, cs []Change) {
	for _, c := range cs {
		if c.Removed {
			delete(state, c.Key)
		} else {
			state[c.Key] = c.Revision
		}
	}
}

// TestFollowerConverges guards against a follower that misses a change or a removal
// when the log is fed by any mix of listings, late changes and changes ahead of others,
// and the follower reads it at irregular times.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, stored := NewLog(), map[string]int64{}
		followed, revision := map[string]int64{}, int64(0)
		var late []Change // that the log does not have yet
		list := func(rev int64) {
			var all []Change
			for k, r := range stored {
				all = append(all, Change{Key: k, Revision: r})
			}
			l.ApplyListing(all, rev, 0)
			late = nil
		}
		list(1)
		for rev := int64(2); rev < 40; rev++ {
			key := fmt.Sprint("p/", rapid.IntRange(0, 5).Draw(t, "key"))
			_, exists := stored[key]
			var c Change
			if exists && rapid.Bool().Draw(t, "remove") {
				delete(stored, key)
				c = Change{Key: key, Revision: rev, Removed: true}
			} else {
				stored[key] = rev
				c = Change{Key: key, Revision: rev}
			}
			late = append(late, c)
			switch rapid.IntRange(0, 6).Draw(t, "arrival") {
			case 0:
				list(rev)
			case 1: // later
			case 2: // ahead of others
				if !c.Removed {
					l.ApplyChanges([]Change{c}, 0, 0)
				}
			default:
				l.ApplyChanges(late, rev, 0)
				late = nil
			}
			if rapid.IntRange(0, 2).Draw(t, "read") > 0 {
				continue
			}
			cs, next, known, _ := l.Since("p/", revision, 0)
			if !known {
				cs, next, _, _ = l.Since("p/", 1, 0)
				clear(followed)
			}
			apply(followed, cs)
			revision = next
			if len(late) == 0 && fmt.Sprint(followed) != fmt.Sprint(stored) {
				t.Fatalf("follower has %v, want %v", followed, stored)
			}
		}
	})
}

// TestDroppedRemovals guards against a follower that keeps a key because the log
// has dropped the removal of the key.
func TestDroppedRemovals(t *testing.T) {
	l := NewLog()
	l.ApplyListing([]Change{{Key: "p/0", Revision: 1}}, 1, 0)
	for i := range int64(maxRemovedKeys + 1) {
		k := fmt.Sprint("p/", i)
		l.ApplyChanges([]Change{{Key: k, Revision: 2 + 2*i}}, 2+2*i, 0)
		l.ApplyChanges([]Change{{Key: k, Revision: 3 + 2*i, Removed: true}}, 3+2*i, 0)
	}
	if _, _, known, _ := l.Since("p/", 1, 0); known {
		t.Error("changes are complete although a removal was dropped")
	}
	if cs, _, known, _ := l.Since("p/", 3, 0); !known || len(cs) != maxRemovedKeys {
		t.Errorf("%d changes, known %v", len(cs), known)
	}
}

// TestPrefixes guards against a follower that asks for a narrower prefix and gets
// all keys of the log, each of which may have some hundred kilobytes.
func TestPrefixes(t *testing.T) {
	l := NewLog()
	if _, _, known, _ := l.Since("op/", 0, 0); known {
		t.Error("a log without a listing is complete")
	}
	l.ApplyListing([]Change{{Key: "op/config", Revision: 3}, {Key: "op/version/m", Revision: 5}}, 6, 0)
	cs, revision, known, next := l.Since("op/version/", 6, 0)
	if len(cs) != 0 || revision != 6 || !known {
		t.Errorf("changes %v at %d", cs, revision)
	}
	l.ApplyChanges([]Change{{Key: "op/version/m", Revision: 9}, {Key: "op/config", Revision: 8}}, 9, 0)
	<-next
	if cs, revision, _, _ = l.Since("op/version/", 6, 0); len(cs) != 1 || revision != 9 {
		t.Errorf("changes %v at %d", cs, revision)
	}
}

// TestAdvanceWithoutChanges guards against followers that all list a prefix when
// their reader is lost, because the store has dropped the history after its last
// change.
func TestAdvanceWithoutChanges(t *testing.T) {
	l := NewLog()
	l.ApplyListing([]Change{{Key: "p/a", Revision: 3}}, 5, 0)
	l.AdvanceTo(90)
	l.AdvanceTo(80)
	if cs, revision, known, _ := l.Since("p/", 5, 0); revision != 90 || len(cs) != 0 || !known {
		t.Errorf("changes %v, go on from %d", cs, revision)
	}
}

// TestAgeGrowsInTheLog guards against a change that looks new to a follower which reads it
// late, or from a process that learned of it late.
func TestAgeGrowsInTheLog(t *testing.T) {
	l := NewLog()
	l.ApplyListing(nil, 1, 10*time.Second)
	l.ApplyChanges([]Change{{Key: "p/a", Revision: 2, Age: moment.KnownAge(3 * time.Second)}}, 2, 20*time.Second)
	l.ApplyChanges([]Change{{Key: "p/a", Revision: 2}}, 2, 24*time.Second) // the same change again
	if cs, _, _, _ := l.Since("p/", 1, 25*time.Second); len(cs) != 1 || cs[0].Age != moment.KnownAge(8*time.Second) {
		t.Errorf("got %v, want a change with an age of 8 s", cs)
	}
}

// TestLateChangeReachesFollowers guards against followers that continue from the revision of a
// change which the reader learned ahead of its watch, and so never get the earlier changes
// of other keys.
func TestLateChangeReachesFollowers(t *testing.T) {
	l := NewLog()
	l.ApplyListing(nil, 1, 0)
	l.ApplyChanges([]Change{{Key: "p/config", Revision: 9}}, 0, 0)
	first, revision, _, _ := l.Since("p/", 1, 0)
	l.ApplyChanges([]Change{{Key: "p/weights", Revision: 5}, {Key: "p/config", Revision: 9}}, 9, 0)
	second, _, _, _ := l.Since("p/", revision, 0)
	followed := map[string]int64{}
	apply(followed, first)
	apply(followed, second)
	if followed["p/weights"] != 5 || followed["p/config"] != 9 {
		t.Errorf("a follower has %v, want weights 5 and config 9", followed)
	}
}

// TestChangeFoundLateReachesFollowers guards against followers that never get a change which the
// reader's watch did not report: its check or a listing finds it after the log has passed its
// revision.
func TestChangeFoundLateReachesFollowers(t *testing.T) {
	l := NewLog()
	l.ApplyListing([]Change{{Key: "p/cordon", Revision: 1}}, 1, 0)
	l.AdvanceTo(9)
	l.ApplyChanges([]Change{{Key: "p/weights", Revision: 5}}, 0, 0)
	l.ApplyListing([]Change{{Key: "p/weights", Revision: 5}}, 9, 0)
	followed := map[string]int64{"p/cordon": 1}
	cs, revision, known, _ := l.Since("p/", 9, 0)
	if apply(followed, cs); !known || followed["p/weights"] != 5 || followed["p/cordon"] != 0 {
		t.Errorf("a follower has %v, want weights 5 and no cordon", followed)
	}
	l.AdvanceTo(12)
	if _, revision, _, _ = l.Since("p/", revision, 0); revision != 12 {
		t.Errorf("the follower continues from %d, want 12", revision)
	}
	if cs, _, _, _ = l.Since("p/", revision, 0); len(cs) != 0 {
		t.Errorf("%v is sent again", cs)
	}
}

// TestRevisionsOfRemovedKeysAreZero guards against a reader that states a removed key as existing,
// whose confirmations no follower adopts.
func TestRevisionsOfRemovedKeysAreZero(t *testing.T) {
	l := NewLog()
	l.ApplyListing([]Change{{Key: "p/a", Revision: 3}, {Key: "p/b", Revision: 4}}, 5, 0)
	l.ApplyChanges([]Change{{Key: "p/b", Revision: 6, Removed: true}}, 6, 0)
	got := l.Revisions([]string{"p/a", "p/b", "p/c"})
	if len(got) != 3 || got["p/a"] != 3 || got["p/b"] != 0 || got["p/c"] != 0 {
		t.Errorf("got %v", got)
	}
}

// TestItemRemovedBeforeListingStaysAbsent guards against followers that get an item which was
// removed: the reply to a check had it, and arrived after a listing without it.
func TestItemRemovedBeforeListingStaysAbsent(t *testing.T) {
	l := NewLog()
	l.ApplyListing([]Change{{Key: "p/a", Revision: 3}}, 4, 0)
	l.ApplyListing([]Change{{Key: "p/a", Revision: 3}}, 9, 0)
	l.ApplyChanges([]Change{{Key: "p/cordon", Revision: 5}}, 0, 0)
	if cs, _, _, _ := l.Since("p/", 4, 0); len(cs) != 0 || l.Revisions([]string{"p/cordon"})["p/cordon"] != 0 {
		t.Errorf("followers get %v", cs)
	}
	l.ApplyChanges([]Change{{Key: "p/cordon", Revision: 10}}, 0, 0)
	if l.Revisions([]string{"p/cordon"})["p/cordon"] != 10 {
		t.Error("an item that was written after the listing is ignored")
	}
}

// TestTakeoverDelaysSpread guards against the gateways of a domain that read a large change from the store at the same
// time, and against a domain in which the first gateways are lost and none of the others reads the store for seconds.
func TestTakeoverDelaysSpread(t *testing.T) {
	ms := []Member{{ID: "g2", Domain: "a", Gateway: true}, {ID: "g1", Domain: "a", Gateway: true}, {ID: "g0", Domain: "b", Gateway: true}, {ID: "a", Domain: "a"}}
	for id, want := range map[string]int{"g1": 0, "g2": 1, "g3": 2} {
		if got := Rank(Member{ID: id, Domain: "a", Gateway: true}, ms); got != want {
			t.Errorf("%s has the rank %d, want %d", id, got, want)
		}
	}
	if d := TakeoverDelay(0); d != 0 {
		t.Errorf("the first gateway waits %v", d)
	}
	if d := TakeoverDelay(3); d > time.Second {
		t.Errorf("the fourth gateway waits %v", d)
	}
	for rank := range 7 {
		if step := TakeoverDelay(rank+1) - TakeoverDelay(rank); step < takeoverUnit {
			t.Errorf("gateway %d follows the one before it after %v", rank+1, step)
		}
	}
	if d := TakeoverDelay(1 << 40); d != maxTakeoverDelay {
		t.Errorf("the last gateway waits %v, want %v", d, maxTakeoverDelay)
	}
}
