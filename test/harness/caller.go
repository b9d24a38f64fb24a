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

// Header and trailer names of the entry's HTTP API.
const (
	HeaderCustomer = "X-Masticwing-Customer"
	HeaderClass    = "X-Masticwing-Class"
	HeaderKey      = "Idempotency-Key"
	HeaderTimeout  = "X-Request-Timeout-Ms"
	HeaderRequest  = "X-Masticwing-Request"
	HeaderVersion  = "X-Masticwing-Version"
	HeaderVerdict  = "X-Masticwing-Verdict"
)

// maxLine bounds one line of a streamed response, in bytes.
const maxLine = 1 << 20

// NewKey returns a new idempotency key, a UUID of version 7.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Request is a request from a caller to an entry.
type Request struct {
	// Path is the URL path, as returned by GeneratePath or CallPath.
	Path     string
	Customer string
	Class    string
	Key      string
	Timeout  time.Duration
	Body     string
}

// GeneratePath returns the URL path of a group's generate endpoint.
func GeneratePath(group string) string { return "/v1/groups/" + group + "/generate" }

// CallPath returns the URL path for a call of a plain service.
func CallPath(service, call string) string { return "/v1/services/" + service + "/call/" + call }

// ErrorBody is the error object in a JSON response or at the end of a stream.
type ErrorBody struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// EndLine is the last line of a complete streamed response.
type EndLine struct {
	Verdict   string `json:"verdict"`
	Version   string `json:"version"`
	Frames    int    `json:"frames"`
	RequestID string `json:"request_id"`
}

// Response is an entry's response as the caller received it.
type Response struct {
	Status    int
	Header    http.Header
	Trailer   http.Header
	RequestID string
	Version   string
	// Verdict is taken from the trailer or, if that has none, from the header.
	Verdict string
	// Lines are the lines of a stream before the line with the end or the error.
	Lines [][]byte
	// Body is the response body if the response is not a stream.
	Body  []byte
	End   *EndLine
	Error *ErrorBody
	// FirstByte is the time until the header arrived, Total until the end of
	// the response.
	FirstByte, Total time.Duration
}

// Caller sends requests to one entry.
type Caller struct {
	base string
	http *http.Client
}

// NewCaller returns a Caller for the entry at addr.
func NewCaller(addr string) *Caller {
	const maxIdleConns = 64
	return &Caller{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}}
}

// Send sends a request and reads the response to its end. An error means that
// the connection failed or that the response could not be read. Refusals and
// errors within a stream are part of the response.
func (c *Caller) Send(ctx context.Context, r Request) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+r.Path, bytes.NewReader([]byte(r.Body)))
	if err != nil {
		return Response{}, errors.Wrap(err, "building a request")
	}
	// Without GetBody, net/http does not automatically retry a request with an
	// Idempotency-Key after a lost connection. The error of a retry would hide
	// that the first attempt may have run.
	req.GetBody = nil
	setHeaders(req.Header, r)
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, errors.Wrap(err, "sending a request to the entry")
	}
	defer func() { _ = resp.Body.Close() }()
	result := Response{
		Status: resp.StatusCode, Header: resp.Header, FirstByte: time.Since(start),
		RequestID: resp.Header.Get(HeaderRequest), Version: resp.Header.Get(HeaderVersion),
	}
	err = result.read(resp)
	result.Total, result.Trailer = time.Since(start), resp.Trailer
	result.Verdict = resp.Trailer.Get(HeaderVerdict)
	if result.Verdict == "" {
		result.Verdict = resp.Header.Get(HeaderVerdict)
	}
	return result, err
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

func (r *Response) read(resp *http.Response) error {
	if resp.Header.Get("Content-Type") == "application/x-ndjson" {
		return r.readStream(resp.Body)
	}
	b, err := io.ReadAll(resp.Body)
	r.Body = b
	if resp.StatusCode/100 != 2 {
		var e struct{ Error *ErrorBody }
		if json.Unmarshal(b, &e) == nil {
			r.Error = e.Error
		}
	}
	return errors.Wrap(err, "reading a response")
}

func (r *Response) readStream(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		line := append([]byte(nil), sc.Bytes()...)
		var last struct {
			End   *EndLine
			Error *ErrorBody
		}
		if json.Unmarshal(line, &last) == nil && (last.End != nil || last.Error != nil) {
			r.End, r.Error = last.End, last.Error
			continue
		}
		if r.End != nil || r.Error != nil {
			return errors.New("a line follows the last line of the stream")
		}
		r.Lines = append(r.Lines, line)
	}
	return errors.Wrap(sc.Err(), "reading a stream")
}

// CheckComplete returns an error unless the response is the complete result of
// one generate request, produced by one version.
func (r *Response) CheckComplete() error {
	switch {
	case r.Error != nil:
		return errors.Errorf("%s (%s): %s", r.Error.Code, r.Error.Verdict, r.Error.Message)
	case r.Status != http.StatusOK:
		return errors.Errorf("status %d", r.Status)
	case r.End == nil:
		return errors.Errorf("the stream ended after %d lines without an end line", len(r.Lines))
	case r.End.Verdict != "ran" || r.Verdict != "ran":
		return errors.Errorf("verdict %q in the last line, %q in the trailer", r.End.Verdict, r.Verdict)
	case r.End.RequestID != r.RequestID:
		return errors.Errorf("request id %q in the last line, %q in the header", r.End.RequestID, r.RequestID)
	case r.End.Version != r.Version || r.Version == "":
		return errors.Errorf("version %q in the last line, %q in the header", r.End.Version, r.Version)
	case r.End.Frames != len(r.Lines):
		return errors.Errorf("%d lines, the last line counts %d", len(r.Lines), r.End.Frames)
	}
	return r.checkLines()
}

// CheckServiceCall returns an error unless the response is the complete result
// of a call of a plain service.
func (r *Response) CheckServiceCall() error {
	switch {
	case r.Error != nil:
		return errors.Errorf("%s (%s): %s", r.Error.Code, r.Error.Verdict, r.Error.Message)
	case r.Status/100 != 2:
		return errors.Errorf("status %d: %s", r.Status, r.Body)
	case r.Verdict != "ran":
		return errors.Errorf("verdict %q of a successful response", r.Verdict)
	}
	return nil
}

// checkLines compares the version and the request id in the engine's lines, where
// present, with those of the response.
func (r *Response) checkLines() error {
	for i, line := range r.Lines {
		var l struct {
			Version   string `json:"version"`
			RequestID string `json:"request_id"`
		}
		if err := json.Unmarshal(line, &l); err != nil {
			return errors.Wrapf(err, "line %d is not JSON: %q", i, line)
		}
		if l.Version != "" && l.Version != r.Version {
			return errors.Errorf("line %d has version %q, the response %q", i, l.Version, r.Version)
		}
		if l.RequestID != "" && l.RequestID != r.RequestID {
			return errors.Errorf("line %d has request id %q, the response %q", i, l.RequestID, r.RequestID)
		}
	}
	return nil
}
