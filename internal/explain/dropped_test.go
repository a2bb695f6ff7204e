package explain

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/internal/logging"
)

// testTimeout is how long a test waits for what must happen: far more than it takes.
const testTimeout = 20 * time.Second

// Nobody reads a process's log for a while, and the line of the request that somebody asks
// about is among those left out. The line that tells of them must be one like all others, with
// its time and its VM, and the reader is told of each line that is missing.
func TestUnreadLinesAreCounted(t *testing.T) {
	const written = 3 * logging.MaxQueuedLines
	out, in := io.Pipe()
	// Or a line that never comes would be waited for.
	defer time.AfterFunc(testTimeout, func() { _ = in.Close() }).Stop()
	log, err := logging.Open(in, "gateway", "front-1", "info", 100*written)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	defer func() { _ = out.Close() }()
	for range written {
		_ = level.Warn(log).Log("msg", "A request was refused.", "request", "r2", "result", "201 SATURATED")
	}
	var text strings.Builder
	received, ended := 0, false
	for lines := bufio.NewScanner(out); !ended && lines.Scan(); {
		line := lines.Text()
		text.WriteString(line + "\n")
		switch {
		case strings.Contains(line, "A request was refused."):
			received++
		case strings.Contains(line, "standard output was not read"):
			// There is room for this one again, and it comes behind all that waits.
			_ = level.Info(log).Log("msg", "The end.")
		case strings.Contains(line, "The end."):
			ended = true
		}
	}
	if !ended {
		t.Fatalf("not within %v: the line that tells of those left out", testTimeout)
	}
	s := readLogs(t, "r1", text.String())
	if s.Unparsable != 0 {
		t.Errorf("%d lines cannot be read", s.Unparsable)
	}
	if missing := written - received; missing == 0 || s.Dropped != int64(missing) {
		t.Errorf("%d lines are told of as left out, %d are missing", s.Dropped, missing)
	}
}

// The bound of the lines leaves out those of a sentence, of which no further one comes: what
// tells of them is the bound's own line alone. Where both tell, no line is counted twice.
func TestRateLimitedLinesAreCountedOnce(t *testing.T) {
	limitReport := "part=logging level=warn ts=" + timestamp(5) + " self=front-1 msg=\"Log lines were dropped to keep to the rate limit.\" served=10 failed=30 state=7\n"
	refused := line(1, "front-1", "Refused.", "request=r2 dropped_before=25")
	for name, c := range map[string]struct {
		log  string
		want int64
	}{
		"the bound alone": {limitReport, 40},
		"both":            {refused + limitReport, 40},
		"sentences, of which the bound has told in part": {refused + refused + limitReport, 50},
	} {
		if s := readLogs(t, "r1", c.log); s.Dropped != c.want {
			t.Errorf("%s: %d left out, want %d", name, s.Dropped, c.want)
		}
	}
}
