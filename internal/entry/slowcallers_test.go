package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
	"github.com/apricothub/apricothub/test/harness"
)

// Guards against answers that are cut because their caller reads late: the agent has sent them, and the deadline is
// far.
func TestSlowCallersGetWholeAnswers(t *testing.T) {
	t.Parallel()
	const (
		parts     = 40
		readPause = 2500 * time.Millisecond
	)
	part := "data: " + strings.Repeat("x", 300) + "\n\n"
	whole := func(contentType, end string) func(*api.Work, *link.Stream) {
		return func(_ *api.Work, stream *link.Stream) {
			send(stream, accepted(), headOf(200, contentType))
			for n := range uint64(parts) {
				send(stream, partOf(n+1, part))
				time.Sleep(5 * time.Millisecond)
			}
			size := parts*len(part) + len(end)
			if end != "" {
				send(stream, partOf(parts+1, end), endOf(parts+1, uint64(size)))
			} else {
				send(stream, endOf(parts, uint64(size)))
			}
			_ = stream.Receive(&api.WorkSignal{})
		}
	}
	var callers sync.WaitGroup
	for _, script := range []func(*api.Work, *link.Stream){whole("text/plain", ""), whole("text/event-stream", doneEvent+"\n\n")} {
		agent := newFakeAgent(t, "b1", script)
		_, url := startEntry(t, agent)
		callers.Go(func() {
			body, err := readSlowly(strings.TrimPrefix(url, "http://"), readPause)
			if n := strings.Count(body, part); n != parts || err != nil {
				t.Errorf("%d parts of %d, error %v", n, parts, err)
			}
		})
	}
	callers.Wait()
}

// readSlowly sends a completion from a socket with a small receive buffer, stops reading after the header of the
// answer, and reads the rest.
func readSlowly(address string, pause time.Duration) (string, error) {
	const receiveBuffer = 2 << 10
	conn, err := harness.NewSmallReader(receiveBuffer).Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	const body = `{"model":"m","prompt":"p","max_tokens":5}`
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", completions, testKey, len(body), body); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil)
	if err != nil {
		return "", err
	}
	time.Sleep(pause)
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
