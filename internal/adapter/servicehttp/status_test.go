package servicehttp

import (
	"context"
	"errors"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestMalformedStatus guards against a status of a service in trouble that reaches the caller as an answer, and
// against a claim that the call has not run, which such a response can't make.
func TestMalformedStatus(t *testing.T) {
	for _, status := range straytest.MalformedStatuses {
		for _, header := range []string{"", notRunHeader + ": 1\r\n"} {
			response := "HTTP/1.1 " + status + " Odd\r\n" + header + "Content-Length: 2\r\n\r\nno"
			c := New(straytest.Start(t, response, response))
			a, err := c.Call(context.Background(), port.ServiceRequest{ID: "r", Call: "c"})
			if err == nil {
				t.Errorf("status %s: answer with the status %d", status, a.Head().Status)
				_ = a.Close()
				continue
			}
			var e *verdict.Error
			if !errors.As(err, &e) || e.Verdict != verdict.MayHaveRun {
				t.Errorf("status %s: error %v, want the verdict that the call may have run", status, err)
			}
		}
	}
}
