package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// TestBodyTimeoutIsBounded guards against a body that holds memory and a connection for as long as its caller
// states that it waits, although the request would be given up long before.
func TestBodyTimeoutIsBounded(t *testing.T) {
	gw := newTestGateway(t, route)
	for _, c := range []struct {
		path         string
		caller, want time.Duration
	}{
		{"/p/x", time.Second, time.Second}, {"/p/x", time.Hour, route.Timeout}, {"/p/x", 0, route.Timeout},
		{"/other", time.Hour, defaultTimeout}, {"/other", time.Second, time.Second},
	} {
		m := gw.BodyMemory(port.RequestHead{Host: "h", Path: c.path, CallerTimeout: c.caller})
		if got := m.Timeout(); got != c.want {
			t.Errorf("%s, caller waits %v: body may take %v, want %v", c.path, c.caller, got, c.want)
		}
	}
}
