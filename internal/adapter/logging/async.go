package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// queueLines is the capacity of each of the two queues, in lines. A line has
	// about 500 bytes.
	queueLines = 512
	// servedPerSecond limits the lines about served requests. An entry VM serves
	// about 30 requests per second in a burst.
	servedPerSecond = 100
	// otherPerSecond limits all other lines. It leaves room for a burst in which every
	// request is refused, and for state changes of a few hundred targets.
	otherPerSecond = 400
	// closeTimeout limits the wait for the queued lines when a process ends.
	closeTimeout = 200 * time.Millisecond
	// dropReportInterval is the shortest time between two lines that report
	// dropped lines.
	dropReportInterval = time.Second
)

// rateLimit limits the lines of one kind per second and counts dropped ones.
type rateLimit struct {
	linesPerSecond int64
	second         atomic.Int64
	used           atomic.Int64
	dropped        atomic.Int64
}

// allow counts one line and reports whether it is within the limit of this second.
func (l *rateLimit) allow(now time.Time) bool {
	s := now.Unix()
	if old := l.second.Load(); old != s && l.second.CompareAndSwap(old, s) {
		l.used.Store(0)
	}
	return l.used.Add(1) <= l.linesPerSecond
}

// asyncWriter writes lines from its own goroutine, so that callers of the logger
// never wait for a slow reader of the output. It drops lines that exceed the rate
// limit or the queue, and logs how many were dropped. Lines about served requests
// have a lower priority than all others.
type asyncWriter struct {
	w             io.Writer
	served, other chan []byte
	servedLimit   rateLimit
	otherLimit    rateLimit
	stop          chan struct{}
	once          sync.Once
	wg            conc.WaitGroup
	done          chan struct{}
	formatDropped func(served, other int64) []byte
}

func newAsyncWriter(w io.Writer, formatDropped func(served, other int64) []byte) *asyncWriter {
	b := &asyncWriter{
		w: w, served: make(chan []byte, queueLines), other: make(chan []byte, queueLines),
		stop: make(chan struct{}), done: make(chan struct{}), formatDropped: formatDropped,
	}
	b.servedLimit.linesPerSecond, b.otherLimit.linesPerSecond = servedPerSecond, otherPerSecond
	b.wg.Go(b.run)
	return b
}

// limitedWriter puts lines into one of the two queues, subject to its rate limit.
type limitedWriter struct {
	limit *rateLimit
	queue chan []byte
}

// Write implements io.Writer. It never blocks and never fails.
func (l limitedWriter) Write(p []byte) (int, error) {
	if l.limit.allow(time.Now()) {
		select {
		case l.queue <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	l.limit.dropped.Add(1)
	return len(p), nil
}

// run writes lines until stop is closed. It prefers other to served.
func (a *asyncWriter) run() {
	defer close(a.done)
	t := time.NewTicker(dropReportInterval)
	defer t.Stop()
	for {
		select {
		case p := <-a.other:
			a.write(p)
			continue
		default:
		}
		select {
		case p := <-a.other:
			a.write(p)
		case p := <-a.served:
			a.write(p)
		case <-t.C:
			a.reportDropped()
		case <-a.stop:
			a.drain()
			return
		}
	}
}

func (a *asyncWriter) reportDropped() {
	served, other := a.servedLimit.dropped.Swap(0), a.otherLimit.dropped.Swap(0)
	if served+other > 0 {
		a.write(a.formatDropped(served, other))
	}
}

func (a *asyncWriter) drain() {
	for {
		select {
		case p := <-a.other:
			a.write(p)
		case p := <-a.served:
			a.write(p)
		default:
			a.reportDropped()
			return
		}
	}
}

// write ignores errors, since there is no other place to report them.
func (a *asyncWriter) write(p []byte) { _, _ = a.w.Write(p) }

// close writes the queued lines and waits up to closeTimeout for that.
func (a *asyncWriter) close() {
	a.once.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}

func droppedLineFormatter(role, id string) func(served, other int64) []byte {
	return func(served, other int64) []byte {
		return fmt.Appendf(nil, `{"time":%q,"level":"warn","role":%q,"id":%q,"served_lines":%d,"other_lines":%d,"message":"log lines dropped"}`+"\n",
			time.Now().Format(timeFormat), role, id, served, other)
	}
}
