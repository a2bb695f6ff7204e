package publish

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/settings"
)

// maxShown bounds the sections that a difference names one by one.
const maxShown = 40

// printDifference shows what publishing would change: sections with + or -, and
// below a changed section its lines. It says whether anything would change.
func printDifference(out io.Writer, before, after []*api.Section) bool {
	old, kept := byName(before), byName(after)
	var added, removed, changed []string
	for _, s := range after {
		was, ok := old[s.GetName()]
		switch {
		case !ok:
			added = append(added, "+ ["+s.GetName()+"]")
		case !proto.Equal(was, s):
			changed = append(changed, changedLines(was, s))
		}
	}
	for _, s := range before {
		if kept[s.GetName()] == nil {
			removed = append(removed, "- ["+s.GetName()+"]")
		}
	}
	fmt.Fprintf(out, "Against the list in force: %d sections added, %d removed, %d changed, %d as before.\n",
		len(added), len(removed), len(changed), len(after)-len(added)-len(changed))
	all := append(append(added, removed...), changed...)
	for i, text := range all {
		if i == maxShown {
			fmt.Fprintf(out, "  … and %d more\n", len(all)-maxShown)
			break
		}
		fmt.Fprintln(out, "  "+text)
	}
	return len(all) > 0
}

func byName(sections []*api.Section) map[string]*api.Section {
	named := make(map[string]*api.Section, len(sections))
	for _, s := range sections {
		named[s.GetName()] = s
	}
	return named
}

// changedLines gives a section's name and its lines that differ.
func changedLines(was, is *api.Section) string {
	before, after := keyLines(was), keyLines(is)
	text := "~ [" + is.GetName() + "]"
	for _, line := range before {
		if !slices.Contains(after, line) {
			text += "\n      - " + line
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			text += "\n      + " + line
		}
	}
	return text
}

// keyLines gives the lines of a section below its name.
func keyLines(s *api.Section) []string {
	text := strings.TrimSpace(string(settings.Format([]*api.Section{s})))
	return strings.Split(text, "\n")[1:]
}
