// Package coord_test checks that the packages of coord/ and decide/ stay free of clocks, sockets
// and goroutines, as their documentation states.
package coord_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const module = "github.com/apricothub/apricothub/"

// allowedImports are the packages of this module that coord/ and decide/ may import.
var allowedImports = []string{module + "api", module + "coord/", module + "decide/"}

// forbiddenImports are packages that give access to sockets, files or processes.
var forbiddenImports = []string{"net", "net/http", "os", "os/exec", "syscall"}

// clockFunctions are the functions of package time that read or use a clock.
var clockFunctions = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// The caller provides the clock, the sockets and the goroutines. A package with its own could not
// be driven through every order of events in a test.
func TestNoClockSocketOrGoroutine(t *testing.T) {
	for _, root := range []string{".", "../decide"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			checkFile(t, path)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		name := strings.Trim(spec.Path.Value, `"`)
		if slices.Contains(forbiddenImports, name) || strings.HasPrefix(name, module) && !isAllowed(name) {
			t.Errorf("%s imports %s", path, name)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", path)
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(clockFunctions, n.Sel.Name) {
				t.Errorf("%s uses time.%s", path, n.Sel.Name)
			}
		}
		return true
	})
}

func isAllowed(name string) bool {
	return slices.ContainsFunc(allowedImports, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}
