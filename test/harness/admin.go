package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// adminTimeout bounds one request to an admin endpoint.
const adminTimeout = 5 * time.Second

var adminClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}

func doRequest(ctx context.Context, method, url string, body []byte) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, errors.Wrap(err, "building an admin request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := adminClient.Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(err, "sending an admin request")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return b, resp.StatusCode, errors.Wrap(err, "reading an admin response")
}

// CallJSON sends in as JSON to an admin endpoint and decodes the JSON response
// into out. Either may be nil. A status other than 2xx is an error.
func CallJSON(ctx context.Context, method, url string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encoding an admin request")
		}
	}
	b, status, err := doRequest(ctx, method, url, body)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return errors.Errorf("%s %s: status %d: %s", method, url, status, b)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(b, out), "decoding the response of %s", url)
}

// SetFaults replaces the injected faults of the stand-in at addr. The zero value
// of its Faults type clears them.
func SetFaults(ctx context.Context, addr string, faults any) error {
	return CallJSON(ctx, http.MethodPost, "http://"+addr+"/faults", faults, nil)
}

// GetCounts returns the number of calls that the stand-in at addr has received,
// by kind. Values that are not plain numbers are left out.
func GetCounts(ctx context.Context, addr string) (map[string]int64, error) {
	var all map[string]any
	if err := CallJSON(ctx, http.MethodGet, "http://"+addr+"/counts", nil, &all); err != nil {
		return nil, err
	}
	m := map[string]int64{}
	for k, v := range all {
		if n, ok := v.(float64); ok {
			m[k] = int64(n)
		}
	}
	return m, nil
}

// GetReadyz returns the status code and the body of a daemon's /readyz.
func GetReadyz(ctx context.Context, admin string) (int, string, error) {
	b, status, err := doRequest(ctx, http.MethodGet, "http://"+admin+"/readyz", nil)
	return status, string(b), err
}

// GetStatus decodes the JSON of a daemon's /status into out.
func GetStatus(ctx context.Context, admin string, out any) error {
	return CallJSON(ctx, http.MethodGet, "http://"+admin+"/status", nil, out)
}
