// Package leased writes items of the platform's store that have one current writer and end with a lease.
package leased

import (
	"context"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/port"
)

// maxAttempts bounds the commits of one Put. Beside the first one, which expects that there is no item, each
// further one follows a change of the item in between.
const maxAttempts = 4

// Put writes an item on the condition that nothing has changed it since its revision was read. The store may
// execute a write without a response seconds later, also one of an earlier process with the same key; without
// a condition, it would replace a newer item and put it under a lease that nobody renews. isCurrent reports whether
// a value in the store needs no further write, since an earlier attempt has taken effect; it may be nil.
//
// The errors are those of port.Store's Commit. After an error the write may still be executed, unless the
// error says otherwise.
func Put(ctx context.Context, s port.Store, w port.StoreWrite, isCurrent func(value []byte) bool) error {
	var err error
	expected := port.Precondition{Key: w.Key}
	for range maxAttempts {
		err = s.Commit(ctx, []port.Precondition{expected}, []port.StoreWrite{w})
		var conflict *port.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		expected.Revision = 0
		for _, it := range conflict.Current {
			if it.Key != w.Key {
				continue
			}
			if isCurrent != nil && isCurrent(it.Value) {
				return nil
			}
			expected.Revision = it.Revision
		}
	}
	return errors.Wrap(err, "item changes too often")
}
