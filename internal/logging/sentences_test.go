package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// events are the sentences of lines that are not about a failure. All other lines have a result.
var events = map[string]bool{
	"A service of lock-step engines may get requests.":                              true,
	"A service that refused work was watched.":                                      true,
	"The registration of a backend server has expired.":                             true,
	"A backend server is ordered to load.":                                          true,
	"A changed setting needs a restart.":                                            true,
	"A configuration is in force.":                                                  true,
	"A failure domain was marked.":                                                  true,
	"A link is established.":                                                        true,
	"A link to an agent outside the subset is dropped.":                             true,
	"A backend server was replaced at its address.":                                 true,
	"A new expert map is in use.":                                                   true,
	"A newer link replaces an older one.":                                           true,
	"A registration is new or has changed.":                                         true,
	"The load limit of a backend server has changed.":                               true,
	"A backend server is too slow for requests. Those that run there may leave it.": true,
	"The slots of a service are divided by urgency.":                                true,
	"All requests for a service fit its slots again.":                               true,
	"A backend server is fast enough for requests again.":                           true,
	"A map that an earlier coordinator has prepared is taken over.":                 true,
	"The successor of the coordinator has changed.":                                 true,
	"A backend server leaves, as it has said in an answer.":                         true,
	"A part of requests that had ended backend servers is sound.":                   true,
	"A backend server asks for rest.":                                               true,
	"A backend server limits its requests per second.":                              true,
	"A backend server no longer limits its requests per second.":                    true,
	"The VM of a backend server answers again.":                                     true,
	"Another entry is heard.":                                                       true,
	"A request was served late.":                                                    true,
	"A request was served after another attempt.":                                   true,
	"Ranks accepted an order.":                                                      true,
	"A registration is gone.":                                                       true,
	"An engine answers again.":                                                      true,
	"An answer continues over another link.":                                        true,
	"An agent was asked what became of a ticket.":                                   true,
	"A request was served.":                                                         true,
	"A setting has changed.":                                                        true,
	"An order was passed on.":                                                       true,
	"Rank agents lack the map in use and are sent the new one whole.":               true,
	"Experts are moved to follow their popularity and the pace of ranks.":           true,
	"Experts are moved to follow their popularity.":                                 true,
	"Readiness has changed.":                                                        true,
	"The agent has started.":                                                        true,
	"The agent has stopped.":                                                        true,
	"The agent is stopping and accepts no new work.":                                true,
	"The caller has gone.":                                                          true,
	"The engine answers again.":                                                     true,
	"The engine is ordered to load another version.":                                true,
	"The entries that serve have changed.":                                          true,
	"The entry has started.":                                                        true,
	"The entry has stopped.":                                                        true,
	"The entry is stopping. It has left the list of addresses.":                     true,
	"The expert map is given a new version.":                                        true,
	"The log has truncated records; all keys are read again.":                       true,
	"A silent entry was removed from the list of entries.":                          true,
	"It is decided whether the store is asked at the start.":                        true,
	"Live entries were added to the list of entries.":                               true,
	"The process leaves.":                                                           true,
	"The process starts.":                                                           true,
	"The process stops.":                                                            true,
	"The recorded popularity of experts was read.":                                  true,
	"The settings were read.":                                                       true,
	"The store answers again.":                                                      true,
	"This agent coordinates the group.":                                             true,
	"This entry coordinates the expert maps.":                                       true,
	"This entry no longer coordinates the expert maps.":                             true,
	"Took what another entry holds.":                                                true,
}

// Operators look up a failure by its code. Guards against lines about a failure without one: each
// line of the shipped processes is either one of the events above, without an error, or has a
// result with number and name. Lines of the HTTP library must go through the same logger.
func TestFailuresCarryAResult(t *testing.T) {
	seen := 0
	for _, root := range []string{"..", "../../cmd/apricothub"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
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
				if fault := faultOf(n); fault != "" {
					t.Errorf("%s: %s", files.Position(n.Pos()), fault)
				}
				if call, ok := n.(*ast.CallExpr); ok && fieldsOf(call)[`"msg"`] != nil {
					seen++
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if seen < 40 {
		t.Errorf("only %d lines were found: the test looks in the wrong place", seen)
	}
}

func faultOf(n ast.Node) string {
	switch n := n.(type) {
	case *ast.CompositeLit:
		if isSelector(n.Type, "http", "Server") && !strings.Contains(keysOf(n), "ErrorLog") {
			return "an HTTP server without ErrorLog writes lines of its own"
		}
	case *ast.CallExpr:
		fields := fieldsOf(n)
		if name, ok := n.Fun.(*ast.Ident); ok && name.Name == "line" && len(n.Args) == 3 {
			// A function named line builds the fields of lines about requests.
			fields[`"msg"`] = n.Args[1]
			ast.Inspect(n.Args[2], func(in ast.Node) bool {
				if key, ok := in.(*ast.BasicLit); ok && key.Value == `"result"` {
					fields[key.Value] = key
				}
				return true
			})
		}
		if fields[`"msg"`] == nil {
			return ""
		}
		literal, _ := fields[`"msg"`].(*ast.BasicLit)
		event := literal != nil && events[strings.Trim(literal.Value, `"`)]
		switch code, _ := fields[`"result"`].(*ast.SelectorExpr); {
		case fields[`"result"`] == nil && (!event || fields[`"err"`] != nil):
			return "a failure without a result; if it is none, add it to the list of events"
		case code != nil && strings.HasPrefix(code.Sel.Name, "ResultCode_"):
			return "a result without its number: use result.Label"
		}
	}
	return ""
}

// fieldsOf returns the values of a line whose keys are literals, by key.
func fieldsOf(call *ast.CallExpr) map[string]ast.Expr {
	fields := map[string]ast.Expr{}
	for i := 0; i+1 < len(call.Args); i++ {
		if key, ok := call.Args[i].(*ast.BasicLit); ok && key.Kind == token.STRING {
			fields[key.Value] = call.Args[i+1]
		}
	}
	return fields
}

func isSelector(e ast.Expr, pkg, name string) bool {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != name {
		return false
	}
	of, ok := selector.X.(*ast.Ident)
	return ok && of.Name == pkg
}

func keysOf(n *ast.CompositeLit) string {
	var keys strings.Builder
	for _, element := range n.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			keys.WriteString(pair.Key.(*ast.Ident).Name + " ")
		}
	}
	return keys.String()
}
