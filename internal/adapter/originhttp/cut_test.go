package originhttp

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// TestCutResponse guards against a manifest or a chunk that a client takes from a response
// that broke off. A chunk without a length ends wherever its connection is closed; whoever
// reads it compares its digest.
func TestCutResponse(t *testing.T) {
	ctx := context.Background()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	manifest := `{"model":"m","chunks":[{"digest":"` + strings.Repeat("ab", 32) + `","bytes":5}]}` + "\n"
	for name, x := range map[string]straytest.Exchange{
		"manifest": {Head: head, Body: manifest, Call: func(a fleet.Address) (string, error) {
			m, err := New(a, "vm").Manifest(ctx, "v")
			return fmt.Sprintf("%+v", m), err
		}},
		"chunk": {Head: head, Body: "chunk", TakesAnyEnd: true, Call: func(a fleet.Address) (string, error) {
			rc, err := New(a, "vm").Chunk(ctx, "v", 0)
			if err != nil {
				return "", err
			}
			defer func() { _ = rc.Close() }()
			b, err := io.ReadAll(rc)
			return string(b), err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			straytest.CheckCuts(t, x)
		})
	}
}
