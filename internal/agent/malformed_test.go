package agent

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/malformed"
)

// Guards against a malformed response of a backend server that reaches an entry as an answer, over both ways in which
// work is sent.
func TestAMalformedResponseIsNoAnswer(t *testing.T) {
	for _, m := range malformed.Responses() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			for way, b := range bothWays("http://" + malformed.Serve(t, m.Text("r1"))) {
				for _, size := range []int{1, longBodyBytes} {
					_, err := sendAndRead(t, b, size)
					var failed *backendError
					if err == nil || errors.As(err, &failed) && !failed.Sent {
						t.Errorf("body of %d bytes, %s: error %v, want one that says that the request was sent", size, way, err)
					}
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
	for way, b := range bothWays("http://" + malformed.Serve(t, malformed.Sound("r1"))) {
		for _, size := range []int{1, longBodyBytes} {
			if answer, err := sendAndRead(t, b, size); err != nil || !strings.Contains(answer, "data: x") {
				t.Errorf("body of %d bytes, %s: answer %q, %v", size, way, answer, err)
			}
		}
	}
}
