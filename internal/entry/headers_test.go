package entry

import (
	"os"
	"strings"
	"testing"
)

// Whoever writes a client has only the page: each header that the entry reads or sets
// stands there.
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
			t.Errorf("docs/CALLERS.md does not tell of %s", header)
		}
	}
}
