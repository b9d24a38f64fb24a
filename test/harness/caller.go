package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Headers and trailers of the entry's HTTP interface.
const (
	HeaderCustomer = "X-Masticwing-Customer"
	HeaderClass    = "X-Masticwing-Class"
	HeaderKey      = "Idempotency-Key"
	HeaderTimeout  = "X-Request-Timeout-Ms"
	HeaderRequest  = "X-Masticwing-Request"
	HeaderVersion  = "X-Masticwing-Version"
	HeaderVerdict  = "X-Masticwing-Verdict"
)

// maxLine bounds one line of a stream.
const maxLine = 1 << 20

// NewKey returns a fresh idempotency key, a UUID of version 7.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Request is a caller's request.
type Request struct {
	// Path is the path at the entry; GeneratePath and CallPath build it.
	Path     string
	Customer string
	Class    string
	Key      string
	Timeout  time.Duration
	Body     string
}

// GeneratePath is the path of a group's generate call.
func GeneratePath(group string) string { return "/v1/groups/" + group + "/generate" }

// CallPath is the path of a call of a plain service.
func CallPath(service, call string) string { return "/v1/services/" + service + "/call/" + call }

// ErrorBody is the error in an answer.
type ErrorBody struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// EndLine is the last line of a whole streamed answer.
type EndLine struct {
	Verdict   string `json:"verdict"`
	Version   string `json:"version"`
	Frames    int    `json:"frames"`
	RequestID string `json:"request_id"`
}

// Answer is what a caller received.
type Answer struct {
	Status    int
	Header    http.Header
	Trailer   http.Header
	RequestID string
	Version   string
	// Verdict is the trailer's, or else the header's.
	Verdict string
	// Lines are the lines of a stream without its last one.
	Lines [][]byte
	// Body is the body of a service's answer.
	Body  []byte
	End   *EndLine
	Error *ErrorBody
	// FirstByte and Total are the times to the first byte and to the end.
	FirstByte, Total time.Duration
}

// Caller sends requests to one entry.
type Caller struct {
	base string
	http *http.Client
}

// NewCaller returns a caller of the entry at addr.
func NewCaller(addr string) *Caller {
	const idle = 64
	return &Caller{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}}
}

// Send sends a request and reads its whole answer. An error means that the
// connection failed; refusals and broken streams are in the answer.
func (c *Caller) Send(ctx context.Context, r Request) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+r.Path, bytes.NewReader([]byte(r.Body)))
	if err != nil {
		return Answer{}, errors.Wrap(err, "building a request")
	}
	// Without GetBody net/http does not repeat a request with an
	// Idempotency-Key by itself after a lost connection. The error of the
	// repeat would hide that the first one may have run.
	req.GetBody = nil
	setHeaders(req.Header, r)
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, errors.Wrap(err, "calling the entry")
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{
		Status: resp.StatusCode, Header: resp.Header, FirstByte: time.Since(start),
		RequestID: resp.Header.Get(HeaderRequest), Version: resp.Header.Get(HeaderVersion),
	}
	err = a.read(resp)
	a.Total, a.Trailer = time.Since(start), resp.Trailer
	a.Verdict = resp.Trailer.Get(HeaderVerdict)
	if a.Verdict == "" {
		a.Verdict = resp.Header.Get(HeaderVerdict)
	}
	return a, err
}

func setHeaders(h http.Header, r Request) {
	h.Set(HeaderCustomer, r.Customer)
	h.Set("Content-Type", "application/json")
	if r.Class != "" {
		h.Set(HeaderClass, r.Class)
	}
	if r.Key != "" {
		h.Set(HeaderKey, r.Key)
	}
	if r.Timeout > 0 {
		h.Set(HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
}

func (a *Answer) read(resp *http.Response) error {
	if resp.Header.Get("Content-Type") == "application/x-ndjson" {
		return a.readStream(resp.Body)
	}
	b, err := io.ReadAll(resp.Body)
	a.Body = b
	if resp.StatusCode/100 != 2 {
		var e struct{ Error *ErrorBody }
		if json.Unmarshal(b, &e) == nil {
			a.Error = e.Error
		}
	}
	return errors.Wrap(err, "reading an answer")
}

func (a *Answer) readStream(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		line := append([]byte(nil), sc.Bytes()...)
		var last struct {
			End   *EndLine
			Error *ErrorBody
		}
		if json.Unmarshal(line, &last) == nil && (last.End != nil || last.Error != nil) {
			a.End, a.Error = last.End, last.Error
			continue
		}
		if a.End != nil || a.Error != nil {
			return errors.New("a line follows the last line of the stream")
		}
		a.Lines = append(a.Lines, line)
	}
	return errors.Wrap(sc.Err(), "reading a stream")
}

// CheckWhole returns an error unless a is the whole answer to one generate
// request from one version.
func (a *Answer) CheckWhole() error {
	switch {
	case a.Error != nil:
		return errors.Errorf("%s (%s): %s", a.Error.Code, a.Error.Verdict, a.Error.Message)
	case a.Status != http.StatusOK:
		return errors.Errorf("status %d", a.Status)
	case a.End == nil:
		return errors.Errorf("the stream ended after %d lines without its last line", len(a.Lines))
	case a.End.Verdict != "ran" || a.Verdict != "ran":
		return errors.Errorf("verdict %q in the last line, %q in the trailer", a.End.Verdict, a.Verdict)
	case a.End.RequestID != a.RequestID:
		return errors.Errorf("request id %q in the last line, %q in the header", a.End.RequestID, a.RequestID)
	case a.End.Version != a.Version || a.Version == "":
		return errors.Errorf("version %q in the last line, %q in the header", a.End.Version, a.Version)
	case a.End.Frames != len(a.Lines):
		return errors.Errorf("%d lines, the last line counts %d", len(a.Lines), a.End.Frames)
	}
	return a.checkLines()
}

// CheckCall returns an error unless a is the whole answer to a call of a plain
// service.
func (a *Answer) CheckCall() error {
	switch {
	case a.Error != nil:
		return errors.Errorf("%s (%s): %s", a.Error.Code, a.Error.Verdict, a.Error.Message)
	case a.Status/100 != 2:
		return errors.Errorf("status %d: %s", a.Status, a.Body)
	case a.Verdict != "ran":
		return errors.Errorf("verdict %q of an answer", a.Verdict)
	}
	return nil
}

// checkLines compares the version and request id of the engine's own lines, as
// far as they carry them.
func (a *Answer) checkLines() error {
	for i, b := range a.Lines {
		var l struct {
			Version   string `json:"version"`
			RequestID string `json:"request_id"`
		}
		if err := json.Unmarshal(b, &l); err != nil {
			return errors.Wrapf(err, "line %d is not JSON: %q", i, b)
		}
		if l.Version != "" && l.Version != a.Version {
			return errors.Errorf("line %d comes from version %q, the answer from %q", i, l.Version, a.Version)
		}
		if l.RequestID != "" && l.RequestID != a.RequestID {
			return errors.Errorf("line %d answers request %q, the answer %q", i, l.RequestID, a.RequestID)
		}
	}
	return nil
}
