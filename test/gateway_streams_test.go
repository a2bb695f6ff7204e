package test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// streamEvents is the number of events of a whole stream.
const streamEvents = 24

// eventOf returns one event of the stream of a draft.
func eventOf(draft string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, draft, n)
}

func wholeStream(draft string) string {
	var text strings.Builder
	for n := 1; n <= streamEvents; n++ {
		text.WriteString(eventOf(draft, n))
	}
	return text.String()
}

// streamServer is a backend server that streams drafts and breaks some of them off, also in the
// middle of an event.
type streamServer struct {
	mu     sync.Mutex
	rng    *rand.Rand
	broken int
	// interval is the time between two events.
	interval time.Duration
	// breakPercent is the percentage of streams that break off.
	breakPercent int
}

func (s *streamServer) answer(seen fakeplatform.ReceivedRequest, conn net.Conn) bool {
	path, isDraft := strings.CutPrefix(seen.Request.URL.Path, "/draft/")
	if !isDraft {
		return fakeplatform.Echo(seen, conn)
	}
	s.mu.Lock()
	breakAt := streamEvents + 1
	if s.rng.IntN(100) < s.breakPercent {
		breakAt = 1 + s.rng.IntN(streamEvents)
		s.broken++
	}
	s.mu.Unlock()
	_, _ = io.WriteString(conn, fakeplatform.StreamHead(seen))
	after, err := strconv.Atoi(seen.ResumeAfter())
	if err != nil {
		after = 0
	}
	for n := after + 1; n <= streamEvents; n++ {
		event := eventOf(path, n)
		if n == breakAt {
			// The chunk header announces more bytes than follow.
			_, _ = io.WriteString(conn, fmt.Sprintf("%x\r\n%s", len(event), event[:len(event)/2]))
			return false
		}
		if _, err := io.WriteString(conn, fakeplatform.Chunk(event)); err != nil {
			return false
		}
		time.Sleep(s.interval)
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// readDraft reads a stream through gateways. When it breaks off, it resumes elsewhere after the
// last whole event, as callers do. It returns the text, whether the last part ended as complete,
// and how often it resumed.
func readDraft(client *http.Client, addresses *addressCache, draft string, maxAttempts int) (text string, whole bool, resumed int) {
	var got bytes.Buffer
	last := ""
	for n := range maxAttempts {
		req, err := fakeplatform.NewRequest(addresses.pick(), "/draft/"+draft, fmt.Sprintf("%s.%d", draft, n))
		if err != nil {
			return got.String(), false, n
		}
		if last != "" {
			req.Header.Set("Last-Event-Id", last)
		}
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		// Of a part that broke off, only whole events count.
		got.Write(body[:wholeEventsLen(body)])
		if at := strings.LastIndex(got.String(), "id: "); at >= 0 {
			last, _, _ = strings.Cut(got.String()[at+len("id: "):], "\n")
		}
		if err == nil {
			return got.String(), true, n
		}
	}
	return got.String(), false, maxAttempts
}

func wholeEventsLen(body []byte) int {
	if at := bytes.LastIndex(body, []byte("\n\n")); at >= 0 {
		return at + len("\n\n")
	}
	return 0
}

// Callers read long drafts while model servers break off in the middle of events and gateways are
// killed and paused. A draft that looks complete must be complete, byte for byte and for the
// caller's own request. One that broke off must resume elsewhere with no event missing or repeated.
func TestDraftsThroughGatewaysAreWhole(t *testing.T) {
	t.Parallel()
	const seed, callers, faults = 3, 24, 10
	backend := &streamServer{rng: rand.New(rand.NewPCG(seed, 1)), interval: 10 * time.Millisecond, breakPercent: 20}
	s := startSite(t, 3, backend.answer)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	read, resumed := 0, 0
	for i := range callers {
		wg.Go(func() {
			addresses := s.newAddressCache()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
			for n := 0; !isClosed(stop); n++ {
				draft := fmt.Sprintf("d%d-%d", i, n)
				text, whole, resumes := readDraft(client, addresses, draft, 8)
				want := wholeStream(draft)
				if whole && text != want || !strings.HasPrefix(want, text) {
					t.Errorf("draft %s, ended as complete %v, is %q", draft, whole, text)
				}
				mu.Lock()
				if whole {
					read++
				}
				resumed += resumes
				mu.Unlock()
			}
		})
	}
	s.injectGatewayFaults(rand.New(rand.NewPCG(seed, 2)), faults)
	close(stop)
	wg.Wait()
	backend.mu.Lock()
	defer backend.mu.Unlock()
	t.Logf("%d drafts read whole, %d parts resumed by callers, %d broken off by servers", read, resumed, backend.broken)
	if read < 100 || resumed == 0 || backend.broken == 0 {
		t.Error("too few events: the test proves nothing")
	}
}

// The platform asks a gateway to stop and repeats the signal a moment later, as when two of its
// components replace the same VM. A caller in the middle of its draft must get it whole.
func TestRepeatedStopSignalCutsNoStream(t *testing.T) {
	t.Parallel()
	backend := &streamServer{rng: rand.New(rand.NewPCG(9, 1)), interval: 60 * time.Millisecond}
	s := startSite(t, 1, backend.answer)
	type draftResult struct {
		text  string
		whole bool
	}
	done := make(chan draftResult, 1)
	go func() {
		text, whole, _ := readDraft(&http.Client{}, s.newAddressCache(), "twice", 1)
		done <- draftResult{text, whole}
	}()
	waitFor(t, "the draft has begun", func() bool {
		for _, server := range s.servers {
			if len(server.Requests()) > 0 {
				return true
			}
		}
		return false
	})
	g := s.gateways[0]
	for range 3 {
		g.Signal(syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
	}
	if got := <-done; !got.whole || got.text != wholeStream("twice") {
		t.Errorf("the caller got %q, whole %v", got.text, got.whole)
	}
	select {
	case <-g.Ended():
	case <-time.After(siteTimeout):
		t.Error("the gateway has not exited")
	}
}

// All gateways are replaced one after the other, with drafts in flight at each and callers that
// reuse their connections and keep addresses for two seconds. No stream may be cut, no request
// refused and no connection fail.
func TestRollingReplacementOfGatewaysCutsNothing(t *testing.T) {
	t.Parallel()
	const callers = 24
	backend := &streamServer{rng: rand.New(rand.NewPCG(5, 1)), interval: 20 * time.Millisecond}
	s := startSite(t, 3, backend.answer)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range callers {
		wg.Go(func() {
			addresses := s.newAddressCache()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
			for n := 0; !isClosed(stop); n++ {
				name := fmt.Sprintf("r%d-%d", i, n)
				ok := false
				if i%2 == 0 {
					text, whole, resumes := readDraft(client, addresses, name, 1)
					ok = whole && resumes == 0 && text == wholeStream(name)
				} else {
					ok = fakeplatform.SendTo(client, addresses.pick(), "/push/1", name) == http.StatusOK
					time.Sleep(10 * time.Millisecond)
				}
				mu.Lock()
				served++
				if !ok {
					t.Errorf("request %s failed", name)
				}
				mu.Unlock()
			}
		})
	}
	for _, g := range s.gateways {
		if status := g.Terminate(); status != 0 {
			t.Errorf("%s exited with status %d", g.vm, status)
		}
		g.Restart()
		s.waitUntilConnected()
	}
	close(stop)
	wg.Wait()
	t.Logf("%d requests", served)
	if served < 500 {
		t.Error("too few events: the test proves nothing")
	}
}
