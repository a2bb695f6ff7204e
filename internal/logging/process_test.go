package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/go-kit/log/level"
)

// Guards against lines below the level, such as thousands of debug lines about requests, that use
// up the rate limit for the lines that are logged.
func TestLinesBelowTheLevelUseNoneOfTheRateLimit(t *testing.T) {
	var out bytes.Buffer
	p, err := Open(&out, "gateway", "front-1", "info", MinLinesPerSecond)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 10 * MinLinesPerSecond {
		_ = level.Debug(p).Log("msg", fmt.Sprint("Hidden ", i%10))
	}
	_ = level.Info(p).Log("msg", "Shown.")
	p.Close()
	if text := out.String(); !strings.HasPrefix(text, "part=gateway level=info ts=") || strings.Count(text, "\n") != 1 ||
		!strings.HasSuffix(text, "self=front-1 msg=Shown.\n") {
		t.Errorf("got %q", text)
	}
}

func TestNoneLogsNothing(t *testing.T) {
	var out bytes.Buffer
	p, err := Open(&out, "gateway", "front-1", "none", MinLinesPerSecond)
	if err != nil {
		t.Fatal(err)
	}
	_ = level.Error(p).Log("msg", "Hidden.")
	p.Close()
	if out.Len() > 0 {
		t.Errorf("got %q", &out)
	}
}
