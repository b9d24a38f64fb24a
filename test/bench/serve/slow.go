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
	slowCallers = 1000
	slowTokens  = 20_000
	slowBound   = 32 << 20
	slowWatch   = 8 * time.Second
)

// runSlow measures the resident memory of an entry with callers that ask for
// long answers and read nothing.
func runSlow(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domains(1, 1, 4),
		Engine:     harness.EngineSpec{MaxRequests: 512, ColdRequests: 512},
		LimitLines: limits(512, 512),
	})
	if err != nil {
		return err
	}
	if err := customers(ctx, d, []string{"slow"}); err != nil {
		return err
	}
	warm(ctx, d, b, 100, 1, time.Second)
	e := d.Entries[0]
	idle, err := rss(e.Proc.PID)
	if err != nil {
		return err
	}
	conns, err := silentCallers(ctx, e.HTTP)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	if err != nil {
		return err
	}
	peak := int64(0)
	for start := time.Now(); time.Since(start) < slowWatch; {
		m, err := rss(e.Proc.PID)
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
	note("resident memory: idle %d, peak %d; the entry counts %d bytes; %d of %d callers were ended",
		idle, peak, s.BytesHeld, countEnded(conns), slowCallers)
	b.atMost("slow_reader_bytes", float64(peak-idle), "B_rss", slowBound)
	return nil
}

// silentCallers connects the callers and sends their requests. Their receive
// buffers are small, so that the entry feels at once that they do not read.
func silentCallers(ctx context.Context, addr string) ([]net.Conn, error) {
	const connecting, receiveBuffer = 16, 4096
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if cerr != nil {
			return cerr
		}
		return err
	}}
	body := fmt.Sprintf(`{"max_tokens":%d}`, slowTokens)
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\n%s: slow\r\nContent-Length: %d\r\n\r\n%s",
		harness.GeneratePath(harness.Group), harness.HeaderCustomer, len(body), body)
	conns := make([]net.Conn, slowCallers)
	p := pool.New().WithErrors().WithMaxGoroutines(connecting)
	for i := range conns {
		p.Go(func() (err error) {
			if conns[i], err = dialer.DialContext(ctx, "tcp", addr); err != nil {
				return errors.Wrap(err, "connecting a slow caller")
			}
			_, err = conns[i].Write([]byte(text))
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

// countEnded reads what is left in each connection; one that ends without a
// pause was ended by the entry.
func countEnded(conns []net.Conn) int {
	n := 0
	for _, c := range conns {
		if ended(c) {
			n++
		}
	}
	return n
}

// ended reports whether the connection ends before the answer could be whole.
func ended(c net.Conn) bool {
	buf := make([]byte, 64<<10)
	for read := 0; read < 512<<10; {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		k, err := c.Read(buf)
		read += k
		var t net.Error
		if errors.As(err, &t) && t.Timeout() {
			return false
		}
		if err != nil {
			return true
		}
	}
	return false
}
