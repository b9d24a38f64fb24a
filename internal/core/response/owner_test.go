package response

import "testing"

// TestResponseOfAnotherRequest guards against a response that belongs to an earlier
// request on the same connection, or may do so, and against one that is not recognized.
func TestResponseOfAnotherRequest(t *testing.T) {
	for _, c := range []struct {
		ids           []string
		onNew, onKept bool
	}{
		{[]string{"r"}, true, true},
		{[]string{"r", "r"}, true, true},
		{[]string{"x"}, false, false},
		{[]string{"r", "x"}, false, false},
		{[]string{"x", "r"}, false, false},
		{[]string{""}, true, false},
		{nil, true, false},
	} {
		if got := (Received{c.ids, false}).Answers("r"); got != c.onNew {
			t.Errorf("ids %q on a new connection: %v", c.ids, got)
		}
		if got := (Received{c.ids, true}).Answers("r"); got != c.onKept {
			t.Errorf("ids %q on a kept connection: %v", c.ids, got)
		}
	}
}
