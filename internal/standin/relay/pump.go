package relay

import (
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// The directions of a route.
const (
	toTarget = iota
	toCaller
)

const (
	// pieceBytes is the most that is read at once.
	pieceBytes = 16 << 10
	// queuedPieces bounds what a delay holds per direction of a connection.
	queuedPieces = 256
)

// piece is data on its way, due at a time.
type piece struct {
	data []byte
	due  time.Time
}

// pump carries one direction of a connection until either end closes it. The
// reader and the writer are apart, so that a delay does not lower the rate.
func (r *route) pump(p *pair, dir int) {
	src, dst := p.caller, p.target
	if dir == toCaller {
		src, dst = dst, src
	}
	q := make(chan piece, queuedPieces)
	var wg conc.WaitGroup
	wg.Go(func() { r.readPieces(p, src, q) })
	r.writePieces(p, dst, q, dir)
	wg.Wait()
}

func (r *route) readPieces(p *pair, src net.Conn, q chan<- piece) {
	defer close(q)
	for {
		buf := make([]byte, pieceBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case q <- piece{buf[:n], time.Now().Add(r.delay())}:
			case <-p.end:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *route) writePieces(p *pair, dst net.Conn, q <-chan piece, dir int) {
	for pc := range q {
		due := r.reserve(dir, len(pc.data))
		if pc.due.After(due) {
			due = pc.due
		}
		if !sleepUntil(p, due) || !r.waitThawed(p) {
			break
		}
		r.corrupt(dir, pc.data)
		// Counted first, so that a byte that arrived is in the counts.
		r.count(dir, len(pc.data))
		if _, err := dst.Write(pc.data); err != nil {
			break
		}
	}
	if !r.waitThawed(p) {
		return
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	for range q { // lets the reader end once its connection is closed
	}
}

// corruptFrom is the least size of a piece that is altered.
const corruptFrom = 4 << 10

// corrupt alters the middle of a piece if the route's faults say so.
func (r *route) corrupt(dir int, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dir == toCaller && r.faults.CorruptToCaller && len(b) >= corruptFrom {
		b[len(b)/2] ^= 0xff
		r.passed.Corrupted++
	}
}

func sleepUntil(p *pair, due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.end:
		return false
	}
}

// waitThawed blocks while the connection is frozen. It returns false once the
// connection is reset.
func (r *route) waitThawed(p *pair) bool {
	for {
		r.mu.Lock()
		frozen, change := p.silent || r.faults.Freeze == FreezeAll, r.change
		r.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-change:
		case <-p.end:
			return false
		}
	}
}

func (r *route) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.faults.DelayMillis) * time.Millisecond
}

// reserve takes n bytes of the direction's rate and returns when they are due.
func (r *route) reserve(dir, n int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.faults.BytesPerSecond <= 0 {
		r.next[dir] = now
		return now
	}
	if r.next[dir].Before(now) {
		r.next[dir] = now
	}
	r.next[dir] = r.next[dir].Add(time.Duration(n) * time.Second / time.Duration(r.faults.BytesPerSecond))
	return r.next[dir]
}

func (r *route) count(dir, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dir == toTarget {
		r.passed.ToTarget += int64(n)
		return
	}
	r.passed.ToCaller += int64(n)
}
