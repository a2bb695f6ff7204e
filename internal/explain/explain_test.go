package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// timestamp returns the time ms milliseconds after the start of the test's logs.
func timestamp(ms int) string {
	return time.Date(2026, 3, 1, 2, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
}

func line(ms int, vm, msg, fields string) string {
	return fmt.Sprintf("part=gateway level=info ts=%s self=%s msg=%q %s\n", timestamp(ms), vm, msg, fields)
}

func readLogs(t *testing.T, request string, logs ...string) *Timeline {
	t.Helper()
	r := NewReader(request)
	for _, log := range logs {
		if err := r.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	return r.Timeline()
}

func messages(lines []Line) string {
	var all []string
	for _, l := range lines {
		all = append(all, l.VM+": "+l.Message)
	}
	return strings.Join(all, " ")
}

// A caller's request reached two entries. Guards against lines in the wrong order: they must be
// ordered by time whatever the order of the files, and lines with the same time as they were
// written.
func TestLinesOfSeveralProcessesComeInOrder(t *testing.T) {
	first := line(300, "front-1", "C.", "request=r1") + line(300, "front-1", "D.", "request=r1")
	second := line(100, "front-2", "A.", "request=r1") + line(200, "front-2", "B.", "request=r1") + line(150, "front-2", "X.", "request=r10")
	if got := messages(readLogs(t, "r1", first, second).Lines); got != "front-2: A. front-2: B. front-1: C. front-1: D." {
		t.Errorf("got %s", got)
	}
}

// Lines about the processes shortly before a request are shown if they may show its cause: they
// name the request's service or server, or none, and are from a process that had the request.
func TestContextOfARequest(t *testing.T) {
	log := line(0, "front-1", "Too old.", "") +
		line(11_000, "front-1", "Marked.", "failure_domain=b") +
		line(11_100, "front-1", "Its server.", "server=i-1 service=app") +
		line(11_200, "front-1", "Another server of its service.", "server=i-2 service=app") +
		line(11_300, "front-1", "Another service.", "server=i-3 service=chat") +
		line(11_400, "front-2", "Another process.", "") +
		line(12_000, "front-1", "Refused.", "request=r1 server=i-1 service=app") +
		line(13_000, "front-1", "After.", "") +
		line(15_000, "front-1", "Too late.", "")
	want := "front-1: Marked. front-1: Its server. front-1: Another server of its service. front-1: After."
	if got := messages(readLogs(t, "r1", log).Context); got != want {
		t.Errorf("got %s", got)
	}
}

// Guards against unlimited memory use when a long log precedes the request.
func TestContextIsBounded(t *testing.T) {
	var log strings.Builder
	for i := range 20 * maxContextLines {
		log.WriteString(line(i, "front-1", "State.", ""))
	}
	r := NewReader("r1")
	if err := r.Read(strings.NewReader(log.String())); err != nil {
		t.Fatal(err)
	}
	if n := len(r.processes["front-1"].lines); n > maxContextLines+1 {
		t.Errorf("%d lines are kept", n)
	}
}

// The collector truncated a line, joined two, and inserted lines of its own. Lines that can be
// parsed must be used, and the others counted.
func TestUnparsableLinesAreSkipped(t *testing.T) {
	log := "== front-1 ==\npart=gateway ts=20\n{\"json\":1}\n\n" + strings.Repeat("x", maxLineBytes+10) + "\n" +
		line(1, "front-1", "Refused.", `request="r 1" text="said \"no\""`)
	s := readLogs(t, "r 1", log)
	if got := messages(s.Lines); got != "front-1: Refused." {
		t.Errorf("got %q", got)
	}
	if s.Unparsable < 4 {
		t.Errorf("%d lines could not be parsed", s.Unparsable)
	}
}

// The request has no line. The count of dropped lines, which lines of other requests report too,
// shows that its lines may have been dropped.
func TestDroppedLinesAreCounted(t *testing.T) {
	s := readLogs(t, "r1", line(1, "front-1", "Refused.", "request=r2 dropped_before=40")+line(2, "front-1", "Refused.", "request=r3 dropped_before=2"))
	if len(s.Lines) != 0 || s.Dropped != 42 {
		t.Errorf("%d lines, %d dropped", len(s.Lines), s.Dropped)
	}
}

func TestRender(t *testing.T) {
	log := line(0, "front-1", "A failure domain was marked.", "failure_domain=b out=true") +
		line(500, "front-1", "A request was refused.", `request=r1 result="201 SATURATED" sent=0 free=0 server=i-1 new_key="a b"`)
	var out strings.Builder
	if err := Render(&out, readLogs(t, "r1", log)); err != nil {
		t.Fatal(err)
	}
	want := `Request r1: 1 line in the logs of 1 process, on 2026-03-01.

  02:00:00.000   -0.500 s  gateway front-1  A failure domain was marked.
                failure_domain=b out=true
* 02:00:00.500   +0.000 s  gateway front-1  A request was refused. [201 SATURATED]
      request   sent=0
      believed  free=0
      server    server=i-1
      other     new_key="a b"

201 SATURATED: `
	if got := out.String(); !strings.HasPrefix(got, want) || !strings.HasSuffix(got, "Ran: no.\n") {
		t.Errorf("got\n%s", got)
	}
}
