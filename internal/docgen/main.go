// Command docgen writes the pages that are made from the schema and the code:
// docs/SETTINGS.md, docs/RESULT-CODES.md and docs/LOGS.md. Run it at the root of the repository;
// a test checks that the pages are up to date.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// pages gives the generated pages by their path from the root.
var pages = map[string]func() string{
	"docs/SETTINGS.md":     settingsPage,
	"docs/RESULT-CODES.md": resultsPage,
	"docs/LOGS.md":         logsPage,
}

// pageMode lets everybody read the pages.
const pageMode = 0o644

func main() {
	for path, page := range pages {
		if err := os.WriteFile(filepath.FromSlash(path), []byte(page()), pageMode); err != nil {
			fmt.Fprintln(os.Stderr, "docgen:", err)
			os.Exit(1)
		}
	}
}
