package harness

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Settings is the content of an INI file: values by section and key.
type Settings map[string]map[string]string

// With returns a copy overridden by other settings; an empty value removes a key.
func (s Settings) With(other Settings) Settings {
	merged := Settings{}
	for _, layer := range []Settings{s, other} {
		for section, keys := range layer {
			if merged[section] == nil {
				merged[section] = map[string]string{}
			}
			maps.Copy(merged[section], keys)
			maps.DeleteFunc(merged[section], func(_, value string) bool { return value == "" })
		}
	}
	return merged
}

// String returns the text of the file.
func (s Settings) String() string {
	var text strings.Builder
	for _, section := range slices.Sorted(maps.Keys(s)) {
		text.WriteString("[" + section + "]\n")
		for _, key := range slices.Sorted(maps.Keys(s[section])) {
			text.WriteString(key + " = " + s[section][key] + "\n")
		}
	}
	return text.String()
}

// WriteFile writes a file into dir and returns its path.
func WriteFile(report Reporter, dir, name, text string) string {
	report.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		report.Fatalf("%v", err)
	}
	return path
}
