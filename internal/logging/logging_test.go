package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

func TestLevelAndPrefix(t *testing.T) {
	var out bytes.Buffer
	logger, minLevel, err := New(&out, "warn")
	if err != nil {
		t.Fatal(err)
	}
	part := Part(logger, "entry")
	_ = level.Info(part).Log("msg", "Not shown.")
	_ = part.Log("level", "debug", "msg", "Not shown either.")
	_ = level.Error(part).Log("msg", "Link is dead.", "vm", "vm-1")
	if err := minLevel.Set("debug"); err != nil {
		t.Fatal(err)
	}
	_ = level.Debug(part).Log("msg", "Now shown.")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.HasPrefix(lines[0], "part=entry level=error ts=") ||
		!strings.HasSuffix(lines[0], ` msg="Link is dead." vm=vm-1`) {
		t.Errorf("got:\n%s", &out)
	}
	out.Reset()
	_ = Part(part, "control").Log("msg", "Inner.")
	_ = minLevel.Set("info")
	_ = Part(part, "control").Log("msg", "Inner.")
	if got := out.String(); strings.Count(got, "part=") != 2 || !strings.HasPrefix(got, "part=control ") {
		t.Errorf("part within a part: %s", got)
	}
	if minLevel.Set("loud") == nil {
		t.Error("an unknown level must be refused")
	}
}

// A handler panics, and the HTTP library logs it in its own format. Guards against a stack of many
// lines in the log: there must be one line in the usual format, with a result.
func TestStdLoggerWritesOneLinePerText(t *testing.T) {
	var out bytes.Buffer
	stdLogger := NewStdLogger(log.NewLogfmtLogger(&out), "The server met a fault.", "403 INTERNAL")
	stdLogger.Printf("http: panic serving: x\n%s", strings.Repeat("goroutine 1 [running]\n", 1000))
	want := `level=warn msg="The server met a fault." result="403 INTERNAL" err="http: panic serving: x\ngoroutine`
	if !strings.HasPrefix(out.String(), want) || strings.Count(out.String(), "\n") != 1 || out.Len() > 2*maxLibraryBytes {
		t.Errorf("%d bytes: %.200s", out.Len(), &out)
	}
}
