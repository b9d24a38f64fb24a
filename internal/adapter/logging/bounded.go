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
	// queued bounds the lines that wait for a slow reader, of each kind. A line
	// has about 500 bytes.
	queued = 512
	// servedPerSecond bounds the lines on served requests. An entry VM serves
	// about 30 requests a second in a burst.
	servedPerSecond = 100
	// otherPerSecond bounds all other lines: a burst in which every request is
	// refused, and changes of a few hundred targets.
	otherPerSecond = 400
	// closeTime bounds the wait for the last lines when a process ends.
	closeTime = 200 * time.Millisecond
	// reportEvery is the pause between two lines that tell of dropped ones.
	reportEvery = time.Second
)

// allowance counts the lines of one kind within a second.
type allowance struct {
	limit   int64
	second  atomic.Int64
	used    atomic.Int64
	dropped atomic.Int64
}

// take reports whether one more line may be written in this second.
func (a *allowance) take(now time.Time) bool {
	s := now.Unix()
	if old := a.second.Load(); old != s && a.second.CompareAndSwap(old, s) {
		a.used.Store(0)
	}
	return a.used.Add(1) <= a.limit
}

// bounded writes lines from a goroutine of its own, so that nobody who logs waits
// for a reader. It drops lines beyond a rate and a queue, and says how many.
// Lines on served requests give way to all others.
type bounded struct {
	w             io.Writer
	served, other chan []byte
	allowServed   allowance
	allowOther    allowance
	stop          chan struct{}
	once          sync.Once
	wg            conc.WaitGroup
	done          chan struct{}
	dropLine      func(served, other int64) []byte
}

func newBounded(w io.Writer, dropLine func(served, other int64) []byte) *bounded {
	b := &bounded{
		w: w, served: make(chan []byte, queued), other: make(chan []byte, queued),
		stop: make(chan struct{}), done: make(chan struct{}), dropLine: dropLine,
	}
	b.allowServed.limit, b.allowOther.limit = servedPerSecond, otherPerSecond
	b.wg.Go(b.run)
	return b
}

// lane is one of the two kinds of lines.
type lane struct {
	allow *allowance
	queue chan []byte
}

// Write implements io.Writer. It never waits and never fails.
func (l lane) Write(p []byte) (int, error) {
	if l.allow.take(time.Now()) {
		select {
		case l.queue <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	l.allow.dropped.Add(1)
	return len(p), nil
}

// run writes lines until the end, those of the other kind first.
func (b *bounded) run() {
	defer close(b.done)
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case p := <-b.other:
			b.write(p)
			continue
		default:
		}
		select {
		case p := <-b.other:
			b.write(p)
		case p := <-b.served:
			b.write(p)
		case <-t.C:
			b.report()
		case <-b.stop:
			b.drain()
			return
		}
	}
}

func (b *bounded) report() {
	served, other := b.allowServed.dropped.Swap(0), b.allowOther.dropped.Swap(0)
	if served+other > 0 {
		b.write(b.dropLine(served, other))
	}
}

func (b *bounded) drain() {
	for {
		select {
		case p := <-b.other:
			b.write(p)
		case p := <-b.served:
			b.write(p)
		default:
			b.report()
			return
		}
	}
}

// write ignores errors: there is no other place to report them.
func (b *bounded) write(p []byte) { _, _ = b.w.Write(p) }

// close writes the lines that wait, within a moment.
func (b *bounded) close() {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-time.After(closeTime):
	}
}

func dropLine(role, id string) func(served, other int64) []byte {
	return func(served, other int64) []byte {
		return fmt.Appendf(nil, `{"time":%q,"level":"warn","role":%q,"id":%q,"served_lines":%d,"other_lines":%d,"message":"log lines dropped"}`+"\n",
			time.Now().Format(timeFormat), role, id, served, other)
	}
}
