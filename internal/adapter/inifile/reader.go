package inifile

import (
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/masticwing/masticwing/internal/adapter/settings"
	"github.com/masticwing/masticwing/internal/core/declare"
)

// reader reads the keys of one section and remembers which ones are known.
type reader struct {
	p       *parser
	section *ini.Section
	used    map[string]bool
}

func (r *reader) fault(key, msg string) { r.p.fault(r.section.Name(), key, msg) }

// value returns the text of a key and whether it is set.
func (r *reader) value(key string) (string, bool) {
	r.used[key] = true
	if !r.section.HasKey(key) {
		return "", false
	}
	vs := r.section.Key(key).ValueWithShadows()
	if len(vs) > 1 {
		r.fault(key, "key is set twice")
	}
	return strings.TrimSpace(r.section.Key(key).Value()), true
}

func (r *reader) text(key string) string {
	v, _ := r.value(key)
	return v
}

func (r *reader) integer(key string, def int) int {
	v, ok := r.value(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		r.fault(key, "must be a whole number, is "+strconv.Quote(v))
	}
	return n
}

func (r *reader) bytes(key string, def int64) int64 {
	v, ok := r.value(key)
	if !ok {
		return def
	}
	n, err := settings.ParseBytes(v)
	if err != nil {
		r.fault(key, "must be a size such as 4MiB, is "+strconv.Quote(v))
	}
	return n
}

func (r *reader) duration(key string, def time.Duration) time.Duration {
	v, ok := r.value(key)
	if !ok {
		return def
	}
	if v == "0" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		r.fault(key, "must be a duration such as 500ms, is "+strconv.Quote(v))
	}
	return d
}

// choice returns the index of the key's value in allowed; the first is the
// default.
func (r *reader) choice(key string, allowed ...string) int {
	v, ok := r.value(key)
	if !ok {
		return 0
	}
	for i, a := range allowed {
		if v == a {
			return i
		}
	}
	r.fault(key, "must be one of "+strings.Join(allowed, ", ")+", is "+strconv.Quote(v))
	return 0
}

func (r *reader) labels() declare.Labels {
	v, ok := r.value("labels")
	if !ok {
		return nil
	}
	l, err := parseLabels(v)
	if err != nil {
		r.fault("labels", err.Error())
	}
	return l
}

func (r *reader) selector(key string) declare.Selector {
	v, ok := r.value(key)
	if !ok {
		r.fault(key, "must be set")
		return nil
	}
	s, err := parseSelector(v)
	if err != nil {
		r.fault(key, err.Error())
	}
	return s
}

// prefixed calls f for each key that starts with prefix.
func (r *reader) prefixed(prefix string, f func(key, name, value string)) {
	for _, k := range r.section.KeyStrings() {
		name, ok := strings.CutPrefix(k, prefix)
		if !ok {
			continue
		}
		v, _ := r.value(k)
		if !validName(name) {
			r.fault(k, "the name after "+prefix+" must be 1 to 63 letters, digits, '-', '_' or '.'")
			continue
		}
		f(k, name, v)
	}
}

// done reports the keys that were not read.
func (r *reader) done() {
	for _, k := range r.section.KeyStrings() {
		if !r.used[k] {
			r.fault(k, "unknown key")
		}
	}
}
