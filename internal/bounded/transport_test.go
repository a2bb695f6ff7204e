package bounded

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A process that is called, such as the store or another entry, sends without end what is no answer.
func TestTransportEndsAnswersWithoutEnd(t *testing.T) {
	const maxSent = 8 << 20
	for name, answer := range map[string]struct{ head, part string }{
		"a status line":   {"", "HTTP/1.1 200 O"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"a body":          {"HTTP/1.1 200 OK\r\n\r\n", "value"},
		"a trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, answer.head, strings.Repeat(answer.part, 1000))
			client := &http.Client{Transport: Transport(&http.Transport{DisableKeepAlives: true})}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := client.Do(req)
			if err == nil {
				_, err = ReadAll(resp.Body, 1<<20, "the answer")
				_ = resp.Body.Close()
			}
			if err == nil {
				t.Error("an answer without end was read whole")
			}
			if ctx.Err() != nil {
				t.Error("only the deadline ended the call")
			}
			if sent.Load() > maxSent {
				t.Errorf("%d bytes were sent", sent.Load())
			}
		})
	}
}

// serveEndless starts a server that answers with head, and with part again and again.
func serveEndless(t *testing.T, head, part string) (address string, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent = &atomic.Int64{}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		_, err = io.WriteString(conn, head)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, part)
			sent.Add(int64(n))
		}
	}()
	return listener.Addr().String(), sent
}
