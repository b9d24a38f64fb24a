package relay

import (
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// Directions of a route.
const (
	toTarget = iota
	toCaller
)

const (
	// segmentBytes is the most that one read returns.
	segmentBytes = 16 << 10
	// queuedSegments bounds the delayed segments per direction of a connection.
	queuedSegments = 256
)

// segment is data in transit that may not be delivered before due.
type segment struct {
	data []byte
	due  time.Time
}

// pump copies one direction of a connection until either end closes it. The
// reader and the writer run concurrently, so that a delay does not lower the
// rate.
func (r *route) pump(p *connPair, dir int) {
	src, dst := p.caller, p.target
	if dir == toCaller {
		src, dst = dst, src
	}
	q := make(chan segment, queuedSegments)
	var wg conc.WaitGroup
	wg.Go(func() { r.readSegments(p, src, q) })
	r.writeSegments(p, dst, q, dir)
	wg.Wait()
}

func (r *route) readSegments(p *connPair, src net.Conn, q chan<- segment) {
	defer close(q)
	for {
		buf := make([]byte, segmentBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case q <- segment{buf[:n], time.Now().Add(r.delay())}:
			case <-p.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *route) writeSegments(p *connPair, dst net.Conn, q <-chan segment, dir int) {
	for pc := range q {
		due := r.reserve(dir, len(pc.data))
		if pc.due.After(due) {
			due = pc.due
		}
		if !sleepUntil(p, due) {
			break
		}
		r.noteRequest(p, dir, pc.data)
		if !r.waitUnfrozen(p) {
			break
		}
		r.corrupt(dir, pc.data)
		// Counted before the write, so that the counts include every byte that
		// has arrived.
		r.count(dir, len(pc.data))
		if _, err := dst.Write(pc.data); err != nil {
			break
		}
	}
	if !r.waitUnfrozen(p) {
		return
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	for range q { // unblocks the reader until its connection is closed
	}
}

// minCorruptBytes is the size of the smallest segment that is corrupted.
const minCorruptBytes = 4 << 10

// corrupt inverts the middle byte of a segment if the route has the fault
// CorruptToCaller.
func (r *route) corrupt(dir int, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dir == toCaller && r.faults.CorruptToCaller && len(b) >= minCorruptBytes {
		b[len(b)/2] ^= 0xff
		r.traffic.Corrupted++
	}
}

func sleepUntil(p *connPair, due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}

// waitUnfrozen blocks while the connection is frozen. It returns false if the
// connection is reset.
func (r *route) waitUnfrozen(p *connPair) bool {
	for {
		r.mu.Lock()
		blocked, faultsChanged := p.frozen || r.faults.Freeze == FreezeAll, r.faultsChanged
		r.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-faultsChanged:
		case <-p.done:
			return false
		}
	}
}

func (r *route) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.faults.DelayMillis) * time.Millisecond
}

// reserve reserves n bytes of the direction's rate and returns the time at which
// they may be sent.
func (r *route) reserve(dir, n int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.faults.BytesPerSecond <= 0 {
		r.nextSend[dir] = now
		return now
	}
	if r.nextSend[dir].Before(now) {
		r.nextSend[dir] = now
	}
	r.nextSend[dir] = r.nextSend[dir].Add(time.Duration(n) * time.Second / time.Duration(r.faults.BytesPerSecond))
	return r.nextSend[dir]
}

func (r *route) count(dir, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dir == toTarget {
		r.traffic.ToTarget += int64(n)
		return
	}
	r.traffic.ToCaller += int64(n)
}
