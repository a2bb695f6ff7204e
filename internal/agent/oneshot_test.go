package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/bounded"
)

// rawServer answers each connection with the same text and then keeps it open.
func rawServer(t *testing.T, text string) string {
	t.Helper()
	return "http://" + rawListener(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(text))
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}

// An interim answer is not the answer. A faulty backend server sends interim answers, or a header,
// without end: the request must fail, and the agent's memory must stay bounded.
func TestAnswersBeginWithTheirFinalStatus(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		text string
		good bool
	}{
		"at once":         {final, true},
		"after interim":   {interim + interim + final, true},
		"interim only":    {strings.Repeat(interim, 10) + final, false},
		"header too long": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*bounded.MaxHeaderBytes), false},
		"not HTTP":        {"SSH-2.0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := newBackend(rawServer(t, c.text)).send(context.Background(), &api.Work{Method: "POST", Path: "/", Body: []byte("x")})
			if (err == nil) != c.good {
				t.Fatalf("error %v, want the answer: %v", err, c.good)
			}
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); string(body) != "ok" || err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%d %q, %v", resp.StatusCode, body, err)
			}
		})
	}
}

// The caller of a stream leaves, or its deadline passes, while the engine sends nothing. The agent
// must neither wait for the engine nor read to the end of the stream: the request would hold its
// slot all that time.
func TestUnfinishedAnswersAreClosed(t *testing.T) {
	url := rawServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := newBackend(url).send(ctx, &api.Work{Method: "POST", Path: "/", Body: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	time.AfterFunc(10*time.Millisecond, cancel)
	if got, err := io.ReadAll(resp.Body); string(got) != "x" || err == nil {
		t.Errorf("%q, %v", got, err)
	}
	_ = resp.Body.Close()
	if resp, err = newBackend(url).send(context.Background(), &api.Work{Method: "POST", Path: "/"}); err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("closing the answers took %v", took)
	}
}
