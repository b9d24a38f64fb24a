package scaling

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	core "github.com/masticwing/masticwing/internal/core/scaling"
	"github.com/masticwing/masticwing/internal/port"
)

// RecordKey is the key of the store that holds the last order of each subject.
const RecordKey = "masticwing/duties/scale"

// storedOrder is the last order of a subject in the store.
type storedOrder struct {
	Service fleet.Service `json:"service"`
	Domain  fleet.Domain  `json:"domain"`
	Desired int           `json:"desired"`
	// Confirmed is set once the platform has accepted the order.
	Confirmed bool `json:"confirmed,omitempty"`
	// AtMs is the time of the decision in Unix milliseconds, for operators.
	AtMs int64 `json:"at_ms"`
	// Era is the era of the store in which the order was written.
	Era int64 `json:"era,omitempty"`
}

// storeEra returns the era of a store, or 0 if it states none.
func storeEra(s port.Store) int64 {
	if e, ok := s.(port.StoreEra); ok {
		return e.Era()
	}
	return 0
}

// maxDesired bounds the number in a record: another one can't be meant.
const maxDesired = 1 << 20

// readRecord returns the last orders in the store and the revision of the record, 0 if there is none. A bad order
// costs only itself. bad counts these, and is 1 for a record that can't be read.
func readRecord(ctx context.Context, s port.Store) (orders []storedOrder, revision int64, bad int, err error) {
	items, _, err := s.List(ctx, RecordKey)
	if err != nil {
		return nil, 0, 0, errors.Wrap(err, "reading the last scaling orders")
	}
	i := slices.IndexFunc(items, func(it port.StoreItem) bool { return it.Key == RecordKey })
	if i < 0 {
		return nil, 0, 0, nil
	}
	var raw []json.RawMessage
	if json.Unmarshal(items[i].Value, &raw) != nil {
		return nil, items[i].Revision, 1, nil
	}
	for _, b := range raw {
		var o storedOrder
		if json.Unmarshal(b, &o) != nil || o.Service == "" || o.Domain == "" || o.Desired < 0 || o.Desired > maxDesired {
			bad++
			continue
		}
		orders = append(orders, o)
	}
	return orders, items[i].Revision, bad, nil
}

// encodeRecord returns the value of the record, in a fixed order.
func encodeRecord(last map[core.Subject]*lastOrder, era int64) ([]byte, error) {
	all := make([]storedOrder, 0, len(last))
	for s, o := range last {
		all = append(all, storedOrder{s.Service, s.Domain, o.desired, o.confirmed, o.decidedAt.UnixMilli(), era})
	}
	slices.SortFunc(all, func(a, b storedOrder) int {
		if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Domain), string(b.Domain))
	})
	return json.Marshal(all)
}

// lastOrder is the last order of a subject.
type lastOrder struct {
	desired   int
	decidedAt time.Time
	confirmed bool
	// uncertain is set while a call may have been done without a response. It is also set for an order of an earlier
	// holder that is not confirmed.
	uncertain bool
	// dueAt is the time of the next call, and pause the pause after it.
	dueAt time.Time
	pause time.Duration
}
