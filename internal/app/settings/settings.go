// Package settings validates the settings of a binary. A binary registers its keys
// with default and allowed values; Load reports all faults together.
package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/masticwing/masticwing/internal/port"
)

// Fault describes an invalid setting.
type Fault struct {
	File, Section, Key, Value, Allowed string
}

// Error returns one line with the setting, its value and the allowed values.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

type field struct {
	section, key, def, help, allowed string
	required                         bool
	parse                            func(string) error
}

// Set holds the registered settings of one binary.
type Set struct {
	name   string
	fields []*field
	checks []func() []Fault
}

// New returns an empty set for the named binary.
func New(name string) *Set { return &Set{name: name} }

// Required, passed as the default of a key, means that the key must be set.
const Required = "\x00required"

func (s *Set) register(section, key, def, help, allowed string, parse func(string) error) {
	f := &field{section: section, key: key, def: def, help: help, allowed: allowed, parse: parse}
	if def == Required {
		f.required, f.def = true, ""
	}
	s.fields = append(s.fields, f)
}

// AddCheck registers a check that involves several settings. Load runs it only if
// all values are valid.
func (s *Set) AddCheck(f func() []Fault) { s.checks = append(s.checks, f) }

// Load assigns the values of a file and returns all faults found. read returns the sections
// of the file at path.
func (s *Set) Load(path string, read func(path string) ([]port.SettingsSection, error)) []Fault {
	sections, err := read(path)
	if err != nil {
		return []Fault{{File: path, Value: err.Error(), Allowed: "a readable INI file"}}
	}
	faults := s.unknownKeys(path, sections)
	for _, fd := range s.fields {
		if fault, bad := fd.assign(path, sections); bad {
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

// assign assigns the value in the file, or the default if the file has none.
func (fd *field) assign(path string, sections []port.SettingsSection) (Fault, bool) {
	v, ok := fd.def, false
	for _, sec := range sections {
		for _, k := range sec.Keys {
			if sec.Name == fd.section && k.Key == fd.key {
				v, ok = k.Value, true
			}
		}
	}
	if fd.required && (!ok || v == "") {
		return Fault{path, fd.section, fd.key, v, "must be set: " + fd.allowed}, true
	}
	if err := fd.parse(v); err != nil {
		return Fault{path, fd.section, fd.key, v, fd.allowed}, true
	}
	return Fault{}, false
}

func (s *Set) unknownKeys(path string, sections []port.SettingsSection) []Fault {
	known := map[string][]string{}
	for _, fd := range s.fields {
		known[fd.section] = append(known[fd.section], fd.key)
	}
	var out []Fault
	for _, sec := range sections {
		keys, ok := known[sec.Name]
		if !ok {
			out = append(out, Fault{path, sec.Name, "", "", "a known section"})
			continue
		}
		for _, k := range sec.Keys {
			if !slices.Contains(keys, k.Key) {
				out = append(out, Fault{path, sec.Name, k.Key, k.Value, "one of " + strings.Join(keys, ", ")})
			}
		}
	}
	return out
}

// Example returns a settings file that documents every key and its default.
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
