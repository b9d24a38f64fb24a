package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/masticwing/masticwing/internal/adapter/enginehttp"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
	"github.com/masticwing/masticwing/internal/standin/engine"
)

// replacedEngine passes requests for answers to generate and everything else to Engine.
type replacedEngine struct {
	port.Engine
	generate func(ctx context.Context, r port.EngineRequest) (port.Answer, error)
}

func (e replacedEngine) Generate(ctx context.Context, r port.EngineRequest) (port.Answer, error) {
	return e.generate(ctx, r)
}

// newServingTestbed starts an agent that serves version v1 and whose engine answers
// with generate.
func newServingTestbed(t *testing.T, generate func(context.Context, port.EngineRequest) (port.Answer, error)) *testbed {
	t.Helper()
	b := buildTestbed(t, "engine", engine.Options{})
	b.agent.deps.Engine = replacedEngine{b.agent.deps.Engine, generate}
	b.start()
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	return b
}

// frame returns a line of the engine's protocol.
func frame(id, version string, seq int) string {
	return fmt.Sprintf("{\"request_id\":%q,\"version\":%q,\"seq\":%d,\"text\":\"t\"}\n", id, version, seq)
}

func headLine(id, version string) string {
	return fmt.Sprintf("{\"head\":{\"request_id\":%q,\"version\":%q}}\n", id, version)
}

func endLine(frames int) string { return fmt.Sprintf("{\"end\":{\"frames\":%d}}\n", frames) }

// TestResumedStreamIsOneStream guards against frames of another answer behind those of
// a broken stream, and against a broken stream that looks complete. The engine breaks
// its first stream after two frames; the table has what it sends then.
func TestResumedStreamIsOneStream(t *testing.T) {
	type reply struct {
		status int
		body   string
	}
	first, rest := frame("r1", "v1", 0)+frame("r1", "v1", 1), frame("r1", "v1", 2)
	for name, c := range map[string]struct {
		second reply
		body   string
		code   verdict.Code // empty if the answer is complete
	}{
		"continued":        {reply{200, headLine("r1", "v1") + rest + endLine(3)}, first + rest, ""},
		"nothing was left": {reply{200, headLine("r1", "v1") + endLine(2)}, first, ""},
		"other request":    {reply{200, headLine("r9", "v1") + frame("r9", "v1", 2) + endLine(3)}, first, verdict.CodeBrokenAnswer},
		"frame of another request": {reply{200, headLine("r1", "v1") + frame("r9", "v1", 2) + endLine(3)}, first,
			verdict.CodeBrokenAnswer},
		"other version": {reply{200, headLine("r1", "v2") + frame("r1", "v2", 2) + endLine(3)}, first, verdict.CodeVersionMismatch},
		"frame of another version": {reply{200, headLine("r1", "v1") + frame("r1", "v2", 2) + endLine(3)}, first,
			verdict.CodeVersionMismatch},
		"starts again":     {reply{200, headLine("r1", "v1") + first + rest + endLine(3)}, first, verdict.CodeBrokenAnswer},
		"starts too late":  {reply{200, headLine("r1", "v1") + frame("r1", "v1", 3) + endLine(4)}, first, verdict.CodeBrokenAnswer},
		"error status":     {reply{500, rest}, first, verdict.CodeTargetError},
		"refused":          {reply{409, rest}, first, verdict.CodeVersionNotServing},
		"too few frames":   {reply{200, headLine("r1", "v1") + rest + endLine(9)}, first + rest, verdict.CodeBrokenAnswer},
		"no end":           {reply{200, headLine("r1", "v1") + rest}, first + rest, verdict.CodeTargetError},
		"no head":          {reply{200, rest + endLine(3)}, first, verdict.CodeBrokenAnswer},
		"end of all again": {reply{200, headLine("r1", "v1") + endLine(0)}, first, verdict.CodeBrokenAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n := requests.Add(1)
				switch {
				case n == 1:
					_, _ = io.WriteString(w, headLine("r1", "v1")+first)
				case n > 2 || r.Header.Get("X-Resume-Frames") != "2":
					w.WriteHeader(http.StatusInternalServerError)
				default:
					w.WriteHeader(c.second.status)
					_, _ = io.WriteString(w, c.second.body)
				}
			}))
			t.Cleanup(srv.Close)
			scripted := enginehttp.New(fleet.Address(strings.TrimPrefix(srv.URL, "http://")))
			b := newServingTestbed(t, scripted.Generate)
			_, got, err := b.serve(b.request("r1", "x"))
			if got != c.body || (err == nil) != (c.code == "") {
				t.Fatalf("got %q, %v; want %q", got, err, c.body)
			}
			if err != nil {
				wantError(t, err, verdict.MayHaveRun, c.code)
			}
		})
	}
}

// TestStatedStartIsChecked guards against an agent that continues the answer of another
// agent and states the start that it was asked for although its engine starts elsewhere.
func TestStatedStartIsChecked(t *testing.T) {
	rest := frame("r1", "v1", 2)
	for name, c := range map[string]struct {
		reply string
		body  string
		ok    bool
	}{
		"continued":                {headLine("r1", "v1") + rest + endLine(3), rest, true},
		"nothing was left":         {headLine("r1", "v1") + endLine(2), "", true},
		"starts again":             {headLine("r1", "v1") + frame("r1", "v1", 0) + frame("r1", "v1", 1) + rest + endLine(3), "", false},
		"starts too early":         {headLine("r1", "v1") + frame("r1", "v1", 1) + rest + endLine(3), "", false},
		"starts too late":          {headLine("r1", "v1") + frame("r1", "v1", 3) + endLine(4), "", false},
		"shorter answer":           {headLine("r1", "v1") + endLine(1), "", false},
		"frame of another request": {headLine("r1", "v1") + frame("r9", "v1", 2) + endLine(3), "", false},
		"frame of another version": {headLine("r1", "v1") + frame("r1", "v2", 2) + endLine(3), "", false},
		"ends after its head":      {headLine("r1", "v1"), "", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Resume-Frames") != "2" {
					w.WriteHeader(http.StatusInternalServerError)
				}
				_, _ = io.WriteString(w, c.reply)
			}))
			t.Cleanup(srv.Close)
			b := newServingTestbed(t, enginehttp.New(fleet.Address(strings.TrimPrefix(srv.URL, "http://"))).Generate)
			r := b.request("r1", "x")
			r.Resume, r.Version = 2, "v1"
			head, got, err := b.serve(r)
			if got != c.body || (err == nil) != c.ok {
				t.Fatalf("got %q, %v; want %q", got, err, c.body)
			}
			if c.ok && head.Start != 2 {
				t.Errorf("stated start %d, want 2", head.Start)
			}
			if err != nil && (head != port.AnswerHead{} || verdict.FromError(err).Verdict != verdict.MayHaveRun) {
				t.Errorf("got head %+v, %v; want no head and may-have-run", head, err)
			}
		})
	}
}

// TestEngineHeadIsChecked guards against an error page or a stored answer that reaches
// the entry as a stream, and against an error whose cause is io.EOF that completes one.
func TestEngineHeadIsChecked(t *testing.T) {
	head := port.AnswerHead{ID: "r1", Version: "v1", Status: 200}
	errorStatus, replayed := head, head
	errorStatus.Status, replayed.Replayed = 500, true
	for name, c := range map[string]struct {
		head     port.AnswerHead
		endError error
		body     string
		code     verdict.Code
	}{
		"error status":  {errorStatus, nil, "", verdict.CodeBrokenAnswer},
		"stored answer": {replayed, nil, "", verdict.CodeBrokenAnswer},
		"closed": {head, verdict.Wrap(io.EOF, verdict.MayHaveRun, verdict.CodeTargetLost, "closed"), "x\n",
			verdict.CodeTargetLost},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newServingTestbed(t, func(context.Context, port.EngineRequest) (port.Answer, error) {
				return &porttest.Answer{AnswerHead: c.head, Pieces: [][]byte{[]byte("x\n")}, EndError: c.endError}, nil
			})
			_, got, err := b.serve(b.request("r1", "x"))
			wantError(t, err, verdict.MayHaveRun, c.code)
			if got != c.body {
				t.Errorf("got %q, want %q", got, c.body)
			}
		})
	}
}
