package bounded

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// rules are the ways to read from other processes that have no limit, or end a message silently at one.
var rules = []struct {
	// forbidden must not occur in a line, unless allowed does.
	forbidden, allowed *regexp.Regexp
	instead            string
}{
	{regexp.MustCompile(`io\.ReadAll\(`), regexp.MustCompile(`MaxBytesReader|maxFileBytes\+1`), "bounded.ReadAll"},
	{regexp.MustCompile(`&http\.Transport\{`), regexp.MustCompile(`bounded\.Transport\(`), "bounded.Transport"},
	{regexp.MustCompile(`http\.(DefaultClient|DefaultTransport|Get\(|Post\()`), nil, "a client with bounded.Transport"},
	{regexp.MustCompile(`json\.NewDecoder\(`), regexp.MustCompile(`MaxBytesReader`), "bounded.ReadAll and json.Unmarshal"},
	{regexp.MustCompile(`io\.LimitReader\(`), regexp.MustCompile(`maxFileBytes\+1|maxKeyBytes\+1`), "bounded.NewReader"},
	{regexp.MustCompile(`io\.Copy\(io\.Discard,`), nil, "bounded.Discard"},
	{regexp.MustCompile(`http\.ReadResponse\(`), regexp.MustCompile(`c\.br|reader`), "a bounded.Reader below it"},
}

// exempt are the folders whose processes are never shipped, and this one.
var exempt = regexp.MustCompile(`^(internal/(bounded|standin|measure)|cmd/(standin|measure)|test|examples|tools)/`)

// A new reader has no limit in bytes.
func TestAllReadersAreBounded(t *testing.T) {
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
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || exempt.MatchString(name) {
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
