package entry

import (
	"os"
	"strings"
	"testing"
)

// Authors of clients have only the page for callers. It must name each header that the entry reads
// or sets.
func TestEachHeaderIsDocumentedForCallers(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, header := range []string{
		headerDeadline, headerDeadlineMs, headerPriority, headerVersion, headerAdapter, headerTicket,
		headerRequest, headerLastEvent, headerFirstTry, headerKeyLifetime,
	} {
		if !strings.Contains(string(page), "`"+header) {
			t.Errorf("docs/CALLERS.md does not name the header %s", header)
		}
	}
}
