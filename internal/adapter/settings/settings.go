// Package settings loads and validates the settings file of a binary, an INI file.
// A binary registers its keys with default and allowed values; Load reports all
// faults together.
package settings

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
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

// Load reads the file at path, assigns the values and returns all faults found.
func (s *Set) Load(path string) []Fault {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return []Fault{{File: path, Value: err.Error(), Allowed: "a readable INI file"}}
	}
	faults := s.unknownKeys(path, f)
	for _, fd := range s.fields {
		if fault, bad := fd.readFrom(path, f); bad {
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

func (fd *field) readFrom(path string, f *ini.File) (Fault, bool) {
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

func (s *Set) unknownKeys(path string, f *ini.File) []Fault {
	sections := map[string][]string{}
	for _, fd := range s.fields {
		sections[fd.section] = append(sections[fd.section], fd.key)
	}
	var out []Fault
	for _, sec := range f.Sections() {
		keys, ok := sections[sec.Name()]
		if !ok && (sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0) {
			out = append(out, Fault{path, sec.Name(), "", "", "a known section"})
			continue
		}
		for _, k := range sec.KeyStrings() {
			if !slices.Contains(keys, k) {
				out = append(out, Fault{path, sec.Name(), k, sec.Key(k).String(), "one of " + strings.Join(keys, ", ")})
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
