package main

import (
	"fmt"
	"strings"

	"github.com/apricothub/apricothub/internal/result"
)

const resultsIntro = `# Result codes

Made from the schema by ` + "`go run ./internal/docgen`" + `; do not edit.

Every answer that apricothub itself makes carries the header
` + "`Apricothub-Result: <number> <name>`" + `. An error has a JSON body:

    {"error":{"code":200,"name":"OVER_SHARE","message":"…","ran":"no","retry_after_ms":1200}}

*ran* says whether the request took effect: ` + "`no`" + ` (it has not and never will), ` + "`yes`" + `,
or ` + "`unknown`" + ` (nobody can tell). The table gives the usual value; the body's goes before
it. A code marked *Retry-After* tells the caller when to come back: in whole seconds in the
header, rounded up, and in milliseconds in the body.

*Exit* is the status of an operators' command that ends with the code. A command that
succeeds ends with 0; one with wrong arguments or a file with faults with 2; any other
failure with 1.
`

// groupTitles gives the title of each group of codes, indexed by the code's hundreds.
var groupTitles = []string{
	"Success", "The request is at fault", "Refused: the request has not run",
	"About a ticket that was used", "The answer failed", "Operators' commands",
}

func resultsPage() string {
	var b strings.Builder
	b.WriteString(resultsIntro)
	group := int32(-1)
	for _, info := range result.All() {
		if info.Number/100 != group {
			group = info.Number / 100
			fmt.Fprintf(&b, "\n## %s\n\n| Code | Name | HTTP | Ran | Exit | Meaning |\n|---|---|---|---|---|---|\n", groupTitles[group])
		}
		writeRow(&b, info)
	}
	return b.String()
}

func writeRow(b *strings.Builder, info result.Info) {
	text := info.Doc
	if info.RetryAfter {
		text += " *Retry-After.*"
	}
	fmt.Fprintf(b, "| %d | `%s` | %d | %s | %d | %s |\n",
		info.Number, info.Name, info.HTTP, result.RanName(info.Ran), info.Exit, text)
}
