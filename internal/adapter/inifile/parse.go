// Package inifile parses declarations in INI files, and encodes and decodes the
// document in which the platform stores a declaration. Parsing reports the faults
// of all files together.
package inifile

import (
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// File is an INI file that holds all or a part of a declaration.
type File struct {
	Name string
	Text string
}

// Join concatenates the files to the text that is stored, with a comment that
// names the file before each part.
func Join(files []File) string {
	var b strings.Builder
	for _, f := range files {
		b.WriteString("; from " + strings.Map(replaceControlRune, f.Name) + "\n")
		b.WriteString(strings.TrimRight(f.Text, "\r\n") + "\n\n")
	}
	return b.String()
}

// replaceControlRune replaces control characters. A line break in a file name would
// end the comment that contains the name.
func replaceControlRune(r rune) rune {
	if r < ' ' {
		return '?'
	}
	return r
}

// parser accumulates the declaration and the faults of all files.
type parser struct {
	decl   *declare.Declaration
	faults []declare.Fault
	// declaredIn maps the name of a section to the name of its file.
	declaredIn map[string]string
	file       string
}

// Parse parses the files as one declaration, of revision 0. It returns all faults
// found; the declaration is nil if there are any.
func Parse(files []File) (*declare.Declaration, []declare.Fault) {
	p := &parser{decl: newDeclaration(), declaredIn: map[string]string{}}
	for _, f := range files {
		p.parseFile(f)
	}
	if len(p.faults) == 0 {
		p.validate()
	}
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.decl, nil
}

// validate runs the checks that involve several sections. It is called only if
// all values were parsed, since a malformed value would be reported twice.
func (p *parser) validate() {
	for _, f := range declare.Validate(p.decl) {
		f.File = p.declaredIn[f.Section]
		p.faults = append(p.faults, f)
	}
}

func newDeclaration() *declare.Declaration {
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

func (p *parser) addFault(section, key, msg string) {
	p.faults = append(p.faults, declare.Fault{File: p.file, Section: section, Key: key, Message: msg})
}

func (p *parser) parseFile(f File) {
	p.file = f.Name
	if !isPlainText(f.Text) {
		p.addFault("", "", "file must be UTF-8 text without a byte order mark or control characters")
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
		p.addFault("", "", "file is not a valid INI file: "+err.Error())
		return
	}
	for _, s := range x.Sections() {
		p.parseSection(s)
	}
}

// isPlainText reports whether s is UTF-8 without control characters and byte order
// marks. The INI library drops a byte order mark only at the start of a file, so
// the joined text would parse differently.
func isPlainText(s string) bool {
	if !utf8.ValidString(s) {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return r == '\ufeff' || r < ' ' && r != '\t' && r != '\r' && r != '\n'
	})
}

func (p *parser) parseSection(s *ini.Section) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.KeyStrings() {
			p.addFault("", k, "key outside of a section")
		}
		return
	}
	kind, id, _ := strings.Cut(name, " ")
	read, ok := sectionReaders[kind]
	if !ok {
		p.addFault(name, "", "unknown kind of section; known are customer, domain, vm, model, group, serve, service")
		return
	}
	if !validName(id) {
		p.addFault(name, "", "the name after the section kind must be 1 to 63 letters, digits, '-', '_' or '.'")
		return
	}
	if other, dup := p.declaredIn[name]; dup {
		p.addFault(name, "", "section is declared twice, first in "+fileDescription(other))
		return
	}
	p.declaredIn[name] = p.file
	read(p, &sectionReader{p: p, section: s, usedKeys: map[string]bool{}}, id)
}

func fileDescription(name string) string {
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
