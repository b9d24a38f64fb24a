package enginehttp

import (
	"context"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestRefusalOfEarlierRequest guards against a refusal that the engine sends once more on a
// kept connection, and that is taken for that of the next request, which runs.
func TestRefusalOfEarlierRequest(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 59\r\n\r\n" + `{"head":{"request_id":"r2","version":"v"}}` + "\n" + `{"end":{"frames":0}}` + "\n"
	for _, status := range []string{"400 Bad Request", "409 Conflict", "412 Precondition Failed"} {
		c := New(straytest.Start(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nno", answer))
		expect := fleet.EngineIdentity{BootID: "b", LoadCount: 1}
		_, err := c.Generate(context.Background(), port.EngineRequest{ID: "r1", Expect: expect})
		if verdict.FromError(err).Verdict != verdict.NotRun {
			t.Fatalf("%s: %v", status, err)
		}
		a, err := c.Generate(context.Background(), port.EngineRequest{ID: "r2", Expect: expect})
		if err != nil {
			t.Errorf("%s: the next request: %v", status, err)
			continue
		}
		_ = a.Close()
	}
}
