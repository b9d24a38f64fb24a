package targetconn

import (
	"net/http"
	"testing"
	"time"
)

// TestKeepAliveTimeIsBounded guards against a stated time that overflows: it became
// negative, so that no connection to the target was used twice, or lasted for years.
func TestKeepAliveTimeIsBounded(t *testing.T) {
	for _, v := range []string{"timeout=9223372036854775807", "timeout=99999999999", "max=3, timeout=9223372036"} {
		if d := keepAliveTime(http.Header{"Keep-Alive": {v}}); d <= 0 || d > time.Hour {
			t.Errorf("%s keeps connections for %v", v, d)
		}
	}
	if d := keepAliveTime(http.Header{"Keep-Alive": {"timeout=10"}}); d <= 0 || d > 10*time.Second {
		t.Errorf("%v", d)
	}
}
