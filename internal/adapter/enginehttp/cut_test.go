package enginehttp

import (
	"context"
	"fmt"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// TestCutResponse guards against a status, an answer or the acceptance of an order that a
// client takes from a response that broke off.
func TestCutResponse(t *testing.T) {
	ctx := context.Background()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	const answer = `{"head":{"request_id":"r","version":"v"}}` + "\n" + `{"request_id":"r","version":"v","seq":0}` + "\n" + `{"end":{"frames":1}}` + "\n"
	for name, x := range map[string]straytest.Exchange{
		"status": {Head: head, Body: `{"boot_id":"b","loaded":["v"],"load_count":3}`, EndsItself: true, Call: func(a fleet.Address) (string, error) {
			s, err := New(a).Status(ctx)
			return fmt.Sprintf("%+v", s), err
		}},
		"answer": {Head: head, Body: answer, EndsItself: true, Call: func(a fleet.Address) (string, error) {
			ans, err := New(a).Generate(ctx, port.EngineRequest{ID: "r", Version: "v"})
			if err != nil {
				return "", err
			}
			defer func() { _ = ans.Close() }()
			return readAll(ans)
		}},
		"order": {Head: head, Body: "done", HeadIsEnough: true, Call: func(a fleet.Address) (string, error) {
			return "", New(a).Unload(ctx, port.UnloadOrder{Version: "v", Check: neverExpires})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			straytest.CheckCuts(t, x)
		})
	}
}
