package servicehttp

import (
	"context"
	"io"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// TestCutResponse guards against an answer or a health check that a client takes from a
// response that broke off. An answer without a length ends wherever its connection is
// closed, which the protocol allows.
func TestCutResponse(t *testing.T) {
	ctx := context.Background()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for name, x := range map[string]straytest.Exchange{
		"answer": {Head: head, Body: "answer", TakesAnyEnd: true, Call: func(a fleet.Address) (string, error) {
			ans, err := New(a).Call(ctx, port.ServiceRequest{Call: "read"})
			if err != nil {
				return "", err
			}
			defer func() { _ = ans.Close() }()
			body := ""
			for {
				b, err := ans.Next()
				if err == io.EOF {
					return body, nil
				}
				if err != nil {
					return body, err
				}
				body += string(b)
			}
		}},
		"health": {Head: head, Body: "ok", HeadIsEnough: true, Call: func(a fleet.Address) (string, error) {
			return "", New(a).Healthy(ctx)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			straytest.CheckCuts(t, x)
		})
	}
}
