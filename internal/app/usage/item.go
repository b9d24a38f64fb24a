package usage

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/usage"
)

// storedItem is the item of the store that holds the reports. Later builds may add fields.
type storedItem struct {
	Era     int64          `json:"era,omitempty"`
	Floor   int64          `json:"floor,omitempty"`
	Windows []storedWindow `json:"windows"`
}

type storedWindow struct {
	Window    int64                    `json:"window"`
	Counts    map[fleet.Customer]int64 `json:"counts,omitempty"`
	Confirmed bool                     `json:"confirmed,omitempty"`
}

func encodeStored(s usage.Stored) ([]byte, error) {
	it := storedItem{Era: s.Era, Floor: s.Floor, Windows: []storedWindow{}}
	for _, r := range s.Records {
		it.Windows = append(it.Windows, storedWindow(r))
	}
	b, err := json.Marshal(it)
	return b, errors.Wrap(err, "encoding the usage reports")
}

func decodeStored(b []byte) (usage.Stored, error) {
	var it storedItem
	if err := json.Unmarshal(b, &it); err != nil {
		return usage.Stored{}, errors.Wrap(err, "decoding the usage reports")
	}
	s := usage.Stored{Era: it.Era, Floor: it.Floor}
	for _, w := range it.Windows {
		if w.Window < 0 {
			return usage.Stored{}, errors.Errorf("window %d", w.Window)
		}
		s.Records = append(s.Records, usage.Record(w))
	}
	return s, nil
}
