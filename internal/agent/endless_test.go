package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
)

// endlessServer answers requests without end, but those of /sound.
func endlessServer(t *testing.T, head, part string) string {
	t.Helper()
	return "http://" + rawListener(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if req.URL.Path == "/sound" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		_, err = io.WriteString(conn, head)
		for text := strings.Repeat(part, 1000); err == nil; {
			_, err = io.WriteString(conn, text)
		}
	})
}

// Guards against answers without end that together fill the memory of an agent, or keep it from other work afterwards.
func TestAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	const jobs = 8
	for name, c := range map[string]struct{ head, part string }{
		"a status line":       {"HTTP/1.1 200 ", "x"},
		"a header":            {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"interim responses":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"a body":              {"HTTP/1.1 200 OK\r\n\r\n", "value"},
		"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nvalue\r\n"},
		"a trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
		"events":              {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
		"an event":            {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "value"},
		"small chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"a chunk's extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "name=value;"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := testExecutor(t, endlessServer(t, c.head, c.part), &api.Backend{Service: "labels", FullLimit: jobs, ColdLimit: jobs})
			var running []*job
			for range jobs {
				j, refused := e.accept(pushWork(mintTicket(t, e)))
				if refused != nil {
					t.Fatal(refused)
				}
				running = append(running, j)
			}
			most := int64(0)
			for _, j := range running {
				for !isEnded(e, j) {
					e.mu.Lock()
					most = max(most, e.answers.Bytes())
					e.mu.Unlock()
					time.Sleep(time.Millisecond)
				}
				if refused := awaitEnd(t, e, j); refused.GetRan() != api.Ran_RAN_UNKNOWN {
					t.Errorf("an answer without end: %v", refused)
				}
			}
			if limit := 2 * e.settings.GetAnswerBytes(); most > limit {
				t.Errorf("%d bytes of answers were held, want at most %d", most, limit)
			}
			if refused := runSound(t, e); refused != nil {
				t.Errorf("work afterwards: %v", refused)
			}
		})
	}
}

// runSound runs work that is answered soundly, once the agent takes work again after the failures.
func runSound(t *testing.T, e *executor) *api.Refusal {
	t.Helper()
	const maxBackoff = 10 * time.Second
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		work := pushWork(mintTicket(t, e))
		work.Path = "/sound"
		j, refused := e.accept(work)
		if refused == nil {
			return awaitEnd(t, e, j)
		}
		if time.Since(began) > maxBackoff {
			return refused
		}
	}
}

// isEnded reports whether the answer of a job is closed.
func isEnded(e *executor, j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.buffer.IsEnded()
}
