// Package ledger decides whether a call that is not idempotent may run. A call
// runs only after its attempt was recorded, by compare-and-swap, in a document
// that had no record of its key. Access to the platform that stores the
// documents, the encoding of records and the blocking of callers are in other
// packages.
package ledger

import (
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

const (
	// Partitions is the number of partitions of one service's ledger.
	Partitions = 16
	// MaxSkew is how far the time of a key may lie in the future.
	MaxSkew = time.Minute
	// RetentionMargin is added to the window to get the lease time of a
	// document. A lease starts at most MaxSkew before its bucket, and the last
	// key of the bucket is at most BucketLength after the start of the bucket,
	// so the margin leaves 8 minutes for clock differences between two
	// machines.
	RetentionMargin = 10 * time.Minute
	// BucketLength is the range of key times that share a document.
	BucketLength = time.Minute
)

// Bucket is a minute of key times, as a number of minutes since the Unix epoch.
type Bucket int64

// KeyHash identifies a customer's key within a document.
type KeyHash [16]byte

// Key is a validated idempotency key of a customer.
type Key struct {
	Service   fleet.Service
	Hash      KeyHash
	Time      time.Time
	Partition int
}

// Partition returns the partition of a customer's key. Entries and agents,
// including those of other program versions, must compute the same value.
func Partition(c fleet.Customer, key string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(strings.ToLower(key)))
	return int(h.Sum64() % Partitions)
}

// ParseKey parses a key. It rejects a key that is malformed, too far in the
// future, or older than the window.
func ParseKey(s fleet.Service, c fleet.Customer, key string, now time.Time, window time.Duration) (Key, *verdict.Error) {
	if key == "" {
		return Key{}, verdict.New(verdict.NotRun, verdict.CodeKeyRequired, "the call needs an idempotency key")
	}
	t, ok := uuidTime(key)
	if !ok {
		return Key{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the idempotency key is not a UUID of version 7")
	}
	k := Key{Service: s, Hash: hashKey(c, key), Time: t, Partition: Partition(c, key)}
	if t.Sub(now) > MaxSkew {
		return k, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the idempotency key is more than %v in the future", MaxSkew)
	}
	return k, k.checkAge(now, window)
}

// ErrKeyReused returns the error for a call whose key was used before for a
// call with different content.
func ErrKeyReused() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeKeyReused, "the idempotency key belongs to a call with another content")
}

// checkAge rejects a key older than the window. The record of such a key may
// have expired, so an earlier attempt may have run without a trace.
func (k Key) checkAge(now time.Time, window time.Duration) *verdict.Error {
	if now.Sub(k.Time) <= window {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeKeyExpired, "the idempotency key is older than %v", window)
}

// Bucket returns the minute that contains the time of the key.
func (k Key) Bucket() Bucket { return Bucket(k.Time.UnixMilli() / BucketLength.Milliseconds()) }

// Document returns the name of the document that holds the record of the key.
func (k Key) Document() Document {
	return Document{Service: k.Service, Partition: k.Partition, Bucket: k.Bucket()}
}

// Document identifies a document of records.
type Document struct {
	Service   fleet.Service
	Partition int
	Bucket    Bucket
}

// String returns the platform's key for the document.
func (d Document) String() string {
	return fmt.Sprintf("ledger/%s/%d/%d", d.Service, d.Partition, d.Bucket)
}

// Expired reports whether every key of the bucket is older than the window.
func (b Bucket) Expired(now time.Time, window time.Duration) bool {
	end := time.UnixMilli((int64(b) + 1) * BucketLength.Milliseconds())
	return now.Sub(end) > window
}

func hashKey(c fleet.Customer, key string) KeyHash {
	sum := sha256.Sum256([]byte(string(c) + "\x00" + strings.ToLower(key)))
	return KeyHash(sum[:len(KeyHash{})])
}

// Length of the text form of a UUID and positions of its version and variant digits.
const (
	uuidLength   = 36
	versionIndex = 14
	variantIndex = 19
)

// uuidTime returns the timestamp of a version 7 UUID.
func uuidTime(key string) (time.Time, bool) {
	if len(key) != uuidLength || key[versionIndex] != '7' || !strings.ContainsRune("89abAB", rune(key[variantIndex])) {
		return time.Time{}, false
	}
	const timeDigits = 12
	var ms int64
	digits := 0
	for i := range len(key) {
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if key[i] != '-' {
				return time.Time{}, false
			}
			continue
		}
		v, ok := hexDigit(key[i])
		if !ok {
			return time.Time{}, false
		}
		if digits < timeDigits {
			ms = ms<<4 | v
		}
		digits++
	}
	return time.UnixMilli(ms), true
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	default:
		return 0, false
	}
}
