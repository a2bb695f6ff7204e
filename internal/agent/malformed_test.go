package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/test/malformed"
)

// Guards against a malformed response of a backend server that reaches an entry as an answer, over both ways in which
// work is sent.
func TestAMalformedResponseIsNoAnswer(t *testing.T) {
	for _, m := range malformed.Responses() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			b := newBackend("http://" + malformed.Serve(t, m.Text("r1")))
			for _, body := range []string{"x", strings.Repeat("x", maxOneshotBodyBytes+1)} {
				resp, err := b.send(t.Context(), &api.Work{Method: http.MethodPost, Path: "/push", Body: []byte(body)})
				if err == nil {
					err = readParts(resp, func([]byte) error { return nil })
					_ = resp.Body.Close()
				}
				var failed *backendError
				if err == nil || errors.As(err, &failed) && !failed.Sent {
					t.Errorf("body of %d bytes: error %v, want one that says that the request was sent", len(body), err)
				}
			}
		})
	}
}

// Guards against a malformed response of an engine that is taken for its state or for the result of an order.
func TestAMalformedResponseIsNoStateOfAnEngine(t *testing.T) {
	for _, m := range malformed.Responses() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			text := strings.ReplaceAll(m.Text("r1"), "id: 1\ndata: x\n\n", `{"cold":true}  `)
			address := malformed.Serve(t, text)
			if _, err := newBackend("http://" + address).queryCold(t.Context()); err == nil {
				t.Error("a query was answered")
			}
			if err := newBackend("http://"+address).cancel(t.Context(), "r1"); err == nil {
				t.Error("an order was confirmed")
			}
			client := newEngineClient("http://"+address, "incarnation")
			if _, err := client.connect(t.Context()); err == nil {
				t.Error("the state of an engine was read")
			}
			client.disconnect()
		})
	}
}

// Guards against sound responses that are refused, over both ways in which work is sent.
func TestASoundResponseIsAnAnswer(t *testing.T) {
	b := newBackend("http://" + malformed.Serve(t, malformed.Sound("r1")))
	for _, body := range []string{"x", strings.Repeat("x", maxOneshotBodyBytes+1)} {
		resp, err := b.send(t.Context(), &api.Work{Method: http.MethodPost, Path: "/push", Body: []byte(body)})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err != nil || !strings.Contains(string(got), "data: x") {
			t.Errorf("body of %d bytes: answer %q, %v", len(body), got, err)
		}
		_ = resp.Body.Close()
	}
}
