package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/port/porttest"
)

// keyedConfig is a configuration with a route that needs an API key if there are client accounts. tenants
// is its list of them with the name of the field, or empty.
func keyedConfig(version int, tenants string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"k","Host":"h","Prefix":"/k/","Kind":"unsafe","TimeoutMs":2000,
		"TargetLatencyMs":400,"Service":"s","MaxAttempts":1}],"Services":[{"Name":"s"}]%s}`, version, tenants)
}

// callWithKey sends a request with an API key on a connection and returns the status of its response.
func callWithKey(t *testing.T, c net.Conn, r *bufio.Reader, id, key string) int {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /k/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nKey: %s\r\nContent-Length: 0\r\n\r\n", id, key)
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// TestLastKeysAreRemoved guards against requests that run with removed or unknown API keys because the last
// client account was removed. The caller keeps its connection.
func TestLastKeysAreRemoved(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	target := startRawTarget(t, func(c net.Conn, r *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(c, head("200 OK", "a", r.Header.Get("Request-Id"), "Content-Length: 0"))
	})
	store := porttest.NewStore()
	g := newGatewayOf(t, store, 0, 100, map[string]string{"a": target})
	store.Put("op/config", keyedConfig(2, `,"Tenants":[{"Name":"t","ApiKeys":["removed"]}]`))
	c, err := net.Dial("tcp", startServing(t, g))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if s := callWithKey(t, c, r, "1", "removed"); s != http.StatusOK {
		t.Fatalf("a known key is answered with status %d", s)
	}
	store.Put("op/config", keyedConfig(3, `,"Tenants":[]`))
	// The new configuration is in force once the key is refused; without that, after the bound for removed keys.
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if callWithKey(t, c, r, "2", "removed") == http.StatusUnauthorized {
			break
		}
	}
	before := runs.Load()
	for i, key := range []string{"removed", "unknown", ""} {
		if s := callWithKey(t, c, r, fmt.Sprint(3+i), key); s != http.StatusUnauthorized {
			t.Errorf("the key %q is answered with status %d, want %d", key, s, http.StatusUnauthorized)
		}
	}
	if n := runs.Load() - before; n != 0 {
		t.Errorf("%d requests without a valid key ran", n)
	}
}
