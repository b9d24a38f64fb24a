package directory

import (
	"maps"
	"unique"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// maxLabelSets bounds the cache of shared label sets. When it is full, it is
// cleared; existing records keep their sets.
const maxLabelSets = 1024

// interner deduplicates strings and label sets across records, most of which have
// the same names, version and labels. A label set alone takes 400 bytes.
type interner struct {
	labels *shard.Map[uint64, map[string]string]
}

func internString[S ~string](s S) S { return unique.Make(s).Value() }

// internRecord replaces the strings and labels of r by shared copies.
func (in interner) internRecord(r *port.MemberRecord) {
	r.Domain, r.Region = internString(r.Domain), internString(r.Region)
	r.Labels = in.internLabels(r.Labels)
	if s := r.Status; s != nil {
		if string(s.VM) == r.ID {
			s.VM = fleet.VM(r.ID)
		}
		s.Domain, s.Group, s.Service, s.Version = internString(s.Domain), internString(s.Group), internString(s.Service), internString(s.Version)
		p := &s.Progress
		p.Target, p.State, p.Reason = internString(p.Target), internString(p.State), internString(p.Reason)
	}
}

// internLabels returns an equal cached label set if there is one, else caches
// labels. Sharing is safe because member records are never modified.
func (in interner) internLabels(labels map[string]string) map[string]string {
	if len(labels) == 0 {
		return nil
	}
	var hash uint64
	for k, v := range labels {
		hash += hashLabel(k, v)
	}
	if shared, ok := in.labels.Get(hash); ok && maps.Equal(shared, labels) {
		return shared
	}
	if in.labels.Len() >= maxLabelSets {
		var keys []uint64
		in.labels.Range(func(k uint64, _ map[string]string) bool {
			keys = append(keys, k)
			return true
		})
		for _, k := range keys {
			in.labels.Delete(k)
		}
	}
	in.labels.Put(hash, labels)
	return labels
}

// hashLabel returns the 64-bit FNV-1a hash of "k=v".
func hashLabel(k, v string) uint64 {
	hash := uint64(14695981039346656037)
	for _, s := range []string{k, "=", v} {
		for i := range len(s) {
			hash = (hash ^ uint64(s[i])) * 1099511628211
		}
	}
	return hash
}
