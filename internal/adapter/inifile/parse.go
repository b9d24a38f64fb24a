// Package inifile reads declarations from INI files and encodes the document
// that the platform stores. All faults of all files are reported at once.
package inifile

import (
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// File is one file of a declaration.
type File struct {
	Name string
	Text string
}

// Join returns the text of all files as one, as it is stored.
func Join(files []File) string {
	var b strings.Builder
	for _, f := range files {
		b.WriteString("; from " + strings.Map(printable, f.Name) + "\n")
		b.WriteString(strings.TrimRight(f.Text, "\r\n") + "\n\n")
	}
	return b.String()
}

// printable keeps a file name from ending the comment that contains it.
func printable(r rune) rune {
	if r < ' ' {
		return '?'
	}
	return r
}

// parser collects the declaration and the faults of all files.
type parser struct {
	decl   *declare.Declaration
	faults []declare.Fault
	// origin is the file that declares a section.
	origin map[string]string
	file   string
}

// Parse reads the files as one declaration of revision 0. It returns every
// fault found; the declaration is nil if there is any.
func Parse(files []File) (*declare.Declaration, []declare.Fault) {
	p := &parser{decl: empty(), origin: map[string]string{}}
	for _, f := range files {
		p.parse(f)
	}
	if len(p.faults) == 0 {
		p.validate()
	}
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.decl, nil
}

// validate runs the checks over all sections. They run only on values that
// could be read, since a value that could not would be reported twice.
func (p *parser) validate() {
	for _, f := range declare.Validate(p.decl) {
		f.File = p.origin[f.Section]
		p.faults = append(p.faults, f)
	}
}

func empty() *declare.Declaration {
	return &declare.Declaration{
		Customers: map[fleet.Customer]declare.Customer{},
		Domains:   map[fleet.Domain]declare.Domain{},
		VMs:       map[fleet.VM]declare.VM{},
		Groups:    map[fleet.Group]declare.Group{},
		Models:    map[fleet.Model]declare.Model{},
		Services:  map[fleet.Service]declare.Service{},
		Cordons:   declare.Cordons{Domains: map[fleet.Domain]bool{}, VMs: map[fleet.VM]bool{}},
	}
}

func (p *parser) fault(section, key, msg string) {
	p.faults = append(p.faults, declare.Fault{File: p.file, Section: section, Key: key, Message: msg})
}

func (p *parser) parse(f File) {
	p.file = f.Name
	if !plainText(f.Text) {
		p.fault("", "", "not plain UTF-8 text without a byte order mark or control characters")
		return
	}
	x, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, []byte(f.Text))
	if err != nil {
		p.fault("", "", "not a readable INI file: "+err.Error())
		return
	}
	for _, s := range x.Sections() {
		p.section(s)
	}
}

// plainText refuses byte order marks, which the INI library drops at the start
// of a file only, so that a joined text would read differently.
func plainText(s string) bool {
	if !utf8.ValidString(s) {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return r == '\ufeff' || r < ' ' && r != '\t' && r != '\r' && r != '\n'
	})
}

func (p *parser) section(s *ini.Section) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.KeyStrings() {
			p.fault("", k, "key outside of a section")
		}
		return
	}
	kind, id, _ := strings.Cut(name, " ")
	read, ok := kinds[kind]
	if !ok {
		p.fault(name, "", "unknown kind of section; known are customer, domain, vm, model, group, serve, service")
		return
	}
	if !validName(id) {
		p.fault(name, "", "the name must be 1 to 63 letters, digits, '-', '_' or '.'")
		return
	}
	if other, dup := p.origin[name]; dup {
		p.fault(name, "", "section is declared twice, first in "+quoteFile(other))
		return
	}
	p.origin[name] = p.file
	read(p, &reader{p: p, section: s, used: map[string]bool{}}, id)
}

func quoteFile(name string) string {
	if name == "" {
		return "the same text"
	}
	return name
}

func validName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}
