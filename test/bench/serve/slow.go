package main

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	slowCallers  = 1000
	slowTokens   = 20_000
	slowBound    = 32 << 20 // bytes
	slowDuration = 8 * time.Second
)

// runSlow measures the resident memory of an entry whose callers request long
// responses and do not read them.
func runSlow(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domainSpecs(1, 1, 4),
		Engine:     harness.EngineSpec{MaxRequests: 512, ColdRequests: 512},
		LimitLines: limitLines(512, 512),
	})
	if err != nil {
		return err
	}
	if err := declareCustomers(ctx, d, []string{"slow"}); err != nil {
		return err
	}
	warmUp(ctx, d, b, 100, 1, time.Second)
	e := d.Entries[0]
	idle, err := residentBytes(e.Proc.PID)
	if err != nil {
		return err
	}
	conns, err := connectCallers(ctx, e.HTTP)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	if err != nil {
		return err
	}
	peak := int64(0)
	for start := time.Now(); time.Since(start) < slowDuration; {
		m, err := residentBytes(e.Proc.PID)
		if err != nil {
			return err
		}
		peak = max(peak, m)
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	var s struct {
		BytesHeld int64 `json:"bytes_held"`
	}
	if err := harness.GetStatus(ctx, e.Admin, &s); err != nil {
		return err
	}
	comment("resident memory: idle %d, peak %d; the entry counts %d bytes; %d of %d callers were disconnected",
		idle, peak, s.BytesHeld, countDisconnected(conns), slowCallers)
	b.atMost("slow_reader_bytes", float64(peak-idle), "B_rss", slowBound)
	return nil
}

// connectCallers connects the callers and sends their requests. Their receive
// buffers are small, so that the writes of the entry block early.
func connectCallers(ctx context.Context, addr string) ([]net.Conn, error) {
	const maxConnecting, receiveBuffer = 16, 4096
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	body := fmt.Sprintf(`{"max_tokens":%d}`, slowTokens)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\n%s: slow\r\nContent-Length: %d\r\n\r\n%s",
		harness.GeneratePath(harness.Group), harness.HeaderCustomer, len(body), body)
	conns := make([]net.Conn, slowCallers)
	p := pool.New().WithErrors().WithMaxGoroutines(maxConnecting)
	for i := range conns {
		p.Go(func() (err error) {
			if conns[i], err = dialer.DialContext(ctx, "tcp", addr); err != nil {
				return errors.Wrap(err, "connecting a slow caller")
			}
			_, err = conns[i].Write([]byte(request))
			return errors.Wrap(err, "sending the request of a slow caller")
		})
	}
	err := p.Wait()
	open := conns[:0]
	for _, c := range conns {
		if c != nil {
			open = append(open, c)
		}
	}
	return open, err
}

// countDisconnected reads the remaining data of each connection and counts those
// that the entry has closed. A pause in the data means that the connection is open.
func countDisconnected(conns []net.Conn) int {
	n := 0
	for _, c := range conns {
		if isDisconnected(c) {
			n++
		}
	}
	return n
}

// isDisconnected reports whether the connection ends before the response can be
// complete.
func isDisconnected(c net.Conn) bool {
	buf := make([]byte, 64<<10)
	for read := 0; read < 512<<10; {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		k, err := c.Read(buf)
		read += k
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return false
		}
		if err != nil {
			return true
		}
	}
	return false
}
