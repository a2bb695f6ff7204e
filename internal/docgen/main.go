// Command docgen writes the pages that are generated from the schema and the code:
// docs/SETTINGS.md, docs/RESULT-CODES.md and docs/LOGS.md. Run it at the root of the repository; a
// test checks that the pages are up to date.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// pages maps the path of each generated page, relative to the root, to the function that makes it.
var pages = map[string]func() string{
	"docs/SETTINGS.md":     settingsPage,
	"docs/RESULT-CODES.md": resultsPage,
	"docs/LOGS.md":         logsPage,
}

// pageMode makes the pages readable by everybody.
const pageMode = 0o644

func main() {
	for path, page := range pages {
		if err := os.WriteFile(filepath.FromSlash(path), []byte(page()), pageMode); err != nil {
			fmt.Fprintln(os.Stderr, "docgen:", err)
			os.Exit(1)
		}
	}
}
