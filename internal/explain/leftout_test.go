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

// testTimeout is the time limit of a test, far longer than it needs.
const testTimeout = 20 * time.Second

// Nobody reads a process's log for a while, and the line of the explained request is dropped.
// Guards against missing lines that are not counted: the line that reports them must be a regular
// line, with time and VM.
func TestUnreadLinesAreCounted(t *testing.T) {
	const written = 3 * logging.MaxQueuedLines
	out, in := io.Pipe()
	// Ends the test if the expected line never comes.
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
			// There is room in the queue again; this line comes after all queued ones.
			_ = level.Info(log).Log("msg", "The end.")
		case strings.Contains(line, "The end."):
			ended = true
		}
	}
	if !ended {
		t.Fatalf("no line within %v that reports the dropped lines", testTimeout)
	}
	s := readLogs(t, "r1", text.String())
	if s.Unparsable != 0 {
		t.Errorf("%d lines could not be parsed", s.Unparsable)
	}
	if missing := written - received; missing == 0 || s.Dropped != int64(missing) {
		t.Errorf("%d lines are reported as dropped, %d are missing", s.Dropped, missing)
	}
}

// The rate limit drops lines of a sentence that does not occur again, so that only the limit's own
// line reports them. Guards against lines that are counted twice when both report them.
func TestRateLimitedLinesAreCountedOnce(t *testing.T) {
	limitReport := "part=logging level=warn ts=" + timestamp(5) + " self=front-1 msg=\"Log lines were dropped to keep to the rate limit.\" served=10 failed=30 state=7\n"
	refused := line(1, "front-1", "Refused.", "request=r2 dropped_before=25")
	for name, c := range map[string]struct {
		log  string
		want int64
	}{
		"limit only": {limitReport, 40},
		"both":       {refused + limitReport, 40},
		"sentences that the limit has reported in part": {refused + refused + limitReport, 50},
	} {
		if s := readLogs(t, "r1", c.log); s.Dropped != c.want {
			t.Errorf("%s: %d dropped, want %d", name, s.Dropped, c.want)
		}
	}
}
