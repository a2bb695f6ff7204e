package main

import (
	"fmt"
	"strings"

	"github.com/apricothub/apricothub/internal/logging"
)

const logsIntro = `# Log lines

Generated from the code by ` + "`go run ./internal/docgen`" + `; do not edit.

Each process writes its log to standard output, one line per event, in logfmt: ` + "`key=value`" + `, with
quotes around values that contain spaces. Each line starts with the part of the process that wrote
it; ` + "`self`" + ` is the VM.

    part=gateway level=warn ts=… self=front-1 msg="A request was refused." result="201 SATURATED" request=…

Lines are of three kinds. Each kind has its own share of the rate limit, so that many lines of one
kind do not displace the others:

| Kind | Lines | Share of the limit |
|---|---|---|
| served | about a request that was served normally; under load only a sample is logged | a fifth |
| failed | about a request that was refused, failed, late or retried | half; at most half of that for one message |
| state | about the process: the state it acts on, start, stop, faults | the rest; at most half of that for one message |

The limit applies to any period of one second. It is set by ` + "`--log-lines`" + ` of gateway and rank-agent,
and by ` + "`[log] lines-per-second`" + ` of entry and agent; the default is %d. Half of it is the sustained
rate, half is available for bursts. The process never waits for the reader of its log: if standard
output is not read, lines are queued in memory. When the queue is half full, lines about served
requests are dropped; when it is full, all lines are. Dropped lines are counted: by message in
` + "`dropped_before`" + `, by kind in a line written at most every ten seconds, and in the metrics
` + "`log.dropped.served`, `log.dropped.failed`, `log.dropped.state` and `log.dropped.unread`" + `.

` + "`apricothub explain ID`" + ` prints the lines of one request in order of time; see
[OPERATIONS.md](OPERATIONS.md) for examples.

## Keys

A key has the same meaning in every line. Values of keys that end in ` + "`_ms`" + ` are in milliseconds.
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
