package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	runs  int
	// broken lists the runs whose tokens were made with weights that break WHOLE.
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// excusedTime is the time for which a piece may have been bad where it lay when its layers were
// taken: "not if it had turned bad there in the last 3 s".
const excusedTime = 3 * time.Second

// ran records that an engine begins to work on a request.
func (r *record) ran(id, engine string, w held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	for _, b := range w.bad {
		if b.since == 0 || b.since > excusedTime {
			r.broken = append(r.broken, id)
			r.line("%s: runs %s with version %d, whose piece %d was bad for %.3f s when its layers were taken: WHOLE is broken",
				engine, id, w.version, b.piece, b.since.Seconds())
			return
		}
	}
	r.line("%s: runs %s with version %d", engine, id, w.version)
}
