package upstream

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/earlyanswer"
)

// lateBody is the body of a request whose second half is written after a pause, so that the connection has ended by then.
type lateBody struct {
	half  int
	pause time.Duration
	reads int
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	b.reads++
	switch b.reads {
	case 1:
	case 2:
		time.Sleep(b.pause)
	default:
		return 0, io.EOF
	}
	return copy(p, make([]byte, b.half)), nil
}

// Guards against a whole answer that is lost, and a part that is taken, since the rest of a short request cannot be
// written.
func TestAnAnswerDuringAShortRequest(t *testing.T) {
	const pause = 20 * time.Millisecond
	const half = asyncWriteBytes / 4
	for name, c := range map[string]struct {
		answers map[string]earlyanswer.Answer
		isWhole bool
	}{
		"cut": {earlyanswer.Cut("text/plain"), false}, "whole": {earlyanswer.Whole("text/plain"), true},
	} {
		for answerName, a := range c.answers {
			if a.AtOnce || a.ReadBytes > half {
				continue
			}
			t.Run(name+"/"+answerName, func(t *testing.T) {
				t.Parallel()
				server := earlyanswer.Serve(t, func(*http.Request) earlyanswer.Answer { return a })
				conn, err := NewPool(time.Second).Get(t.Context(), "i-1", server.Address(), 0, true)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.discard()
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/", &lateBody{half: half, pause: pause})
				if err != nil {
					t.Fatal(err)
				}
				req.ContentLength = 2 * half
				resp, err := conn.RoundTrip(t.Context(), req, func(*http.Response) bool { return true })
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				if (err == nil) != c.isWhole || string(body) != a.Body && c.isWhole {
					t.Errorf("read %q, %v", body, err)
				}
			})
		}
	}
}

// Guards against a request that cannot be written, of which nothing arrives, and whose response is waited for.
func TestARequestThatCannotBeWritten(t *testing.T) {
	server := earlyanswer.Serve(t, func(*http.Request) earlyanswer.Answer { return earlyanswer.Answer{End: earlyanswer.Keep} })
	conn, err := NewPool(time.Second).Get(t.Context(), "i-1", server.Address(), 0, true)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.discard()
	failed := errors.New("the body failed")
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(failed)))
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = 10
	if _, err := conn.RoundTrip(t.Context(), req, func(*http.Response) bool { return true }); err == nil {
		t.Errorf("error %v, want that of the body", err)
	}
}
