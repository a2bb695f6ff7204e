package config

import "flag"

// The seed is fixed so that every run is the same. The flags -rapid.seed, -rapid.checks and
// -rapid.steps on the command line override these values.
func init() {
	_ = flag.Set("rapid.seed", "6")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "60")
}
