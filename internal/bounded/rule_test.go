package bounded

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// rule forbids a way to read from other processes.
type rule struct {
	// forbidden must not occur in a line, unless allowed does.
	forbidden, allowed *regexp.Regexp
	instead            string
}

// boundRules are the ways to read that have no limit, or end a message silently at one.
var boundRules = []rule{
	{regexp.MustCompile(`io\.ReadAll\(`), regexp.MustCompile(`MaxBytesReader|maxFileBytes\+1`), "bounded.ReadAll"},
	{regexp.MustCompile(`&http\.Transport\{`), regexp.MustCompile(`(bounded|response)\.Transport\(`), "response.Transport"},
	{regexp.MustCompile(`http\.(DefaultClient|DefaultTransport|Get\(|Post\()`), nil, "a client with response.Transport"},
	{regexp.MustCompile(`json\.NewDecoder\(`), regexp.MustCompile(`MaxBytesReader`), "bounded.ReadAll and json.Unmarshal"},
	{regexp.MustCompile(`io\.LimitReader\(`), regexp.MustCompile(`maxFileBytes\+1|maxKeyBytes\+1`), "bounded.NewReader"},
	{regexp.MustCompile(`io\.Copy\(io\.Discard,`), nil, "bounded.Discard"},
	{regexp.MustCompile(`http\.ReadResponse\(`), regexp.MustCompile(`r\.br|reader`), "a bounded.Reader below it"},
}

// syntaxRules are the ways to read responses that take bytes for one that are none.
var syntaxRules = []rule{
	{regexp.MustCompile(`&http\.Transport\{`), regexp.MustCompile(`response\.Transport\(`), "response.Transport"},
	{regexp.MustCompile(`bounded\.Transport\(`), regexp.MustCompile(`return bounded\.Transport\(t\)`), "response.Transport"},
	{regexp.MustCompile(`http\.ReadResponse\(`), regexp.MustCompile(`http\.ReadResponse\(r\.br, req\)`), "response.Reader"},
}

// exempt are the folders whose processes are never shipped, and this one.
var exempt = regexp.MustCompile(`^(internal/(bounded|standin|measure)|cmd/(standin|measure)|test|examples|tools)/`)

// reviews are the folders of stand-ins that send requests to our processes.
var reviews = regexp.MustCompile(`^review/`)

// A new reader has no limit in bytes.
func TestAllReadersAreBounded(t *testing.T) { checkReaders(t, boundRules, nil) }

// A new reader of responses is more lenient than HTTP.
func TestAllReadersCheckResponses(t *testing.T) { checkReaders(t, syntaxRules, reviews) }

// checkReaders applies rules to all code but the exempt folders and others that are given; nil for none.
func checkReaders(t *testing.T, rules []rule, alsoExempt *regexp.Regexp) {
	t.Helper()
	root := filepath.Join("..", "..")
	files := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel(root, path)
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || exempt.MatchString(name) || alsoExempt != nil && alsoExempt.MatchString(name) {
			return nil
		}
		files++
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for i, line := range strings.Split(string(text), "\n") {
			for _, r := range rules {
				if r.forbidden.MatchString(line) && (r.allowed == nil || !r.allowed.MatchString(line)) {
					t.Errorf("%s:%d: use %s in place of %q", name, i+1, r.instead, strings.TrimSpace(line))
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 100 {
		t.Errorf("only %d files were read", files)
	}
}
