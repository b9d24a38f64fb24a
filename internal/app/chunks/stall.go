package chunks

import (
	"fmt"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// stallLogInterval is the time without a further chunk after which a fetch is logged as stalled, and
// the pause between two such lines.
const stallLogInterval = time.Second

// stallLog logs what a fetch waits for while it makes no progress.
type stallLog struct {
	f       *Fetcher
	v       *version
	missing int
	// since is the time of the last chunk, and loggedAt that of the last line.
	since, loggedAt time.Time
}

func (s *stallLog) check(now time.Time) {
	if n := s.v.table.MissingCount(); n != s.missing {
		s.missing, s.since = n, now
	}
	if now.Sub(s.since) < stallLogInterval || now.Sub(s.loggedAt) < stallLogInterval {
		return
	}
	s.loggedAt = now
	st := s.v.table.Stall(now)
	sources := make([]string, 0, len(st.Sources))
	for _, m := range st.Sources {
		sources = append(sources, fmt.Sprintf("%s:%d", m.VM, m.Chunks))
	}
	s.f.deps.Log.StateChange("fetch is stalled", port.F("version", string(s.v.name)), port.Millis("stalled_ms", now.Sub(s.since)), port.F("missing", st.Missing),
		port.F("from_origin", st.Origin), port.F("sources", sources), port.F("skipped_members", st.Skipped), port.F("corrupted", st.Corrupted))
}
