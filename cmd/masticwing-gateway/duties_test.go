package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/port"
)

// TestDutiesOutput guards against a report that hides the holder or the state of a duty.
func TestDutiesOutput(t *testing.T) {
	var out bytes.Buffer
	s := duty.Status{Holder: "g1", Domain: "a", Token: 7, Since: time.Unix(0, 0), Items: []port.StoreItem{{Key: "scale", Value: []byte(`{"x":1}`)}}}
	if err := writeDuties(&out, s); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"g1", "a", "7", "1970-01-01T00:00:00Z", `{"x":1}`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in %q", want, out.String())
		}
	}
}
