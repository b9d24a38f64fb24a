package servicehttp

import (
	"context"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/straytest"
	"github.com/masticwing/masticwing/internal/port"
)

// TestResponseOfEarlierCall guards against a refusal, or an answer, that the service sends
// once more on a kept connection, and that is taken for that of the next call, which runs.
func TestResponseOfEarlierCall(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, first := range map[string]string{
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"answer":  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold",
	} {
		for _, key := range []string{"", "k"} {
			c := New(straytest.Start(t, first, answer))
			var bodies []string
			for range 2 {
				a, err := c.Call(context.Background(), port.ServiceRequest{Call: "read", Body: []byte("b"), IdempotencyKey: key})
				if err != nil {
					bodies = append(bodies, err.Error())
					continue
				}
				b, _ := a.Next()
				bodies = append(bodies, string(b))
				_, _ = a.Next()
				_ = a.Close()
			}
			if bodies[1] != "ok" {
				t.Errorf("%s, key %q: %q", name, key, bodies)
			}
		}
	}
}
