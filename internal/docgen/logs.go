package main

import (
	"fmt"
	"strings"

	"github.com/apricothub/apricothub/internal/logging"
)

const logsIntro = `# Log lines

Made from the code by ` + "`go run ./internal/docgen`" + `; do not edit.

Each process logs to standard output, one line an event, in logfmt: ` + "`key=value`" + `, with
quotes where a value has spaces. A line begins with its part; ` + "`self`" + ` is the VM.

    part=gateway level=warn ts=… self=front-1 msg="A request was refused." result="201 SATURATED" request=…

Three kinds of lines have room of their own, so that none crowds out another:

| Kind | Lines | Part of the bound |
|---|---|---|
| served | about a request that went as it should; a sample under load | a fifth |
| failed | about a request that was refused, failed, late or tried once more | half; one sentence half of that |
| state | about the process: what it believes, starts, stops, faults | the rest; one sentence half of that |

The bound is on the lines of any second: ` + "`--log-lines`" + ` of gateway and rank-agent, and
` + "`[log] lines_per_second`" + ` of entry and agent; %d unless set. Half of it is the rate that lasts,
half may come at once. Nothing waits for a reader: when nobody reads, lines wait in memory,
those of served requests give way first, and the rest is left out. What is left out is counted:
by sentence in ` + "`dropped_before`" + `, by kind in a line every ten seconds at most and in the metrics
` + "`log.dropped.served`, `log.dropped.failed`, `log.dropped.state` and `log.dropped.unread`" + `.

` + "`apricothub explain ID`" + ` puts the lines of one request in order; [OPERATIONS.md](OPERATIONS.md)
shows it at work.

## Keys

A key means the same in every line. Names in ` + "`_ms`" + ` hold milliseconds.
`

func logsPage() string {
	var b strings.Builder
	fmt.Fprintf(&b, logsIntro, logging.DefaultLinesPerSecond)
	for _, section := range logging.Vocabulary {
		fmt.Fprintf(&b, "\n### Of %s\n\n| Key | Value |\n|---|---|\n", section.About)
		for _, k := range section.Keys {
			fmt.Fprintf(&b, "| `%s` | %s |\n", k.Name, k.Doc)
		}
	}
	return b.String()
}
