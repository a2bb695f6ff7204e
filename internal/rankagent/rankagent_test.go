package rankagent

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/platform"
)

// An engine hangs for a while and is called many times. There must be one log line when it stops
// answering and one when it answers again, with the time between, while the metrics count every
// call.
func TestSilentEngineIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	a := newAgent(nil, log.NewLogfmtLogger(&out))
	for _, err := range []string{"", "timeout", "timeout", "refused", "", ""} {
		a.recordReply(&api.RankReply{Error: err}, time.Millisecond)
	}
	if text := out.String(); strings.Count(text, "\n") != 2 || !strings.Contains(text, `msg="The engine does not answer." err=timeout`) ||
		!strings.Contains(text, `msg="The engine answers again." away_ms=`) {
		t.Errorf("got:\n%s", text)
	}
	if asked, failed := a.metrics.requests.Count(), a.metrics.failures.Count(); asked != 6 || failed != 3 {
		t.Errorf("%d requests and %d failures counted, want 6 and 3", asked, failed)
	}
}

// The coordinator requests the state of an engine that no longer listens. It gets a reply with the
// error as soon as the connection is refused, and the metrics count the failure.
func TestUnreachableEngineIsReported(t *testing.T) {
	gone := httptest.NewServer(nil)
	address := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	a := newAgent(platform.NewEngine(address, http.DefaultClient), log.NewNopLogger())
	server := httptest.NewServer(a.handler())
	defer server.Close()
	reply := &api.RankReply{}
	if err := proto.Unmarshal(postBody(t, server.Client().Post, server.URL+ranks.RequestPath, nil), reply); err != nil || reply.GetError() == "" {
		t.Errorf("the reply is %v, %v", reply, err)
	}
	resp, err := server.Client().Get(server.URL + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(text), "rank.asked.failed 1\n") {
		t.Errorf("the metrics are %q, %v", text, err)
	}
}

// A client that is no coordinator sends requests to the port.
func TestBadRequests(t *testing.T) {
	a := newAgent(platform.NewEngine("127.0.0.1:1", http.DefaultClient), log.NewNopLogger())
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{http.MethodPost, ranks.RequestPath, "not protobuf", http.StatusBadRequest},
		{http.MethodPost, ranks.RequestPath, strings.Repeat("x", maxRequestBytes+1), http.StatusBadRequest},
		{http.MethodGet, ranks.RequestPath, "", http.StatusMethodNotAllowed},
		{http.MethodPost, "/other", "", http.StatusNotFound},
	} {
		w := httptest.NewRecorder()
		a.handler().ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.want {
			t.Errorf("%s %s with %d bytes: %d, want %d", c.method, c.path, len(c.body), w.Code, c.want)
		}
	}
}

func postBody(t *testing.T, post func(string, string, io.Reader) (*http.Response, error), url string, data []byte) []byte {
	t.Helper()
	resp, err := post(url, "application/protobuf", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return got
}
