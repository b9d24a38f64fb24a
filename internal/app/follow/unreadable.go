package follow

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/port"
)

const (
	// maxReasonBytes bounds a logged reason, which may quote the item.
	maxReasonBytes = 200
	// maxUnreadableKeys bounds the keys that an Unreadable remembers. Further ones are not
	// logged.
	maxUnreadableKeys = 256
)

// Unreadable logs the items of a prefix that can't be decoded: one line for each key until
// the key is readable or gone, since another writer may rewrite an item many times a second.
// It is safe for concurrent use: a view applies changes that it follows and those that the response to a write
// contains.
type Unreadable struct {
	message string
	log     port.Log

	mu   sync.Mutex // guards keys
	keys map[string]bool
}

// NewUnreadable returns an Unreadable that logs with the given message.
func NewUnreadable(message string, log port.Log) *Unreadable {
	return &Unreadable{message: message, log: log, keys: map[string]bool{}}
}

// Begin forgets the keys that no longer exist after an event.
func (u *Unreadable) Begin(e Event) {
	u.mu.Lock()
	defer u.mu.Unlock()
	exists := map[string]bool{}
	for _, c := range e.Changes {
		exists[c.Key] = !c.Removed
		if c.Removed {
			delete(u.keys, c.Key)
		}
	}
	if !e.Reset {
		return
	}
	for k := range u.keys {
		if !exists[k] {
			delete(u.keys, k)
		}
	}
}

// Record records whether a change could be decoded.
func (u *Unreadable) Record(c port.StoreChange, err error) {
	if u.record(c.Key, err) {
		u.log.Failure(u.message, errors.New(shorten(err.Error())), port.F("key", c.Key), port.F("revision", c.Revision))
	}
}

// record records whether the item under a key could be decoded, and returns whether that has to be logged.
func (u *Unreadable) record(key string, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err == nil:
		delete(u.keys, key)
	case !u.keys[key] && len(u.keys) < maxUnreadableKeys:
		u.keys[key] = true
		return true
	}
	return false
}

// shorten returns the first maxReasonBytes of a text.
func shorten(s string) string {
	if len(s) <= maxReasonBytes {
		return s
	}
	return s[:maxReasonBytes]
}
