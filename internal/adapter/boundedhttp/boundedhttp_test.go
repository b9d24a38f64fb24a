package boundedhttp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReadAllDoesNotCut guards against a body that is cut at the bound and returned
// as if it were complete.
func TestReadAllDoesNotCut(t *testing.T) {
	for n := range 10 {
		b, err := ReadAll(strings.NewReader("123456789"[:n]), 5)
		if n <= 5 && (err != nil || len(b) != n) {
			t.Errorf("%d bytes: got %d, %v", n, len(b), err)
		}
		if n > 5 && (!errors.Is(err, ErrTooLong) || b != nil) {
			t.Errorf("%d bytes: got %d, %v", n, len(b), err)
		}
	}
	r := io.MultiReader(strings.NewReader("12"), iotest.ErrReader(io.ErrUnexpectedEOF))
	if b, err := ReadAll(r, 5); !errors.Is(err, io.ErrUnexpectedEOF) || b != nil {
		t.Errorf("got %q, %v for a truncated body", b, err)
	}
}
