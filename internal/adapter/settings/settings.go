// Package settings reads INI settings and checks every value. A binary
// registers its keys with their defaults and allowed values; Load reports all
// faults at once.
package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Fault is one wrong setting.
type Fault struct {
	File, Section, Key, Value, Allowed string
}

// Error returns one line that names the setting and what is allowed.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

type field struct {
	section, key, def, help, allowed string
	required                         bool
	parse                            func(string) error
}

// Set is the set of settings of one binary.
type Set struct {
	name   string
	fields []*field
	checks []func() []Fault
}

// New returns an empty set for the named binary.
func New(name string) *Set { return &Set{name: name} }

// Required as a default marks a key that must be set.
const Required = "\x00required"

func (s *Set) add(section, key, def, help, allowed string, parse func(string) error) {
	f := &field{section: section, key: key, def: def, help: help, allowed: allowed, parse: parse}
	if def == Required {
		f.required, f.def = true, ""
	}
	s.fields = append(s.fields, f)
}

// String registers a text key. A required text must not be empty.
func (s *Set) String(section, key string, p *string, def, help string) {
	s.add(section, key, def, help, "text", func(v string) error {
		*p = v
		return nil
	})
}

// Name registers a key for a name of letters, digits, dots, dashes and
// underscores.
func (s *Set) Name(section, key string, set func(string), def, help string) {
	s.add(section, key, def, help, "letters, digits, '.', '-' and '_', at most 128", func(v string) error {
		if !validName(v) {
			return errValue
		}
		set(v)
		return nil
	})
}

func validName(v string) bool {
	if len(v) == 0 || len(v) > 128 {
		return false
	}
	for _, r := range v {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r)
		if !ok {
			return false
		}
	}
	return true
}

// Int registers a whole number between low and high.
func (s *Set) Int(section, key string, p *int, def, low, high int, help string) {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	s.add(section, key, strconv.Itoa(def), help, allowed, func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return errValue
		}
		*p = n
		return nil
	})
}

// Float registers a number between low and high.
func (s *Set) Float(section, key string, p *float64, def, low, high float64, help string) {
	allowed := fmt.Sprintf("a number from %g to %g", low, high)
	s.add(section, key, strconv.FormatFloat(def, 'g', -1, 64), help, allowed, func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= low && n <= high) {
			return errValue
		}
		*p = n
		return nil
	})
}

// Bool registers true or false.
func (s *Set) Bool(section, key string, p *bool, def bool, help string) {
	s.add(section, key, strconv.FormatBool(def), help, "true or false", func(v string) error {
		if v != "true" && v != "false" {
			return errValue
		}
		*p = v == "true"
		return nil
	})
}

// Duration registers a duration between low and high.
func (s *Set) Duration(section, key string, p *time.Duration, def, low, high time.Duration, help string) {
	allowed := fmt.Sprintf("a duration from %v to %v", low, high)
	s.add(section, key, def.String(), help, allowed, func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return errValue
		}
		*p = d
		return nil
	})
}

// Bytes registers a size such as "64MiB", "20KiB" or "1000", between low and
// high bytes.
func (s *Set) Bytes(section, key string, p *int64, def, low, high int64, help string) {
	allowed := fmt.Sprintf("a size from %s to %s", FormatBytes(low), FormatBytes(high))
	s.add(section, key, FormatBytes(def), help, allowed, func(v string) error {
		n, err := ParseBytes(v)
		if err != nil || n < low || n > high {
			return errValue
		}
		*p = n
		return nil
	})
}

// Address registers an "ip:port". An empty default makes the key optional.
func (s *Set) Address(section, key string, p *fleet.Address, def, help string) {
	s.add(section, key, def, help, "ip:port", func(v string) error {
		if v == "" && def == "" {
			return nil
		}
		if !validAddress(v) {
			return errValue
		}
		*p = fleet.Address(v)
		return nil
	})
}

// IP registers an IP address, or an empty value if def is empty.
func (s *Set) IP(section, key string, p *netip.Addr, def, help string) {
	s.add(section, key, def, help, "an IP address", func(v string) error {
		if v == "" {
			return nil
		}
		a, err := netip.ParseAddr(v)
		*p = a
		return err
	})
}

// Addresses registers a comma-separated list of "ip:port", which may be empty.
func (s *Set) Addresses(section, key string, p *[]fleet.Address, def, help string) {
	s.add(section, key, def, help, "ip:port, separated by commas", func(v string) error {
		var out []fleet.Address
		for _, a := range splitList(v) {
			if !validAddress(a) {
				return errValue
			}
			out = append(out, fleet.Address(a))
		}
		*p = out
		return nil
	})
}

// Labels registers a comma-separated list of key=value.
func (s *Set) Labels(section, key string, p *map[string]string, def, help string) {
	s.add(section, key, def, help, "key=value, separated by commas", func(v string) error {
		out := map[string]string{}
		for _, kv := range splitList(v) {
			k, val, ok := strings.Cut(kv, "=")
			if !ok || !validName(k) {
				return errValue
			}
			out[k] = val
		}
		*p = out
		return nil
	})
}

// Check registers a check over several values, run once all are parsed.
func (s *Set) Check(f func() []Fault) { s.checks = append(s.checks, f) }

func splitList(v string) []string {
	var out []string
	for _, p := range strings.Split(v, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}

func validAddress(v string) bool {
	_, err := netip.ParseAddrPort(v)
	return err == nil
}

var errValue = fmt.Errorf("value not allowed")

// Load reads the file and returns all faults found.
func (s *Set) Load(path string) []Fault {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return []Fault{{File: path, Value: err.Error(), Allowed: "a readable INI file"}}
	}
	faults := s.unknown(path, f)
	for _, fd := range s.fields {
		if fault, bad := fd.load(path, f); bad {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return faults
	}
	for _, c := range s.checks {
		for _, fault := range c() {
			fault.File = path
			faults = append(faults, fault)
		}
	}
	return faults
}

func (fd *field) load(path string, f *ini.File) (Fault, bool) {
	v := fd.def
	if sec, err := f.GetSection(fd.section); err == nil && sec.HasKey(fd.key) {
		v = sec.Key(fd.key).String()
	} else if fd.required {
		return Fault{path, fd.section, fd.key, "", "must be set: " + fd.allowed}, true
	}
	if fd.required && v == "" {
		return Fault{path, fd.section, fd.key, v, "must be set: " + fd.allowed}, true
	}
	if err := fd.parse(v); err != nil {
		return Fault{path, fd.section, fd.key, v, fd.allowed}, true
	}
	return Fault{}, false
}

func (s *Set) unknown(path string, f *ini.File) []Fault {
	sections := map[string][]string{}
	for _, fd := range s.fields {
		sections[fd.section] = append(sections[fd.section], fd.key)
	}
	var out []Fault
	for _, sec := range f.Sections() {
		keys, ok := sections[sec.Name()]
		if !ok && (sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0) {
			out = append(out, Fault{path, sec.Name(), "", "", "known sections only"})
			continue
		}
		for _, k := range sec.KeyStrings() {
			if !hasString(keys, k) {
				out = append(out, Fault{path, sec.Name(), k, sec.Key(k).String(), "one of " + strings.Join(keys, ", ")})
			}
		}
	}
	return out
}

func hasString(vs []string, v string) bool {
	for _, x := range vs {
		if x == v {
			return true
		}
	}
	return false
}

// Example returns a commented settings file with every key at its default.
func (s *Set) Example() string {
	var b strings.Builder
	fmt.Fprintf(&b, "; Settings of %s. Keys that start with ';' show their default.\n", s.name)
	section := ""
	for _, f := range s.fields {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		fmt.Fprintf(&b, "; %s\n; Allowed: %s.\n", f.help, f.allowed)
		if f.required {
			fmt.Fprintf(&b, "%s =\n", f.key)
			continue
		}
		fmt.Fprintf(&b, ";%s = %s\n", f.key, f.def)
	}
	return b.String()
}
