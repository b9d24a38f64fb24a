package enginehttp

import (
	"context"
	"errors"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestMalformedStatus guards against a status of an engine in trouble that counts as an answer or as a promise
// that the request has not run.
func TestMalformedStatus(t *testing.T) {
	for _, status := range straytest.MalformedStatuses {
		response := "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nno"
		c := New(straytest.Start(t, response, response))
		_, err := c.Generate(context.Background(), port.EngineRequest{ID: "r", Body: []byte("{}")})
		var e *verdict.Error
		if !errors.As(err, &e) || e.Verdict != verdict.MayHaveRun {
			t.Errorf("status %s: error %v, want the verdict that the request may have run", status, err)
		}
		if _, err := c.Status(context.Background()); err == nil {
			t.Errorf("status %s: the engine's status was accepted", status)
		}
	}
}
