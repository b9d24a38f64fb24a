// Package inisettings reads settings files in the INI format.
package inisettings

import (
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/masticwing/masticwing/internal/port"
)

// Read returns the sections of the file at path. Keys before the first section are in the
// section DEFAULT, which is left out if there are none.
func Read(path string) ([]port.SettingsSection, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var out []port.SettingsSection
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		sec := port.SettingsSection{Name: s.Name()}
		for _, k := range s.Keys() {
			sec.Keys = append(sec.Keys, port.SettingsKey{Key: k.Name(), Value: k.String()})
		}
		out = append(out, sec)
	}
	return out, nil
}
