package gateway

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/leased"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/port"
)

// QuarantineOperator changes which requests and parts of prompts all gateways refuse, for operators.
type QuarantineOperator struct {
	Store   port.Store
	Decoder port.ItemDecoder
}

// List returns the evidence against all subjects. Items that can't be read are left out.
func (o QuarantineOperator) List(ctx context.Context) ([]port.QuarantineItem, error) {
	items, _, err := o.Store.List(ctx, o.Decoder.Prefixes().Quarantine)
	if err != nil {
		return nil, errors.Wrap(err, "listing evidence")
	}
	var out []port.QuarantineItem
	for _, it := range items {
		if decoded, err := o.Decoder.Decode(it); err == nil {
			if q, ok := decoded.(port.QuarantineItem); ok {
				out = append(out, q)
			}
		}
	}
	return out, nil
}

// Refuse makes all gateways refuse a subject until it is released.
func (o QuarantineOperator) Refuse(ctx context.Context, x quarantine.Subject) error {
	return o.write(ctx, x, quarantine.Evidence{Held: true}, port.NoLease)
}

// Release makes all gateways forget the evidence against a subject. If it is at fault, they find
// that again.
func (o QuarantineOperator) Release(ctx context.Context, x quarantine.Subject) error {
	lease, err := o.Store.Grant(ctx, evidenceTTL)
	if err != nil {
		return errors.Wrap(err, "granting a lease")
	}
	return o.write(ctx, x, quarantine.Evidence{}, lease)
}

func (o QuarantineOperator) write(ctx context.Context, x quarantine.Subject, e quarantine.Evidence, lease port.LeaseID) error {
	value, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encoding evidence")
	}
	item := port.StoreItem{Key: o.Decoder.Prefixes().Quarantine + string(x), Value: value}
	if _, err := o.Decoder.Decode(item); err != nil {
		return err
	}
	w := port.StoreWrite{Key: item.Key, Value: value, Lease: lease}
	return errors.Wrap(leased.Put(ctx, o.Store, w, nil), "writing evidence")
}
