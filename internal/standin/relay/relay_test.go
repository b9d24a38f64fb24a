package relay

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// silenceTimeout is the time without data after which a connection counts as
// frozen.
const silenceTimeout = 150 * time.Millisecond

// startEcho returns a relay with one route to an echo server, and the listening
// address of the route.
func startEcho(t *testing.T) (*Relay, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			})
		}
	})
	r := New()
	if err := r.AddRoute("echo", "127.0.0.1:0", lis.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		_ = lis.Close()
		wg.Wait()
	})
	rt, _ := r.route("echo")
	addr := rt.lis.Addr().String()
	rt.listen = addr // keeps the port when a cut route opens again
	return r, addr
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func setFaults(t *testing.T, r *Relay, f Faults) {
	t.Helper()
	if err := r.SetFaults("", f); err != nil {
		t.Fatal(err)
	}
}

// echo sends msg and waits until the server has echoed it.
func echo(c net.Conn, msg string, within time.Duration) error {
	if _, err := c.Write([]byte(msg)); err != nil {
		return err
	}
	return expect(c, msg, within)
}

func expect(c net.Conn, msg string, within time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, len(msg))
	if _, err := io.ReadFull(c, b); err != nil {
		return err
	}
	if string(b) != msg {
		return errors.Errorf("got %q, want %q", b, msg)
	}
	return nil
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// TestCut guards against a cut route that accepts connections or leaves old ones
// open.
func TestCut(t *testing.T) {
	r, addr := startEcho(t)
	old := dial(t, addr)
	if err := echo(old, "ping", time.Second); err != nil {
		t.Fatal(err)
	}
	setFaults(t, r, Faults{Cut: true})
	if err := expect(old, "x", time.Second); err == nil || isTimeout(err) {
		t.Errorf("an open connection outlived the cut: %v", err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Error("a cut route accepts connections")
	}
	setFaults(t, r, Faults{})
	if err := echo(dial(t, addr), "ping", time.Second); err != nil {
		t.Errorf("after the cut: %v", err)
	}
}

// TestCutFrom guards against a cut of some callers that also affects others or
// leaves their open connections in place.
func TestCutFrom(t *testing.T) {
	r, addr := startEcho(t)
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	other, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	c := dial(t, addr)
	setFaults(t, r, Faults{CutFrom: []string{"127.0.0.2"}})
	if err := echo(other, "a", time.Second); err == nil || isTimeout(err) {
		t.Errorf("open connection from the cut address: %v", err)
	}
	if err := echo(c, "b", time.Second); err != nil {
		t.Errorf("connection from another address: %v", err)
	}
	if again, err := d.Dial("tcp", addr); err == nil {
		if err := echo(again, "c", time.Second); err == nil || isTimeout(err) {
			t.Errorf("new connection from the cut address: %v", err)
		}
		_ = again.Close()
	}
}

// TestFreezeOld guards against a FreezeOld that also freezes new connections, or
// whose frozen connections work again after the fault is cleared.
func TestFreezeOld(t *testing.T) {
	r, addr := startEcho(t)
	old := dial(t, addr)
	if err := echo(old, "ping", time.Second); err != nil {
		t.Fatal(err)
	}
	setFaults(t, r, Faults{Freeze: FreezeOld})
	if err := echo(old, "ping", silenceTimeout); !isTimeout(err) {
		t.Errorf("the old connection: %v, want a timeout", err)
	}
	if err := echo(dial(t, addr), "ping", time.Second); err != nil {
		t.Errorf("a new connection: %v", err)
	}
	setFaults(t, r, Faults{})
	if err := expect(old, "ping", silenceTimeout); !isTimeout(err) {
		t.Errorf("the old connection after the fault: %v, want a timeout", err)
	}
}

// TestFreezeAll guards against new connections that are not frozen, and against
// data lost when the fault is cleared.
func TestFreezeAll(t *testing.T) {
	r, addr := startEcho(t)
	old := dial(t, addr)
	setFaults(t, r, Faults{Freeze: FreezeAll})
	fresh := dial(t, addr)
	for _, c := range []net.Conn{old, fresh} {
		if err := echo(c, "ping", silenceTimeout); !isTimeout(err) {
			t.Errorf("a frozen connection: %v, want a timeout", err)
		}
	}
	setFaults(t, r, Faults{})
	for _, c := range []net.Conn{old, fresh} {
		if err := expect(c, "ping", time.Second); err != nil {
			t.Errorf("after the freeze: %v", err)
		}
	}
}

// TestDelay guards against a delay that is missing in one direction, and against
// one that lowers the rate of a long transfer.
func TestDelay(t *testing.T) {
	r, addr := startEcho(t)
	const delay = 100 * time.Millisecond
	setFaults(t, r, Faults{DelayMillis: int(delay.Milliseconds())})
	c := dial(t, addr)
	start := time.Now()
	if err := echo(c, string(make([]byte, 1<<20)), 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 2*delay || took > 10*delay {
		t.Errorf("1 MiB there and back took %v, want a little over %v", took, 2*delay)
	}
}

// TestRateAndCounts guards against a rate limit per connection instead of per
// route, and against counts that miss a direction.
func TestRateAndCounts(t *testing.T) {
	r, addr := startEcho(t)
	const rate, size = 1 << 20, 128 << 10
	setFaults(t, r, Faults{BytesPerSecond: rate})
	start := time.Now()
	var wg conc.WaitGroup
	for range 2 {
		c := dial(t, addr)
		wg.Go(func() {
			if err := echo(c, string(make([]byte, size)), 5*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if took := time.Since(start); took < 240*time.Millisecond || took > 2*time.Second {
		t.Errorf("2 x 128 KiB at 1 MiB/s took %v, want about 250ms", took)
	}
	if got, want := r.Counts()["echo"], (Counts{Connections: 2, ToTarget: 2 * size, ToCaller: 2 * size}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// TestCorrupt guards against a CorruptToCaller that corrupts nothing, so that a
// test which relies on it proves nothing, and against one that corrupts short
// segments or the other direction.
func TestCorrupt(t *testing.T) {
	r, addr := startEcho(t)
	c := dial(t, addr)
	setFaults(t, r, Faults{CorruptToCaller: true})
	if err := echo(c, "short", time.Second); err != nil {
		t.Fatal(err)
	}
	sent := make([]byte, 64<<10)
	if _, err := c.Write(sent); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	altered := int64(0)
	for _, b := range got {
		if b != 0 {
			altered++
		}
	}
	if n := r.Counts()["echo"].Corrupted; altered == 0 || altered != n {
		t.Fatalf("%d bytes altered, %d counted", altered, n)
	}
}

// TestFreezeRequests guards against a fault of calls with one path that also holds up other
// calls, or that leaves a call alone which was in progress when the fault began.
func TestFreezeRequests(t *testing.T) {
	const watch, call = "GET /watch?a=1 HTTP/1.1\r\n\r\n", "POST /call HTTP/1.1\r\n\r\n"
	r, addr := startEcho(t)
	busy, reused, other := dial(t, addr), dial(t, addr), dial(t, addr)
	// The echo server's answer ends the request, so a request that waits has none.
	for _, c := range []net.Conn{reused, other} {
		if err := echo(c, call, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	rt, _ := r.route("echo")
	if err := echo(busy, watch, time.Second); err != nil {
		t.Fatal(err)
	}
	rt.mu.Lock()
	for p := range rt.conns {
		if p.caller.RemoteAddr().String() == busy.LocalAddr().String() {
			p.path = "/watch?a=1"
		}
	}
	rt.mu.Unlock()
	setFaults(t, r, Faults{FreezeRequests: "/watch"})
	if err := echo(busy, "x", silenceTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("request in progress: %v", err)
	}
	if err := echo(reused, watch, silenceTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("new request: %v", err)
	}
	if err := echo(other, call, time.Second); err != nil {
		t.Errorf("other request: %v", err)
	}
	setFaults(t, r, Faults{})
	if err := expect(reused, watch, silenceTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the fault: %v", err)
	}
	if err := echo(dial(t, addr), watch, time.Second); err != nil {
		t.Errorf("new connection after the fault: %v", err)
	}
}
