package storeera

import "testing"

// TestMissingItemsStayAfterRise guards against targets and cordons that vanish with a restore before they
// are written again, and against ones that stay for ever, also with a second rise meanwhile.
func TestMissingItemsStayAfterRise(t *testing.T) {
	var h Holdover[int]
	listing := func(keys ...string) map[string]int {
		out := map[string]int{}
		for _, k := range keys {
			out[k] = 1
		}
		return out
	}
	if kept, rose := h.List(listing("a", "b", "c"), Stamp(1, 9), 0); len(kept) > 0 || rose {
		t.Errorf("first listing: kept %v, rose %v", kept, rose)
	}
	if kept, _ := h.List(listing("a", "b"), Stamp(1, 10), 0); len(kept) > 0 {
		t.Errorf("a listing of the same era keeps %v", kept)
	}
	if kept, rose := h.List(listing("a"), Stamp(2, 3), 10); !rose || len(kept) != 1 || kept["b"] != 1 {
		t.Errorf("rise: kept %v, rose %v", kept, rose)
	}
	if kept, rose := h.List(listing("a"), Stamp(2, 3), HoldTime); rose || len(kept) != 1 {
		t.Errorf("again in the same era: kept %v, rose %v", kept, rose)
	}
	if kept, rose := h.List(listing(), Stamp(3, 2), HoldTime+5); !rose || len(kept) != 2 {
		t.Errorf("second rise: kept %v, rose %v", kept, rose)
	}
	h.Set("a", 2)
	h.Postpone(HoldTime + 10)
	if gone := h.End(2*HoldTime + 9); len(gone) > 0 {
		t.Errorf("%v ended early", gone)
	}
	if gone := h.End(2*HoldTime + 10); len(gone) != 1 || gone[0] != "b" {
		t.Errorf("%v ended, want b", gone)
	}
	if _, waiting := h.Left(0); waiting || len(h.items) != 1 {
		t.Errorf("items %v, waiting %v", h.items, waiting)
	}
}
