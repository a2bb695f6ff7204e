package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/internal/result"
)

var (
	// quotedPattern matches text quoted as code.
	quotedPattern = regexp.MustCompile("`([^`]+)`")
	metricPattern = regexp.MustCompile(`^(status|entry|agent|process)\.[a-zA-Z._]+$`)
	// sentencePattern matches a log line or output of a command that is quoted in full.
	sentencePattern = regexp.MustCompile(`^[A-Z][a-z]* [^=/]+\.$`)
)

// Operators search for the names that docs/OPERATIONS.md quotes. Each metric must be listed in
// docs/METRICS.md, each result code must be in the schema, and each quoted sentence must be in the
// source code.
func TestOperationsPageNamesExist(t *testing.T) {
	read := func(path string) string {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	var sources strings.Builder
	for _, pattern := range []string{"../*/*.go", "../command/*/*.go"} {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				sources.WriteString(read(path))
			}
		}
	}
	metricsPage, checked := read("../../docs/METRICS.md"), 0
	for _, match := range quotedPattern.FindAllStringSubmatch(read("../../docs/OPERATIONS.md"), -1) {
		name := match[1]
		code, isResult := strings.CutPrefix(name, "entry.results.")
		known := true
		switch {
		case isResult:
			known = isResultName(code)
		case metricPattern.MatchString(name):
			known = strings.Contains(metricsPage, "`"+name+"`")
		case sentencePattern.MatchString(name):
			known = strings.Contains(sources.String(), `"`+name)
		default:
			continue
		}
		checked++
		if !known {
			t.Errorf("docs/OPERATIONS.md names %q, which does not exist", name)
		}
	}
	if checked < 20 {
		t.Errorf("only %d names were found: the test looks in the wrong place", checked)
	}
}

func isResultName(code string) bool {
	for _, info := range result.All() {
		if info.Name == code {
			return true
		}
	}
	return false
}
