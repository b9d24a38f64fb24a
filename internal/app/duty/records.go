package duty

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	core "github.com/masticwing/masticwing/internal/core/duty"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Keys of the election under the prefix of the duties.
const (
	// keyHolder is bound to the lease of the holder.
	keyHolder = "holder"
	// keyToken has no lease. It holds the last holder and the counter of holders.
	keyToken = "token"
)

// holderDoc is the value of both keys.
type holderDoc struct {
	Name        string       `json:"name"`
	Domain      fleet.Domain `json:"domain"`
	Incarnation uint64       `json:"incarnation"`
	Lease       string       `json:"lease"`
	Era         int64        `json:"era"`
	Counter     int64        `json:"counter"`
	// Since is the time of the election by the clock of the holder, for operators, in Unix milliseconds.
	Since int64 `json:"since_ms"`
}

// decodeRecord returns the record of an item. One that can't be read names no process: the key of such a holder
// stays until its lease ends.
func decodeRecord(it port.StoreItem) core.Record {
	r, _ := decodeHolder(it)
	return r
}

func decodeHolder(it port.StoreItem) (core.Record, holderDoc) {
	var d holderDoc
	if json.Unmarshal(it.Value, &d) != nil {
		d = holderDoc{}
	}
	return core.Record{Holder: core.Holder{
		Name: d.Name, Domain: d.Domain, Incarnation: d.Incarnation, Lease: d.Lease, Era: d.Era, Counter: d.Counter,
	}, Revision: it.Revision}, d
}

// errNoToken means that the counter of holders can't be read, without which a token could repeat.
var errNoToken = errors.New("counter of the holders of the singleton duties can't be read")

// list reads the state of the election.
func (h *Holder) list(ctx context.Context) (core.Listing, error) {
	items, at, err := h.d.Store.List(ctx, h.d.Prefix)
	if err != nil {
		return core.Listing{}, errors.Wrap(err, "listing the duties")
	}
	l := core.Listing{At: at}
	for _, it := range items {
		switch it.Key {
		case h.d.Prefix + keyHolder:
			l.Holder = decodeRecord(it)
		case h.d.Prefix + keyToken:
			if l.Last = decodeRecord(it); l.Last.Counter <= 0 {
				h.d.Log.Failure("duties have no holder", errNoToken, port.F("key", it.Key))
				return core.Listing{}, errNoToken
			}
		}
	}
	return l, nil
}

// elect writes this process as the holder, if the store is as it was listed.
func (h *Holder) elect(ctx context.Context, a core.Action) error {
	x := a.Holder
	value, err := json.Marshal(holderDoc{x.Name, x.Domain, x.Incarnation, x.Lease, x.Era, x.Counter, h.d.Clock.Now().UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encoding the holder of the duties")
	}
	return h.d.Store.Commit(ctx, []port.Precondition{
		{Key: h.d.Prefix + keyHolder, Revision: a.Base.Holder.Revision},
		{Key: h.d.Prefix + keyToken, Revision: a.Base.Last.Revision},
	}, []port.StoreWrite{
		{Key: h.d.Prefix + keyHolder, Value: value, Lease: port.LeaseID(x.Lease)},
		{Key: h.d.Prefix + keyToken, Value: value},
	})
}

// Status is the state of the singleton duties in the store, for operators.
type Status struct {
	// Holder is the name of the holder, or empty if there is none.
	Holder string
	Domain fleet.Domain
	Token  int64
	// Since is the time of the election by the clock of the holder.
	Since time.Time
	// Last is the last process that became the holder, and LastToken its token.
	Last      string
	LastToken int64
	// Items are the other keys of the duties, without their prefix: the last window reported and the last
	// scaling orders.
	Items []port.StoreItem
}

// ReadStatus reads the state of the duties under prefix.
func ReadStatus(ctx context.Context, store port.Store, prefix string) (Status, error) {
	items, _, err := store.List(ctx, prefix)
	if err != nil {
		return Status{}, errors.Wrap(err, "listing the duties")
	}
	var s Status
	for _, it := range items {
		r, d := decodeHolder(it)
		switch it.Key = it.Key[len(prefix):]; it.Key {
		case keyHolder:
			s.Holder, s.Domain, s.Token, s.Since = r.Name, r.Domain, r.Token(), time.UnixMilli(d.Since)
		case keyToken:
			s.Last, s.LastToken = r.Name, r.Token()
		default:
			s.Items = append(s.Items, it)
		}
	}
	return s, nil
}
