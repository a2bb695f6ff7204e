package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

func TestPagesAreUpToDate(t *testing.T) {
	for path, page := range pages {
		text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(path)))
		if err != nil {
			t.Error(err)
			continue
		}
		if string(text) != page() {
			t.Errorf("%s does not match the schema; run: go run ./internal/docgen", path)
		}
	}
}

// registeredMetric matches the registration of a metric and captures its name.
var registeredMetric = regexp.MustCompile(`metrics\.(?:GetOrRegister|NewRegistered)\w+\(\s*"([^"]+)"`)

func TestMetricsAreListed(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	sources, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range sources {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range registeredMetric.FindAllStringSubmatch(string(text), -1) {
			if !strings.Contains(string(page), "`"+match[1]+"`") {
				t.Errorf("docs/METRICS.md does not list %s, of %s", match[1], path)
			}
		}
	}
}
