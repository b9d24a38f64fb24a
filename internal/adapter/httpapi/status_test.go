package httpapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestMalformedStatus guards against an answer of a service with a malformed status that callers get as a success:
// agents of older builds pass such a status on.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []int{0, 99, 600, 999} {
		var closed atomic.Int32
		b := &fakeBackend{serve: func(context.Context, port.ServeRequest) (port.Answer, error) {
			return &fakeAnswer{head: port.AnswerHead{Status: status}, closed: &closed, next: func(i int) ([]byte, error) {
				if i == 0 {
					return []byte("no"), nil
				}
				return nil, io.EOF
			}}, nil
		}}
		_, addr := listen(t, defaultConfig, b)
		got, err := exchangeRaw(t, addr, servicePath, "HTTP/1.1")
		head := fmt.Sprintf("HTTP/1.1 %d ", http.StatusBadGateway)
		if err != nil || !strings.HasPrefix(got, head) || !strings.Contains(got, headerVerdict+": "+verdict.MayHaveRun.String()) {
			t.Errorf("status %d: response %q, %v; want %d with the verdict that the call may have run", status, got, err, http.StatusBadGateway)
		}
	}
}
