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

// maxShownSections limits the sections that a difference lists.
const maxShownSections = 40

// printDiff prints what publishing would change: sections with + or -, and under a changed section
// the lines that differ. It reports whether anything would change.
func printDiff(out io.Writer, before, after []*api.Section) bool {
	oldByName, newByName := sectionsByName(before), sectionsByName(after)
	var added, removed, changed []string
	for _, s := range after {
		previous, ok := oldByName[s.GetName()]
		switch {
		case !ok:
			added = append(added, "+ ["+s.GetName()+"]")
		case !proto.Equal(previous, s):
			changed = append(changed, changedLines(previous, s))
		}
	}
	for _, s := range before {
		if newByName[s.GetName()] == nil {
			removed = append(removed, "- ["+s.GetName()+"]")
		}
	}
	fmt.Fprintf(out, "Against the list in force: %d sections added, %d removed, %d changed, %d as before.\n",
		len(added), len(removed), len(changed), len(after)-len(added)-len(changed))
	all := append(append(added, removed...), changed...)
	for i, text := range all {
		if i == maxShownSections {
			fmt.Fprintf(out, "  … and %d more\n", len(all)-maxShownSections)
			break
		}
		fmt.Fprintln(out, "  "+text)
	}
	return len(all) > 0
}

func sectionsByName(sections []*api.Section) map[string]*api.Section {
	byName := make(map[string]*api.Section, len(sections))
	for _, s := range sections {
		byName[s.GetName()] = s
	}
	return byName
}

// changedLines returns the name of a section and its lines that differ.
func changedLines(oldSection, newSection *api.Section) string {
	before, after := keyLines(oldSection), keyLines(newSection)
	text := "~ [" + newSection.GetName() + "]"
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

// keyLines returns the lines of a section without its name.
func keyLines(s *api.Section) []string {
	text := strings.TrimSpace(string(settings.Format([]*api.Section{s})))
	return strings.Split(text, "\n")[1:]
}
