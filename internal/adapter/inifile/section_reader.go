package inifile

import (
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/masticwing/masticwing/internal/core/bytesize"
	"github.com/masticwing/masticwing/internal/core/declare"
)

// sectionReader parses the values of one section. It records the keys that were
// read, so that the remaining ones can be reported as unknown.
type sectionReader struct {
	p        *parser
	section  *ini.Section
	usedKeys map[string]bool
}

func (r *sectionReader) addFault(key, msg string) { r.p.addFault(r.section.Name(), key, msg) }

// value returns the trimmed value of a key and whether the key is set.
func (r *sectionReader) value(key string) (string, bool) {
	r.usedKeys[key] = true
	if !r.section.HasKey(key) {
		return "", false
	}
	vs := r.section.Key(key).ValueWithShadows()
	if len(vs) > 1 {
		r.addFault(key, "key is set twice")
	}
	return strings.TrimSpace(r.section.Key(key).Value()), true
}

func (r *sectionReader) text(key string) string {
	v, _ := r.value(key)
	return v
}

func (r *sectionReader) integer(key string, def int) int {
	v, ok := r.value(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		r.addFault(key, "must be a whole number, is "+strconv.Quote(v))
	}
	return n
}

func (r *sectionReader) bytes(key string, def int64) int64 {
	v, ok := r.value(key)
	if !ok {
		return def
	}
	n, err := bytesize.Parse(v)
	if err != nil {
		r.addFault(key, "must be a size such as 4MiB, is "+strconv.Quote(v))
	}
	return n
}

func (r *sectionReader) duration(key string, def time.Duration) time.Duration {
	v, ok := r.value(key)
	if !ok {
		return def
	}
	if v == "0" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		r.addFault(key, "must be a duration such as 500ms, is "+strconv.Quote(v))
	}
	return d
}

// choiceIndex returns the index of the key's value in allowed. The first allowed
// value is the default.
func (r *sectionReader) choiceIndex(key string, allowed ...string) int {
	v, ok := r.value(key)
	if !ok {
		return 0
	}
	for i, a := range allowed {
		if v == a {
			return i
		}
	}
	r.addFault(key, "must be one of "+strings.Join(allowed, ", ")+", is "+strconv.Quote(v))
	return 0
}

func (r *sectionReader) labels() declare.Labels {
	v, ok := r.value("labels")
	if !ok {
		return nil
	}
	l, err := parseLabels(v)
	if err != nil {
		r.addFault("labels", err.Error())
	}
	return l
}

func (r *sectionReader) selector(key string) declare.Selector {
	v, ok := r.value(key)
	if !ok {
		r.addFault(key, "must be set")
		return nil
	}
	s, err := parseSelector(v)
	if err != nil {
		r.addFault(key, err.Error())
	}
	return s
}

// forEachPrefixed calls f for each key that starts with prefix. The name is the
// rest of the key.
func (r *sectionReader) forEachPrefixed(prefix string, f func(key, name, value string)) {
	for _, k := range r.section.KeyStrings() {
		name, ok := strings.CutPrefix(k, prefix)
		if !ok {
			continue
		}
		v, _ := r.value(k)
		if !validName(name) {
			r.addFault(k, "the name after "+prefix+" must be 1 to 63 letters, digits, '-', '_' or '.'")
			continue
		}
		f(k, name, v)
	}
}

// reportUnknownKeys adds a fault for each key that was not read.
func (r *sectionReader) reportUnknownKeys() {
	for _, k := range r.section.KeyStrings() {
		if !r.usedKeys[k] {
			r.addFault(k, "unknown key")
		}
	}
}
