package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/apricothub/apricothub/test/earlyanswer"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// startEarlyWorld starts an entry before servers that answer early, and soundly requests whose path ends in /sound.
func startEarlyWorld(t *testing.T, a earlyanswer.Answer, count int) (*entry, []*earlyanswer.Server) {
	t.Helper()
	store := fakeplatform.NewStore(t)
	store.Configure(1, fakeplatform.Routes(), "key-1")
	servers := make([]*earlyanswer.Server, count)
	for i := range servers {
		servers[i] = earlyanswer.Serve(t, func(r *http.Request) earlyanswer.Answer {
			if r != nil && strings.HasSuffix(r.URL.Path, "/sound") {
				return earlyanswer.Answer{Text: fakeplatform.WholeResponse(r.Header.Get("Attempt-Id"), "sound"), ReadBytes: earlyanswer.ReadAll}
			}
			return a
		})
		store.ServeAt(t, fakeplatform.Registration{
			ID: fmt.Sprintf("i-%d", i), FailureDomain: "a", Concurrency: 4,
			MapAddress: func(string) string { return servers[i].Address() },
		}, fakeplatform.Echo)
	}
	e := start(t, settingsFor(store))
	e.until("all servers are known", func() bool { return len(e.fleet.dump(0)) == count })
	return e, servers
}

// withBody sets the body of a request.
func withBody(size int) func(*http.Request) {
	return func(r *http.Request) {
		r.Body = io.NopCloser(bytes.NewReader(make([]byte, size)))
		r.ContentLength = int64(size)
		r.GetBody = nil
	}
}

// forEachUpload asks once for each kind of route and size of upload.
func forEachUpload(t *testing.T, e *entry, a earlyanswer.Answer, check func(kind, path string, r reply)) {
	t.Helper()
	for i, size := range a.Uploads() {
		if testing.Short() && i%2 == 0 {
			continue
		}
		for _, kind := range []string{"push", "look", "draft", "chat"} {
			path := fmt.Sprintf("/%s/%d", kind, size)
			check(kind, path, e.ask("POST", path, path, withBody(size)))
		}
	}
}

// Guards against a part of an answer that a caller gets as a whole one, because its server reset the connection while the
// request was still being written.
func TestAnEarlyAnswerThatIsCutIsNotWhole(t *testing.T) {
	t.Parallel()
	for name, a := range earlyanswer.Cut("text/event-stream") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, servers := startEarlyWorld(t, a, 3)
			forEachUpload(t, e, a, func(kind, path string, r reply) {
				isBrokenOff := (kind == "draft" || kind == "chat") && r.status == http.StatusOK && r.err != nil
				// A connection may be reset before it is established for the gateway.
				isUnsent := a.AtOnce && r.status == http.StatusServiceUnavailable
				if r.status != http.StatusBadGateway && !isBrokenOff && !isUnsent {
					t.Errorf("%s: the caller got %s, want 502", path, r)
				}
				runs := 0
				for _, s := range servers {
					runs += s.Runs(path)
				}
				if (kind == "push" || kind == "chat") && !a.AtOnce && runs != 1 {
					t.Errorf("%s: sent %d times, want once", path, runs)
				}
				if a.AtOnce {
					return
				}
				for range servers {
					if r := e.ask("POST", "/push/sound", "sound"); r.status != http.StatusOK {
						t.Errorf("a sound request after %s got %s", path, r)
					}
				}
			})
			e.untilNothingInFlight()
		})
	}
}

// Guards against a whole answer that is lost because its server has not read the request to its end.
func TestAnEarlyAnswerThatIsWholeIsServed(t *testing.T) {
	t.Parallel()
	for name, a := range earlyanswer.Whole("text/event-stream") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, _ := startEarlyWorld(t, a, 2)
			forEachUpload(t, e, a, func(_, path string, r reply) {
				if r.status/100 != 2 || r.err != nil || r.body != a.Body {
					t.Errorf("%s: the caller got %s", path, r)
				}
			})
			e.untilNothingInFlight()
		})
	}
}
