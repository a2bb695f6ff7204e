// Package version reports the version of the running program.
package version

import "runtime/debug"

// maxRevisionLength is the number of characters shown of a revision.
const maxRevisionLength = 12

// develVersion is what the toolchain records when it knows no version.
const develVersion = "(devel)"

// built is set by `make build` to the revision that git describes.
var built string

// String returns the version set by make build, or else the revision that the program was built
// from, the module's version, or "unknown".
func String() string {
	if built != "" {
		return built
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, dirty := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), maxRevisionLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+changes"
		}
	}
	if revision != "" {
		return revision + dirty
	}
	if info.Main.Version != "" && info.Main.Version != develVersion {
		return info.Main.Version
	}
	return "unknown"
}
