// Package originhttp implements port.Origin over HTTP:
//
//	GET /v1/versions/{version}/manifest      JSON {"model","chunks":[{"digest","bytes"}]}
//	GET /v1/versions/{version}/chunks/{n}    the bytes of chunk n
package originhttp

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/boundedhttp"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// stallTimeout cancels a call that has received no data for this long.
	stallTimeout = 2 * time.Second
	// bodyGrace and minBytesPerSecond bound the time that reads of a body may block in
	// total. When all VMs fetch at once, a chunk gets a small part of the origin's link;
	// at this rate a chunk of 8 MiB takes nine minutes.
	bodyGrace         = 10 * time.Second
	minBytesPerSecond = 16 << 10
	dialTimeout       = time.Second
	// maxManifestBytes limits the JSON form of a manifest. A chunk takes about
	// 100 bytes there.
	maxManifestBytes = 128 * manifest.MaxChunks
	// RequesterHeader is the header field with the name of the requesting VM.
	RequesterHeader = "X-Masticwing-VM"
)

// Client fetches manifests and chunks from an origin.
type Client struct {
	baseURL string
	vm      fleet.VM
	http    *http.Client
	// grace is the time that an empty body may take.
	grace time.Duration
}

var _ port.Origin = (*Client)(nil)

// New returns a client of the origin at addr. It sends vm as the requester.
func New(addr fleet.Address, vm fleet.VM) *Client {
	d := net.Dialer{Timeout: dialTimeout}
	t := boundedhttp.NewTransport(d.DialContext)
	t.MaxIdleConnsPerHost = 4
	return &Client{baseURL: "http://" + string(addr), vm: vm, http: &http.Client{Transport: t}, grace: bodyGrace}
}

type manifestJSON struct {
	Model  string      `json:"model"`
	Chunks []chunkJSON `json:"chunks"`
}

type chunkJSON struct {
	Digest string `json:"digest"`
	Bytes  int64  `json:"bytes"`
}

// Manifest implements port.Origin. It does not check that the manifest matches v;
// the caller does.
func (c *Client) Manifest(ctx context.Context, v fleet.Version) (manifest.Manifest, error) {
	rc, err := c.get(ctx, "/v1/versions/"+string(v)+"/manifest")
	if err != nil {
		return manifest.Manifest{}, errors.Wrap(err, "requesting manifest from origin")
	}
	defer func() { _ = rc.Close() }()
	// A decoder of the stream would not read up to the end of the response.
	b, err := boundedhttp.ReadAll(rc, maxManifestBytes)
	if err != nil {
		return manifest.Manifest{}, errors.Wrap(err, "requesting manifest from origin")
	}
	var m manifestJSON
	if err := json.Unmarshal(b, &m); err != nil {
		return manifest.Manifest{}, errors.Wrap(err, "decoding manifest")
	}
	out := manifest.Manifest{Model: fleet.Model(m.Model)}
	for _, ch := range m.Chunks {
		var d manifest.Digest
		if len(ch.Digest) != hex.EncodedLen(len(d)) {
			return manifest.Manifest{}, errors.New("manifest has a digest of a wrong length")
		}
		if _, err := hex.Decode(d[:], []byte(ch.Digest)); err != nil {
			return manifest.Manifest{}, errors.Wrap(err, "manifest has a malformed digest")
		}
		out.Chunks = append(out.Chunks, manifest.Chunk{Digest: d, Bytes: ch.Bytes})
	}
	return out, nil
}

// Chunk implements port.Origin.
func (c *Client) Chunk(ctx context.Context, v fleet.Version, i int) (io.ReadCloser, error) {
	rc, err := c.get(ctx, "/v1/versions/"+string(v)+"/chunks/"+strconv.Itoa(i))
	return rc, errors.Wrap(err, "requesting chunk from origin")
}

func (c *Client) get(ctx context.Context, path string) (io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(stallTimeout, cancel)
	fail := func(err error) (io.ReadCloser, error) {
		timer.Stop()
		cancel()
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return fail(err)
	}
	req.Header.Set(RequesterHeader, string(c.vm))
	resp, err := c.http.Do(req)
	if err != nil {
		return fail(err)
	}
	timer.Stop()
	if resp.StatusCode == http.StatusNotFound {
		_ = resp.Body.Close()
		return fail(port.ErrVersionUnknown)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return fail(errors.Errorf("origin answered with status %d", resp.StatusCode))
	}
	return &stallReader{ReadCloser: resp.Body, timer: timer, cancel: cancel, left: c.grace}, nil
}

// stallReader is a response body that cancels its call when a read blocks for
// stallTimeout, or when all reads together block longer than the bytes received
// allow. The time between reads does not count, so that a rate-limited reader is not
// mistaken for a stalled origin.
type stallReader struct {
	io.ReadCloser
	timer  *time.Timer
	cancel context.CancelFunc
	// left is the time for which further reads may block. Each byte adds to it.
	left time.Duration
}

// Read implements io.Reader.
func (b *stallReader) Read(p []byte) (int, error) {
	start := time.Now()
	b.timer.Reset(max(0, min(stallTimeout, b.left)))
	defer b.timer.Stop()
	n, err := b.ReadCloser.Read(p)
	b.left += time.Duration(n)*time.Second/minBytesPerSecond - time.Since(start)
	return n, err
}

// Close implements io.Closer.
func (b *stallReader) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
