package kvhttp

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

func compressed(t *testing.T, body string) string {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write([]byte(body)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestCutResponse guards against a value, a lease or a write that a client takes from a
// response that broke off.
func TestCutResponse(t *testing.T) {
	ctx := context.Background()
	const head = "HTTP/1.1 200 OK\r\nX-Rev: 37\r\n"
	for name, x := range map[string]straytest.Exchange{
		"get": {Head: head, Body: "value", Call: func(a fleet.Address) (string, error) {
			e, err := New(a).Get(ctx, "k")
			return fmt.Sprintf("%s %d", e.Value, e.Rev), err
		}},
		// A compressed body shows its end only once it has begun.
		"compressed": {Head: head + "Content-Encoding: gzip\r\n", Body: compressed(t, "value"), Call: func(a fleet.Address) (string, error) {
			e, err := New(a).Get(ctx, "k")
			return fmt.Sprintf("%s %d", e.Value, e.Rev), err
		}},
		"vms": {Head: head, Body: `[{"name":"v"}]`, Call: func(a fleet.Address) (string, error) {
			vms, err := New(a).VMs(ctx)
			return fmt.Sprint(vms), err
		}},
		"write": {Head: head, Body: "", Call: func(a fleet.Address) (string, error) {
			rev, err := New(a).CompareAndSwap(ctx, "k", 1, nil, port.NoLease)
			return fmt.Sprint(rev), err
		}},
		"grant": {Head: head, Body: "lease", Call: func(a fleet.Address) (string, error) {
			id, err := New(a).Grant(ctx, time.Second)
			return string(id), err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			straytest.CheckCuts(t, x)
		})
	}
}
