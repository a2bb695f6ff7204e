package test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/fakeplatform"
)

// pick returns the address a caller connects to. Half of the callers stay at a gateway as long as
// it accepts their connection, whatever address resolution says meanwhile.
func (s *siteSoak) pick(addresses *addressCache, last string, sticky, failed bool) string {
	if sticky && last != "" && !failed {
		return last
	}
	return addresses.pick()
}

// readDrafts reads streams as one caller and checks that each is whole and the caller's own.
func (s *siteSoak) readDrafts(caller int) {
	addresses, address, failed := s.newAddressCache(), "", false
	client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	for n := 0; !isClosed(s.stop); n++ {
		address = s.pick(addresses, address, caller%2 == 0, failed)
		path := fmt.Sprintf("d%d-%d", caller, n)
		began := time.Now()
		s.retries.recordSent()
		got := readStream(client, address, path)
		got.path, got.address, got.began, got.ended = path, address, began, time.Now()
		want := fakeplatform.EngineStream("/draft/" + path)
		if got.whole && got.text != want || !strings.HasPrefix(want, got.text) {
			s.t.Errorf("seed %d: draft %s, ended as complete %v, is %q", s.seed, path, got.whole, got.text)
		}
		failed = !got.whole
		s.recordStream(got)
		if failed {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (s *siteSoak) recordStream(got streamResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case got.whole:
		s.drafts++
	case got.sent:
		s.cut = append(s.cut, got)
	}
	if got.refused && !got.hasRetryAfter {
		s.missingRetryAfter++
	}
}

// streamResult is how an attempt to read a stream ended.
type streamResult struct {
	path         string
	address      string
	began, ended time.Time
	// failure is the reason why it is not whole.
	failure string
	// text holds the whole events that arrived; whole means that the stream ended as complete.
	text  string
	whole bool
	// sent means that there was a connection to send the request on.
	sent bool
	// refused means that the request has not run, hasRetryAfter that the answer has Retry-After.
	refused, hasRetryAfter bool
}

// readStream reads a stream through one gateway.
func readStream(client *http.Client, address, path string) streamResult {
	return readStreamOf(client, address, path, path, fmt.Sprintf("first:40,topic%d:100,%s:20", len(path)%3, path))
}

// readStreamOf is readStream with an ID and the parts of the prompt.
func readStreamOf(client *http.Client, address, path, id, prompt string) streamResult {
	req, err := fakeplatform.NewRequest(address, "/draft/"+path, id)
	if err != nil {
		return streamResult{}
	}
	req.Header.Set("Prompt-Prefix", prompt)
	resp, err := client.Do(req)
	if err != nil {
		var dial *net.OpError
		return streamResult{failure: err.Error(), sent: !errors.As(err, &dial) || dial.Op != "dial"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return streamResult{text: string(body[:wholeEventsLen(body)]), whole: err == nil, sent: true, failure: fmt.Sprint(err)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return streamResult{failure: string(body), sent: true, refused: true, hasRetryAfter: resp.Header.Get("Retry-After") != ""}
	default:
		return streamResult{failure: string(body), sent: true}
	}
}

// sendPushes sends pushes as one caller. It retries under a new id only when it was told that the
// push has not run.
func (s *siteSoak) sendPushes(caller int) {
	addresses, address, failed := s.newAddressCache(), "", false
	client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
	for n := 0; !isClosed(s.stop); n++ {
		call := fmt.Sprintf("p%d-%d", caller, n)
		for attempt := range 6 {
			address = s.pick(addresses, address, caller%2 == 0, failed)
			id := fmt.Sprintf("%s.%d", call, attempt)
			o := s.pushes.send(s.t, client, address, id)
			failed = o != answered
			s.mu.Lock()
			s.outcomes[id] = o
			s.attemptIDs[call] = append(s.attemptIDs[call], id)
			if o == answered {
				s.pushed++
			}
			s.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			if o != notRun {
				break
			}
		}
	}
}
