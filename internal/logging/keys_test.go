package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Searches and alarms of a collector use the keys. Guards against a key in the code that is not in
// the vocabulary, and a key of the vocabulary that the code no longer writes.
func TestKeysAreTheVocabulary(t *testing.T) {
	known := make(map[string]bool)
	for _, section := range Vocabulary {
		for _, k := range section.Keys {
			if _, twice := known[k.Name]; twice || k.Doc == "" {
				t.Errorf("%s is a duplicate, or has no description", k.Name)
			}
			known[k.Name] = false
		}
	}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "standin" || entry.Name() == "measure") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			for _, key := range keysIn(n) {
				if _, ok := known[key]; !ok {
					t.Errorf("%s: the key %s is not in the vocabulary", files.Position(n.Pos()), key)
				}
				known[key] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for key, used := range known {
		if !used {
			t.Errorf("%s is in the vocabulary, but nothing writes it", key)
		}
	}
}

// keysIn returns the keys in a call to Log, With or append, or in a list of fields.
func keysIn(n ast.Node) []string {
	var pairs []ast.Expr
	switch n := n.(type) {
	case *ast.CallExpr:
		switch name := calledName(n); {
		case name == "Log":
			pairs = n.Args
		case name == "With" && len(n.Args) > 1:
			pairs = n.Args[1:]
		case name == "append" && len(n.Args) > 1:
			pairs = n.Args[1:]
		}
	case *ast.CompositeLit:
		if list, ok := n.Type.(*ast.ArrayType); ok && isAny(list.Elt) {
			pairs = n.Elts
		}
	}
	var keys []string
	if list, ok := n.(*ast.CompositeLit); ok && isListOfAny(list.Type) {
		// The inner lists in a list of lists of fields have no type in the source.
		for _, inner := range list.Elts {
			if inner, ok := inner.(*ast.CompositeLit); ok && inner.Type == nil {
				keys = append(keys, keysIn(&ast.CompositeLit{Type: list.Type.(*ast.ArrayType).Elt, Elts: inner.Elts})...)
			}
		}
		return keys
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		if key := keyOf(pairs[i]); key != "" && key != FieldsKey {
			keys = append(keys, key)
		}
	}
	return keys
}

func calledName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.SelectorExpr:
		return f.Sel.Name
	case *ast.Ident:
		return f.Name
	}
	return ""
}

// isListOfAny returns true if a type is [][]any.
func isListOfAny(e ast.Expr) bool {
	outer, ok := e.(*ast.ArrayType)
	if !ok {
		return false
	}
	inner, ok := outer.Elt.(*ast.ArrayType)
	return ok && isAny(inner.Elt)
}

func isAny(e ast.Expr) bool {
	name, ok := e.(*ast.Ident)
	return ok && name.Name == "any"
}

// keyConstants maps the names of constants to the keys.
var keyConstants = map[string]string{
	"RequestKey": RequestKey, "TimeKey": TimeKey, "DroppedKey": DroppedKey, "UnreadKey": UnreadKey, "PartKey": PartKey, "SelfKey": SelfKey, "ResultKey": ResultKey, "MessageKey": MessageKey,
}

// keyOf returns the key that an expression represents, empty if it is none.
func keyOf(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		if err == nil && e.Kind == token.STRING {
			return text
		}
	case *ast.Ident:
		return keyConstants[e.Name]
	case *ast.SelectorExpr:
		return keyConstants[e.Sel.Name]
	case *ast.CallExpr:
		// The String method of a kind gives its key.
		if of, ok := e.Fun.(*ast.SelectorExpr); ok && of.Sel.Name == "String" {
			for k := range numKinds {
				if name, ok := of.X.(*ast.Ident); ok && strings.EqualFold(name.Name, k.String()) {
					return k.String()
				}
			}
		}
	}
	return ""
}
