package port

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
)

// ErrHistoryGone means that the store no longer has the changes after the
// revision that was asked for. The prefix has to be listed again.
var ErrHistoryGone = errors.New("history of the store is no longer available")

// ConflictError says which keys were not as expected. It matches ErrConflict.
type ConflictError struct {
	// Current holds the items that exist of all keys that were expected.
	Current []StoreItem
}

// Error implements error.
func (*ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (*ConflictError) Unwrap() error { return ErrConflict }

// StoreItem is a key of the platform's store.
type StoreItem struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last write of the key.
	Revision int64
}

// StoreChange is one change of a key. Removed keys have no value.
type StoreChange struct {
	StoreItem
	Removed bool
}

// Precondition is a condition of a write: the key is at the revision, or absent
// if the revision is 0.
type Precondition struct {
	Key      string
	Revision int64
}

// StoreWrite sets a key. The key disappears with the lease, if one is given.
type StoreWrite struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Store is the platform's metadata store: ordered revisions, prefixes, watches,
// leases, and writes under conditions.
type Store interface {
	// List returns all items under a prefix and the revision from which changes
	// have to be read. The items are not a snapshot: a change up to then may be
	// seen again.
	List(ctx context.Context, prefix string) (items []StoreItem, at int64, err error)
	// Changes waits for changes after a revision. It returns none if wait
	// passes without one. at is the revision to go on from.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []StoreChange, at int64, err error)
	// Commit makes all writes if all expectations hold, and none otherwise, with
	// ErrConflict; a ConflictError also holds the current items. Without writes it only checks the expectations.
	Commit(ctx context.Context, expect []Precondition, writes []StoreWrite) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease to its full time. It returns ErrNotFound for a
	// lease that has ended.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, id LeaseID) error
}

// FeedRequest asks a process for changes of the store that it has read.
type FeedRequest struct {
	Prefix string
	After  int64
	// Wait is the longest time without a change.
	Wait time.Duration
}

// FeedReply holds the newest state of each key that changed.
type FeedReply struct {
	Changes []feed.Change
	// At is the revision to go on from.
	At int64
	// Age is the time, at some moment between the request and its reply, since
	// the store confirmed operators' keys that are no newer than those in the reply.
	Age time.Duration
}

// ErrFeedRefused means that a process was reached and has nothing to pass on now.
var ErrFeedRefused = errors.New("process passes no changes on")

// FeedClient reads changes of the store from another process. It returns
// ErrFeedRefused if that process refused.
type FeedClient interface {
	Feed(ctx context.Context, addr fleet.Address, r FeedRequest) (FeedReply, error)
}

// FeedHandler passes changes of the store on to other processes.
type FeedHandler interface {
	Feed(ctx context.Context, r FeedRequest) (FeedReply, error)
}

// Prefixes of the keys that others write, and of those of the product.
type Prefixes struct {
	// Operator is the prefix of what operators declare.
	Operator string
	// Config and Weights are the parts of Operator with the configuration and
	// with the declared weights.
	Config, Weights string
	// Targets is the prefix under which targets register themselves.
	Targets string
	// Members is the prefix under which the product's processes register.
	Members string
}

// DecodedItem is what an item of the store says. It is one of the types below.
type DecodedItem interface{ decodedItem() }

// ConfigItem is the operators' configuration.
type ConfigItem struct{ Config routes.Config }

// CordonItem means that a failure domain takes no new work.
type CordonItem struct{ Domain fleet.Domain }

// WeightsItem declares the weights of a model.
type WeightsItem struct {
	Model fleet.Model
	// Number is the operators' number of the version; it rises.
	Number int64
}

// TargetItem is the entry of a target.
type TargetItem struct{ Target TargetRecord }

// MemberItem is the entry of a process of the product.
type MemberItem struct{ Member StoredMember }

func (ConfigItem) decodedItem()  {}
func (CordonItem) decodedItem()  {}
func (WeightsItem) decodedItem() {}
func (TargetItem) decodedItem()  {}
func (MemberItem) decodedItem()  {}

// TargetRecord is what a target says of itself.
type TargetRecord struct {
	Instance fleet.Instance
	Service  fleet.Service
	Address  fleet.Address
	Domain   fleet.Domain
	Slots    int
	Draining bool
	// WarmUpLeft is the time for which the target still bears little load.
	WarmUpLeft time.Duration
	// Held lists the weights that the target can serve.
	Held []ModelWeights
	// Started identifies the start of the target, in Unix milliseconds.
	Started int64
}

// ModelWeights are the weights of a model that a target holds.
type ModelWeights struct {
	Model  fleet.Model
	Number int64
}

// StoredMember is a process of the product as it registers itself in the store.
type StoredMember struct {
	ID     string       `json:"id"`
	Kind   string       `json:"kind"`
	Domain fleet.Domain `json:"domain"`
	Region fleet.Region `json:"region"`
	// Address takes the product's own protocol.
	Address fleet.Address `json:"address"`
	// Target is the address of the target beside the process, or empty.
	Target fleet.Address `json:"target,omitempty"`
	// Service is that of the target, or empty.
	Service fleet.Service `json:"service,omitempty"`
}

// ItemDecoder decodes items of the store.
type ItemDecoder interface {
	// Prefixes returns where the facts are stored.
	Prefixes() Prefixes
	// CordonKey returns the key that cordons a failure domain.
	CordonKey(d fleet.Domain) string
	// Decode returns what an item says, or an error if it can't be read. It
	// returns nil for a key that says nothing of interest.
	Decode(it StoreItem) (DecodedItem, error)
}
