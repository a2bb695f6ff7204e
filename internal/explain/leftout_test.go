package explain

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/internal/logging"
)

// stuck is an output that nobody reads until it is let go.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
	let chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Nobody reads a process's log for a while, and the line of the request that somebody asks
// about is among those left out. The line that tells of them must be one like all others, with
// its time and its VM, and the reader is told of each line that is missing.
func TestWhatNobodyReadIsCounted(t *testing.T) {
	const written = 3 * logging.MostWaiting
	out := &stuck{let: make(chan struct{})}
	log, err := logging.Open(out, "gateway", "front-1", "info", 100*written)
	if err != nil {
		t.Fatal(err)
	}
	for range written {
		_ = level.Warn(log).Log("msg", "A request was refused.", "request", "r2", "result", "201 SATURATED")
	}
	close(out.let)
	others := 0
	waitUntil(t, func() bool {
		others++
		_ = level.Info(log).Log("msg", "Something else.")
		out.mu.Lock()
		defer out.mu.Unlock()
		return strings.Contains(out.buf.String(), "nobody read them")
	})
	log.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	s := read(t, "r1", out.buf.String())
	if s.Unread != 0 {
		t.Errorf("%d lines cannot be read", s.Unread)
	}
	there := strings.Count(out.buf.String(), "A request was refused.") + strings.Count(out.buf.String(), "Something else.")
	if missing := written + others - there; s.LeftOut != int64(missing) {
		t.Errorf("%d lines are told of as left out, %d are missing", s.LeftOut, missing)
	}
}

func waitUntil(t *testing.T, is func() bool) {
	t.Helper()
	const generous = 20 * time.Second
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if is() {
			return
		}
	}
	t.Fatalf("not within %v", generous)
}

// The bound of the lines leaves out those of a sentence, of which no further one comes: what
// tells of them is the bound's own line alone. Where both tell, no line is counted twice.
func TestWhatTheBoundLeftOutIsCountedOnce(t *testing.T) {
	own := "part=logging level=warn ts=" + at(5) + " self=front-1 msg=\"Lines were left out, to keep to the bound.\" served=10 failed=30 state=7\n"
	refused := line(1, "front-1", "Refused.", "request=r2 dropped_before=25")
	for name, c := range map[string]struct {
		log  string
		want int64
	}{
		"the bound alone": {own, 40},
		"both":            {refused + own, 40},
		"sentences, of which the bound has told in part": {refused + refused + own, 50},
	} {
		if s := read(t, "r1", c.log); s.LeftOut != c.want {
			t.Errorf("%s: %d left out, want %d", name, s.LeftOut, c.want)
		}
	}
}
