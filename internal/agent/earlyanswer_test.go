package agent

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/test/earlyanswer"
)

// sendAndRead sends a request with a body of size bytes and reads its answer.
func sendAndRead(t *testing.T, b *backend, size int) (answer string, err error) {
	t.Helper()
	resp, err := b.send(t.Context(), &api.Work{Method: http.MethodPost, Path: "/push", Body: make([]byte, size)})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	err = readParts(resp, func(part []byte) error { body.Write(part); return nil })
	return body.String(), err
}

// Guards against a part of an answer that reaches an entry as a whole one, because the backend server reset the
// connection while the request was still being written.
func TestAnEarlyAnswerThatIsCutIsNotWhole(t *testing.T) {
	for name, a := range earlyanswer.Cut("text/plain") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := earlyanswer.Serve(t, func(*http.Request) earlyanswer.Answer { return a })
			for way, b := range bothWays("http://" + server.Address()) {
				for _, size := range a.Uploads() {
					checkCut(t, b, a, fmt.Sprintf("a request of %d bytes, %s", size, way), size)
				}
			}
		})
	}
}

// checkCut sends requests with a body of size bytes whose answers are cut. A connection that is reset at once may not
// have been established for the agent.
func checkCut(t *testing.T, b *backend, a earlyanswer.Answer, name string, size int) {
	t.Helper()
	for range 5 {
		answer, err := sendAndRead(t, b, size)
		var failed *backendError
		if err == nil || errors.As(err, &failed) && !failed.Sent && !a.AtOnce {
			t.Errorf("%s: %q, %v, want an error that says that it was sent", name, answer, err)
		}
	}
}

// Guards against a whole answer that is lost because the backend server has not read the request to its end.
func TestAnEarlyAnswerThatIsWholeIsAnAnswer(t *testing.T) {
	for name, a := range earlyanswer.Whole("text/plain") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := earlyanswer.Serve(t, func(*http.Request) earlyanswer.Answer { return a })
			b := newBackend("http://" + server.Address())
			for _, size := range a.Uploads() {
				if answer, err := sendAndRead(t, b, size); answer != a.Body || err != nil {
					t.Errorf("a request of %d bytes: %q, %v", size, answer, err)
				}
			}
		})
	}
}

// Guards against a part of an answer that reaches an entry as a whole one, as the backend server ends and the kernel closes
// its connections in order.
func TestAnAnswerThatItsServerCutsIsNotWhole(t *testing.T) {
	for name, a := range earlyanswer.CutByExit("text/plain") {
		for _, way := range []string{"oneshot", "transport"} {
			for _, size := range a.Uploads() {
				t.Run(fmt.Sprintf("%s/%s/%d", name, way, size), func(t *testing.T) {
					t.Parallel()
					server := earlyanswer.Serve(t, func(*http.Request) earlyanswer.Answer { return a })
					if answer, err := sendAndRead(t, bothWays("http://" + server.Address())[way], size); err == nil {
						t.Errorf("%q is an answer", answer)
					}
				})
			}
		}
	}
}
