package otelmetrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// TestAttributeValuesAreLimited guards against memory that grows with the number
// of distinct names sent by clients.
func TestAttributeValuesAreLimited(t *testing.T) {
	m, err := New()
	if err != nil {
		t.Fatal(err)
	}
	for i := range 10 * maxAttributeValues {
		m.Seconds("request_seconds", time.Millisecond, port.Attr{Key: "customer", Value: fmt.Sprint("c", i)})
	}
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	body := rec.Body.String()
	if n := strings.Count(body, "request_seconds_count{"); n != maxAttributeValues+1 {
		t.Fatalf("%d series, want %d", n, maxAttributeValues+1)
	}
	if !strings.Contains(body, `customer="other"`) {
		t.Fatal("no series for the values beyond the limit")
	}
}
