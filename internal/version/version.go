// Package version names the version of the running program.
package version

import "runtime/debug"

// maxRevisionLength is how much of a revision is shown.
const maxRevisionLength = 12

// develVersion is what the toolchain writes when it knows no version.
const develVersion = "(devel)"

// built is set by `make build` to what git calls the revision.
var built string

// String gives what make build has set, or the revision that the program was built
// from, or the module's version, or "unknown".
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
