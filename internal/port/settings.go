package port

// SettingsSection is one section of a settings file.
type SettingsSection struct {
	Name string
	// Keys holds the keys in the order of the file. The last value of a repeated key counts.
	Keys []SettingsKey
}

// SettingsKey is a key of a section with its value as text.
type SettingsKey struct{ Key, Value string }
