package entry

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
)

// BenchmarkToken measures one token from the agent's link to the caller, with each token sent by
// itself and both ends in one process. BenchmarkRequest measures a whole request with one token.
func BenchmarkToken(b *testing.B) {
	event := "data: " + strings.Repeat("x", 180) + "\n\n"
	agent := newFakeAgent(b, "b1", func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted(), headOf(200, "text/event-stream"))
		size := 0
		for n := range b.N {
			send(stream, partOf(uint64(n+1), event))
			size += len(event)
		}
		send(stream, endOf(uint64(b.N), uint64(size)))
		_ = stream.Receive(&api.WorkSignal{})
	})
	_, url := startEntry(b, agent)
	b.ReportAllocs()
	b.ResetTimer()
	if got := benchAsk(b, url); got != b.N {
		b.Fatalf("%d of %d tokens", got, b.N)
	}
}

func BenchmarkRequest(b *testing.B) {
	event := "data: x\n\n"
	agent := newFakeAgent(b, "b1", func(_ *api.Work, stream *link.Stream) {
		send(stream, accepted(), headOf(200, "text/event-stream"), partOf(1, event), endOf(1, uint64(len(event))))
		_ = stream.Receive(&api.WorkSignal{})
	})
	_, url := startEntry(b, agent)
	b.ReportAllocs()
	for b.Loop() {
		if got := benchAsk(b, url); got != 1 {
			b.Fatalf("%d tokens", got)
		}
	}
}

func benchAsk(b *testing.B, url string) int {
	r, err := http.NewRequest(http.MethodPost, url+completions, strings.NewReader(`{"model":"m","prompt":"p","max_tokens":5,"stream":true}`))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Apricothub-Deadline-Ms", "60000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	tokens := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data: x") {
			tokens++
		}
	}
	return tokens
}
