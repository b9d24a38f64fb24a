package abuse

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/platform/platformtest"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	// crowdPrefix begins the ids of the crowd's requests.
	crowdPrefix = "crowd"
	// crowdTime is how long the crowd is there before an ordinary request is sent beside it.
	crowdTime = 8 * time.Second
	// reconnectPause is the time after which a caller of the crowd that was cut off connects again.
	reconnectPause = 200 * time.Millisecond
	// ordinaryTimeout is the time after which the test gives up on an ordinary request.
	ordinaryTimeout = time.Minute
	// overLimitBytes is how much a caller sends at most of a body that is over the limit.
	overLimitBytes = 64 << 20
	watchInterval  = 50 * time.Millisecond
)

// crowdTest is a process that serves callers.
type crowdTest struct {
	t       *testing.T
	process *harness.Process
	// callers is the address for callers, and healthURL answers as long as the process does not hang.
	callers, healthURL string
	// memoryMiB and descriptors are the bounds of the process, bodyBytes is the longest body that it accepts.
	memoryMiB, descriptors, bodyBytes int
	// head returns the head of a request with the header fields that frame its body.
	head func(id, framing string) string
	// body returns the body of an ordinary request.
	body            func(id string) string
	peakDescriptors int
	ordinary        int
}

// writer sends a request that never ends. It may block until the connection is closed.
type writer func(c *crowdTest, w io.Writer, id string) error

// sendHead sends the head of a request and then the start of its body.
func (c *crowdTest) sendHead(w io.Writer, id, framing, start string) error {
	_, err := io.WriteString(w, c.head(id, framing)+start)
	return err
}

const (
	chunkedBody = "Transfer-Encoding: chunked\r\n"
	// fieldBytes is the length of a header that is nearly as long as a gateway allows.
	fieldBytes = 14 << 10
)

func smallChunks(c *crowdTest, w io.Writer, id string) error {
	return c.sendHead(w, id, chunkedBody, "5\r\nabcde\r\n5\r\nabcd")
}

func tinyChunks(c *crowdTest, w io.Writer, id string) error {
	const chunks = 64 << 10
	return c.sendHead(w, id, chunkedBody, strings.Repeat("1\r\nx\r\n", chunks)+"1\r\n")
}

func largeChunk(c *crowdTest, w io.Writer, id string) error {
	const missing = 100
	if err := c.sendHead(w, id, chunkedBody, fmt.Sprintf("%x\r\n", c.bodyBytes)); err != nil {
		return err
	}
	return fill(w, c.bodyBytes-missing)
}

func announced(c *crowdTest, w io.Writer, id string) error {
	if err := c.sendHead(w, id, fmt.Sprintf("Content-Length: %d\r\n", c.bodyBytes), ""); err != nil {
		return err
	}
	return fill(w, c.bodyBytes-1)
}

func longHeader(c *crowdTest, w io.Writer, id string) error {
	return c.sendHead(w, id, chunkedBody+"X-Filler: "+strings.Repeat("x", fieldBytes)+"\r\n", "5\r\nabcde\r\n5\r\nabcd")
}

// endlessHeader sends 900 KiB of a header, of which gateways allow 16 KiB.
func endlessHeader(c *crowdTest, w io.Writer, id string) error {
	head := strings.TrimSuffix(c.head(id, "X-Filler: "), "\r\n")
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	return fill(w, 900<<10)
}

func announcedOverLimit(c *crowdTest, w io.Writer, id string) error {
	if err := c.sendHead(w, id, fmt.Sprintf("Content-Length: %d\r\n", int64(1)<<40), ""); err != nil {
		return err
	}
	return fill(w, overLimitBytes)
}

func chunkedOverLimit(c *crowdTest, w io.Writer, id string) error {
	if err := c.sendHead(w, id, chunkedBody, fmt.Sprintf("%x\r\n", int64(1)<<40)); err != nil {
		return err
	}
	return fill(w, overLimitBytes)
}

var filler = bytes.Repeat([]byte("."), 64<<10)

// fill writes n bytes.
func fill(w io.Writer, n int) error {
	for n > 0 {
		m, err := w.Write(filler[:min(n, len(filler))])
		if err != nil {
			return err
		}
		n -= m
	}
	return nil
}

// run lets a crowd of callers connect, each of which behaves like one of the writers, and sends ordinary requests
// beside it and after it.
func (c *crowdTest) run(callers int, writers ...writer) {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { c.watch(ctx) })
	for i := range callers {
		wg.Go(func() { c.abuse(ctx, i, writers[i%len(writers)]) })
	}
	time.Sleep(crowdTime)
	c.serveOrdinary("beside the crowd")
	cancel()
	wg.Wait()
	c.serveOrdinary("after the crowd")
}

// abuse sends requests that never end until ctx ends.
func (c *crowdTest) abuse(ctx context.Context, caller int, write writer) {
	for n := 0; ctx.Err() == nil; n++ {
		c.abuseOnce(ctx, fmt.Sprintf("%s%05d%04d", crowdPrefix, caller, n), write)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// abuseOnce sends one request that never ends, and reads until the process closes the connection.
func (c *crowdTest) abuseOnce(ctx context.Context, id string, write writer) {
	dialer := net.Dialer{Timeout: 5 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", c.callers)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if write(c, conn, id) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// watch records the open descriptors of the process until ctx ends.
func (c *crowdTest) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.process.PID)); err == nil {
			c.peakDescriptors = max(c.peakDescriptors, len(fds))
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}

// check fails the test if the process has ended, does not answer, or has exceeded a bound.
func (c *crowdTest) check() {
	c.t.Helper()
	select {
	case <-c.process.Done():
		c.t.Fatalf("the process ended with exit code %d", c.process.ExitCode())
	default:
	}
	client := http.Client{Timeout: ordinaryTimeout}
	if res, err := client.Get(c.healthURL); err != nil {
		c.t.Errorf("the process does not answer: %v", err)
	} else {
		_ = res.Body.Close()
	}
	peakKiB := c.peakKiB()
	c.t.Logf("peak memory %d of %d KiB, %d of %d descriptors", peakKiB, c.memoryMiB<<10, c.peakDescriptors, c.descriptors)
	if peakKiB == 0 || peakKiB > c.memoryMiB<<10 {
		c.t.Errorf("the process used %d KiB of memory; its limit is %d KiB", peakKiB, c.memoryMiB<<10)
	}
	if c.peakDescriptors > c.descriptors {
		c.t.Errorf("the process had %d descriptors open; its limit is %d", c.peakDescriptors, c.descriptors)
	}
}

// peakKiB returns the highest memory use of the process so far, or zero if it can't be read.
func (c *crowdTest) peakKiB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.process.PID))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.Atoi(string(fields[0]))
	return kib
}

// serveOrdinary sends an ordinary request until it is served. A caller that is refused comes back.
func (c *crowdTest) serveOrdinary(when string) {
	c.t.Helper()
	var last string
	for end := time.Now().Add(ordinaryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c.ordinary++
		id := fmt.Sprintf("ordinary%04d", c.ordinary)
		body := c.body(id)
		status, err := c.send(c.head(id, fmt.Sprintf("Content-Length: %d\r\n", len(body))), strings.NewReader(body))
		if err == nil && status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, %v", status, err)
	}
	c.t.Errorf("%s: no ordinary request is served: %s", when, last)
}

// send sends a request on a new connection and returns the status of its complete response.
func (c *crowdTest) send(head string, body io.Reader) (int, error) {
	conn, err := net.DialTimeout("tcp", c.callers, 5*time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, err
	}
	if _, err := io.Copy(conn, body); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// sendLongBody sends a request with the longest body that is allowed, in chunks of a size, or with its length
// if the size is zero.
func (c *crowdTest) sendLongBody(id string, chunk int) (int, error) {
	body := platformtest.LongBody(id)
	if chunk == 0 {
		return c.send(c.head(id, fmt.Sprintf("Content-Length: %d\r\n", platformtest.LongBodyBytes)), body)
	}
	all, err := io.ReadAll(body)
	if err != nil {
		return 0, err
	}
	var b bytes.Buffer
	for len(all) > 0 {
		n := min(chunk, len(all))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, all[:n])
		all = all[n:]
	}
	b.WriteString("0\r\n\r\n")
	return c.send(c.head(id, chunkedBody), &b)
}
