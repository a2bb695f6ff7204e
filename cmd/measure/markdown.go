package main

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// markdownTable is a Markdown table.
type markdownTable struct {
	head []string
	rows [][]string
}

func (t *markdownTable) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *markdownTable) String() string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.head)
	rule := make([]string, len(t.head))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, row := range t.rows {
		line(row)
	}
	return b.String()
}

// replaceSection replaces the text between the marker comments of a measure, <!-- measure:NAME -->
// and <!-- /measure:NAME -->.
func replaceSection(page, name, text string) (string, error) {
	begin, end := "<!-- measure:"+name+" -->\n", "<!-- /measure:"+name+" -->"
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return "", errors.Errorf("the page has no marker %q", strings.TrimSpace(begin))
	}
	_, after, found := strings.Cut(rest, end)
	if !found {
		return "", errors.Errorf("the page has no marker %q", end)
	}
	return before + begin + "\n" + text + "\n" + end + after, nil
}
