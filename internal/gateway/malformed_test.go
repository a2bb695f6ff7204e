package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/malformed"
)

// spoil answers with text while isSpoiled is set, and keeps the connection open. Otherwise it answers soundly.
func spoil(text func(id string) string, isSpoiled *atomic.Bool) fakeplatform.Handler {
	return func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		if !isSpoiled.Load() {
			_, err := io.WriteString(conn, malformed.Sound(s.ID()))
			return err == nil
		}
		_, err := io.WriteString(conn, text(s.ID()))
		return err == nil
	}
}

// malformedServer answers soundly, or with the malformed response that a request names in its header.
func malformedServer() fakeplatform.Handler {
	texts := make(map[string]malformed.Response)
	for _, m := range malformed.Responses() {
		texts[m.Name] = m
	}
	return func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
		text := malformed.Sound(s.ID())
		if m, ok := texts[s.Request.Header.Get("Malformed")]; ok {
			text = m.Text(s.ID())
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// Guards against a malformed response that a caller gets as an answer, or that makes a request run twice.
func TestAMalformedResponseIsNoAnswer(t *testing.T) {
	t.Parallel()
	for part, responses := range malformed.ByPart() {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			_, servers, e := startWorld(t, malformedServer(), malformedServer(), malformedServer())
			for _, m := range responses {
				for _, kind := range []string{"look", "push", "draft", "chat"} {
					checkMalformed(t, e, servers, m, kind)
					for range servers {
						if r := e.ask("POST", "/push/1", "sound"); r.status != http.StatusOK {
							t.Errorf("%s: a sound request afterwards got %s", m.Name, r)
						}
					}
				}
			}
			e.untilNothingInFlight()
		})
	}
}

// checkMalformed sends a request of a kind that servers answer with a malformed response.
func checkMalformed(t *testing.T, e *entry, servers []*fakeplatform.Server, m malformed.Response, kind string) {
	t.Helper()
	id := kind + " " + m.Name
	r := e.ask("POST", "/"+kind+"/1", id, withDeadline("2000"), func(r *http.Request) { r.Header.Set("Malformed", m.Name) })
	isStream := kind == "draft" || kind == "chat"
	switch {
	case m.IsLate && isStream && r.status == http.StatusOK:
		if r.err == nil {
			t.Errorf("%s: the stream ended as whole: %s", id, r)
		}
	case r.status != http.StatusBadGateway || strings.Contains(r.body, "data: x"):
		t.Errorf("%s: the caller got %s, want 502", id, r)
	}
	if n := countRequests(servers, id); (kind == "push" || kind == "chat") && n != 1 {
		t.Errorf("%s: sent %d times, want once", id, n)
	}
}

// Guards against a caller whose request may be repeated that gets an error although another server answers soundly.
func TestAnotherServerAnswersAfterAMalformedResponse(t *testing.T) {
	t.Parallel()
	for part, responses := range malformed.ByPart() {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			var spoiled sync.Map
			malformedOnce := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
				if _, isRetry := spoiled.LoadOrStore(s.ID(), true); isRetry {
					s.Request.Header.Del("Malformed")
				}
				return malformedServer()(s, conn)
			}
			_, servers, e := startWorld(t, malformedOnce, malformedOnce)
			for _, m := range responses {
				r := e.ask("POST", "/look/1", m.Name, func(r *http.Request) { r.Header.Set("Malformed", m.Name) })
				if n := countRequests(servers, m.Name); r.status != http.StatusOK || !strings.Contains(r.body, "data: x") || n != 2 {
					t.Errorf("%s: sent %d times, the caller got %s", m.Name, n, r)
				}
			}
		})
	}
}

// Guards against an encoded body that a caller gets who has asked for none: it is not the body of the server.
func TestAnEncodingThatNobodyAskedFor(t *testing.T) {
	t.Parallel()
	encode := fakeplatform.AddHeader(fakeplatform.Echo, "Content-Encoding", func(fakeplatform.ReceivedRequest) string { return "gzip" })
	_, servers, e := startWorld(t, encode)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	if r := e.askWith(client, "POST", "/push/1", "unasked"); r.status != http.StatusBadGateway || countRequests(servers, "unasked") != 1 {
		t.Errorf("the caller got %s, want 502", r)
	}
	asked := func(r *http.Request) { r.Header.Set("Accept-Encoding", "gzip") }
	if r := e.askWith(client, "POST", "/push/1", "asked", asked); r.status != http.StatusOK || r.header.Get("Content-Encoding") != "gzip" {
		t.Errorf("a caller that asked for it got %s", r)
	}
}

// Guards against a success without a signature for the caller, because the server names it as a field of the connection.
func TestASignatureThatIsNotPassedOn(t *testing.T) {
	t.Parallel()
	keepSignature := fakeplatform.AddHeader(fakeplatform.Echo, "Connection", func(fakeplatform.ReceivedRequest) string { return "x, upstream-signature" })
	_, servers, e := startWorld(t, keepSignature)
	if r := e.ask("POST", "/push/1", "push"); r.status != http.StatusBadGateway || countRequests(servers, "push") != 1 {
		t.Errorf("the caller got %s, want 502", r)
	}
}

// countRequests returns how often the servers have received the request with an ID.
func countRequests(servers []*fakeplatform.Server, id string) int {
	n := 0
	for _, s := range servers {
		for _, r := range s.Requests() {
			if r.ID() == id {
				n++
			}
		}
	}
	return n
}

// Guards against a refusal in a malformed head that is believed: the request may have run, and would run twice.
func TestARefusalInAMalformedHeadProvesNothing(t *testing.T) {
	t.Parallel()
	for _, line := range []string{"X Spoiled: 1\r\n", "Not-Executed : 1\r\n", "X-Spoiled: \x01\r\n", "Content-Length : 0\r\n"} {
		refuse := func(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 503 Busy\r\nAttempt-Id: "+s.ID()+"\r\nNot-Executed: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n"+line+"\r\n")
			return err == nil
		}
		_, servers, e := startWorld(t, refuse, refuse)
		for _, kind := range []string{"push", "chat"} {
			if r, n := e.ask("POST", "/"+kind+"/1", kind), countRequests(servers, kind); r.status != http.StatusBadGateway || n != 1 {
				t.Errorf("%s, %q: sent %d times, the caller got %s, want 502", kind, line, n, r)
			}
		}
	}
}

// Guards against statements of a head that was refused: a limit, a rest or a notice that no server gave.
func TestStatementsInAMalformedHeadDoNotCount(t *testing.T) {
	t.Parallel()
	for _, statement := range []string{"Server-Limit: 0\r\n", "Server-Leaving: 1\r\n", "Retry-After: 3600\r\nNot-Executed: 1\r\n"} {
		isSpoiled := &atomic.Bool{}
		isSpoiled.Store(true)
		_, servers, e := startWorld(t, spoil(func(id string) string {
			return "HTTP/1.1 503 Busy\r\nAttempt-Id: " + id + "\r\n" + statement + "X Spoiled: 1\r\nContent-Length: 0\r\n\r\n"
		}, isSpoiled))
		if r := e.ask("POST", "/push/1", "spoiled"); r.status != http.StatusBadGateway {
			t.Errorf("%q: the caller got %s, want 502", statement, r)
		}
		isSpoiled.Store(false)
		if r := e.ask("POST", "/push/1", "sound"); r.status != http.StatusOK {
			t.Errorf("%q: a sound request afterwards got %s", statement, r)
		}
		if got := servers[0].Requests(); len(got) != 2 || !got[1].FirstOnConn {
			t.Errorf("%q: the connection of a malformed response was used again, or the sound request did not arrive", statement)
		}
	}
}

// Guards against a server that sends malformed responses again and again, and gets request after request because it
// has few in flight, or gets none any more after it answers soundly.
func TestAServerWithMalformedResponsesCountsAsFailing(t *testing.T) {
	t.Parallel()
	isSpoiled, never := &atomic.Bool{}, &atomic.Bool{}
	isSpoiled.Store(true)
	text := func(id string) string { return strings.Replace(malformed.Sound(id), "\r\n", "\r\nX Spoiled: 1\r\n", 1) }
	_, servers, e := startWorld(t, spoil(text, isSpoiled), spoil(text, never))
	failed := 0
	for range 40 {
		if r := e.ask("POST", "/push/1", "push"); r.status != http.StatusOK {
			failed++
		}
	}
	if failed > 10 {
		t.Errorf("%d of 40 requests failed at one of two servers", failed)
	}
	before := len(servers[0].Requests())
	isSpoiled.Store(false)
	e.until("the server gets requests again", func() bool {
		return e.ask("POST", "/push/1", "push").status == http.StatusOK && len(servers[0].Requests()) > before+2
	})
}
