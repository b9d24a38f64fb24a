package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// sendDelay is the time after the end of a window before which its counts are not decided. Counts of
	// all gateways are with all candidates after about 1.5 s.
	sendDelay = 2 * time.Second
	// settleTime is the time by which a request may be counted after it began.
	settleTime = 500 * time.Millisecond
	// dueMargin is the time before a report is due at which its window is decided with what is known, so
	// that there is time for a write to the store and two attempts at the call.
	dueMargin = 3 * time.Second
	// recordedTime is the time after its end for which a window is recorded: longer than KeptTime, in
	// which it may be sent.
	recordedTime = KeptTime + 30*time.Second
	// minRetryPause and maxRetryPause limit the pause after a failed call, which doubles.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 4 * time.Second
)

// MaxCountingDelay is the time after the begin of a request after which it counts in the window of then.
const MaxCountingDelay = settleTime

// Record is a window whose counts are decided, as it is stored.
type Record struct {
	Window int64
	// Counts is nil if the report is confirmed: it is not sent again.
	Counts    map[fleet.Customer]int64
	Confirmed bool
}

// Stored is what the store holds of the reports.
type Stored struct {
	// Era is that of the store when this was written, or zero.
	Era int64
	// Floor is the first window that may be decided; earlier ones may have been reported.
	Floor   int64
	Records []Record
}

// reportState is the state of a decided window. It is sent only once stored, since the next holder must send
// the same counts.
type reportState struct {
	Record
	stored bool
	// conflicting is set if the store holds other counts than this process has stored, which a store that
	// was restored from an older copy makes possible. It is not sent again.
	conflicting bool
	inFlight    bool
	// givenUp is set once GiveUp has returned the window.
	givenUp bool
	retryAt time.Duration
	pause   time.Duration
}

// Book holds the windows whose counts are decided. Counts never change once the window may have been sent.
// It is not safe for concurrent use.
type Book struct {
	length, due time.Duration
	floor, era  int64
	windows     map[int64]*reportState
}

// NewBook returns an empty book for windows of a length whose reports are due a time after their end.
func NewBook(length, due time.Duration) *Book {
	return &Book{length: length, due: due, windows: map[int64]*reportState{}}
}

// Load adopts what the store holds, at the start of a tenure or when the outcome of a write is unknown and
// that write can't take effect any more. Windows that were never stored are dropped, to be decided anew. era
// is that of the store, or zero. If what was stored is of an earlier one, the store was restored, and windows
// that have ended may have been reported with counts that it has lost: they are not decided.
func (b *Book) Load(s Stored, era int64, now time.Duration) {
	b.floor = max(b.floor, s.Floor)
	if era > max(s.Era, b.era) {
		b.floor = max(b.floor, WindowAt(now, b.length))
	}
	b.era = max(b.era, era)
	maps.DeleteFunc(b.windows, func(_ int64, r *reportState) bool { return !r.stored })
	for _, r := range s.Records {
		old := b.windows[r.Window]
		switch {
		case old == nil:
			b.windows[r.Window] = &reportState{Record: r, stored: true}
		case r.Confirmed:
			old.Confirmed = true
		case !old.Confirmed && !maps.Equal(old.Counts, r.Counts):
			old.conflicting = true
		}
	}
}

// Knowledge is what the holder knows of the counts.
type Knowledge struct {
	// Since is the time from which on this process has heard the gateways.
	Since time.Duration
	// Missing returns how many gateways have not stated complete counts up to a time.
	Missing func(through time.Duration) int
	Window  func(window int64) map[fleet.Customer]int64
}

// Decision is a window whose counts were decided.
type Decision struct {
	Record
	// Missing is the number of gateways whose counts may be incomplete.
	Missing int
}

// Decide fixes the counts of the windows that are to be reported now: sendDelay after their end if all
// gateways have stated theirs, and otherwise dueMargin before they are due. Windows before the knowledge of
// this process of which nothing is known are left out, as are those that are too old to be sent.
func (b *Book) Decide(now time.Duration, k Knowledge) []Decision {
	b.prune(now)
	var out []Decision
	for w := max(b.floor, WindowAt(now-KeptTime, b.length)); WindowEnd(w, b.length)+sendDelay <= now; w++ {
		end := WindowEnd(w, b.length)
		if b.windows[w] != nil {
			continue
		}
		missing := k.Missing(end + settleTime)
		if missing > 0 && now < end+max(sendDelay, b.due-dueMargin) {
			continue
		}
		counts := k.Window(w)
		if len(counts) == 0 && end <= k.Since {
			continue
		}
		r := &reportState{Record: Record{Window: w, Counts: counts}}
		b.windows[w] = r
		out = append(out, Decision{r.Record, missing})
	}
	return out
}

// prune drops windows that are no longer sent, and keeps them from being decided again by a clock that was
// changed.
func (b *Book) prune(now time.Duration) {
	for w := range b.windows {
		if WindowEnd(w, b.length)+recordedTime < now {
			delete(b.windows, w)
			b.floor = max(b.floor, w+1)
		}
	}
}

// Unstored returns what is to be written to the store, and false if a window is not to be written now: only
// confirmations are new, which are written with the next window.
func (b *Book) Unstored() (Stored, bool) {
	s, due := Stored{Era: b.era, Floor: b.floor}, false
	for _, w := range slices.Sorted(maps.Keys(b.windows)) {
		r := b.windows[w]
		due = due || !r.stored
		rec := Record{Window: w, Counts: r.Counts, Confirmed: r.Confirmed}
		if r.Confirmed {
			rec.Counts = nil
		}
		s.Records = append(s.Records, rec)
	}
	return s, due
}

// MarkStored records that s was written.
func (b *Book) MarkStored(s Stored) {
	for _, r := range s.Records {
		if x := b.windows[r.Window]; x != nil {
			x.stored = true
		}
	}
}

// Sends returns the windows to send at a time since boot, oldest first, and marks them as being sent. Later
// windows do not wait for earlier ones.
func (b *Book) Sends(sinceBoot, now time.Duration) []Record {
	var out []Record
	for w, r := range b.windows {
		if r.stored && !r.Confirmed && !r.conflicting && !r.inFlight && sinceBoot >= r.retryAt && now < WindowEnd(w, b.length)+KeptTime {
			r.inFlight = true
			out = append(out, r.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Window, b.Window) })
	return out
}

// Confirm records that the report of a window was accepted. It returns the time since the window's end.
func (b *Book) Confirm(window int64, now time.Duration) time.Duration {
	if r := b.windows[window]; r != nil {
		r.Confirmed, r.inFlight = true, false
	}
	return now - WindowEnd(window, b.length)
}

// Fail records that the report of a window was not confirmed, and returns the pause before the next attempt and
// whether this is the first failure.
func (b *Book) Fail(window int64, sinceBoot time.Duration) (pause time.Duration, first bool) {
	r := b.windows[window]
	if r == nil {
		return 0, false
	}
	first = r.pause == 0
	r.pause = min(max(minRetryPause, 2*r.pause), maxRetryPause)
	r.inFlight, r.retryAt = false, sinceBoot+r.pause
	return r.pause, first
}

// GiveUp returns the windows that will not be sent any more although they are not confirmed, each once.
func (b *Book) GiveUp(now time.Duration) []int64 {
	var out []int64
	for w, r := range b.windows {
		if !r.Confirmed && !r.givenUp && (r.conflicting || now >= WindowEnd(w, b.length)+KeptTime) {
			r.givenUp = true
			out = append(out, w)
		}
	}
	return out
}

// Unconfirmed returns the number of windows that are sent until they are confirmed.
func (b *Book) Unconfirmed(now time.Duration) int {
	n := 0
	for w, r := range b.windows {
		if !r.Confirmed && !r.conflicting && now < WindowEnd(w, b.length)+KeptTime {
			n++
		}
	}
	return n
}
