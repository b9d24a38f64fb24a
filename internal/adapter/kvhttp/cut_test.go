package kvhttp

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

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
		t.Run(name, func(t *testing.T) { straytest.CheckCuts(t, x) })
	}
}
