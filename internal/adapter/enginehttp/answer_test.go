package enginehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// FuzzAnswerStream guards against an answer that crashes the agent, that counts as
// complete without an end line, or that fails with the verdict not-run.
func FuzzAnswerStream(f *testing.F) {
	head := `{"head":{"request_id":"r","version":"v"}}` + "\n"
	frame := `{"request_id":"r","version":"v","seq":0,"text":"t"}` + "\n"
	f.Add([]byte(head + frame + `{"end":{"frames":1}}` + "\n"))
	f.Add([]byte(head + frame))
	f.Add([]byte(head + `{"end":{"frames":18446744073709551615}}`))
	f.Add([]byte("\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		ctx, cancel := context.WithCancel(context.Background())
		resp := &http.Response{Body: io.NopCloser(bytes.NewReader(b)), Header: http.Header{}}
		a, err := newAnswerStream(ctx, cancel, resp, port.EngineRequest{ID: "r"})
		defer func() { _ = a.Close() }()
		for err == nil {
			_, err = a.Next()
		}
		if errors.Is(err, io.EOF) {
			// encoding/json ignores the case of keys, and keys may have escapes.
			if !bytes.Contains(bytes.ToLower(b), []byte("end")) && !bytes.Contains(b, []byte(`\u`)) {
				t.Fatalf("complete answer without an end line: %q", b)
			}
			return
		}
		if verdict.FromError(err).Verdict == verdict.NotRun {
			t.Fatalf("verdict of a broken answer: %v", err)
		}
	})
}
