package gateway

import (
	"testing"

	"github.com/apricothub/apricothub/internal/routing"
)

// A push whose answer was lost may have taken effect. It must not be sent again, whatever attempts
// the route has left; one that a backend server refused may.
func TestShouldRetry(t *testing.T) {
	once := &routing.Route{Kind: routing.AtMostOnce, Attempts: 2}
	lookup := &routing.Route{Kind: routing.Idempotent, Attempts: 2}
	draft := &routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2}
	chat := &routing.Route{Kind: routing.Stream, Attempts: 2}
	for _, c := range []struct {
		name    string
		outcome attemptOutcome
		route   *routing.Route
		h       history
		want    bool
	}{
		{"a push whose answer was lost", broken, once, history{sent: 1, mayHaveRun: true}, false},
		{"a push that failed", serverError, once, history{sent: 1, mayHaveRun: true}, false},
		{"a push that was refused", notRun, once, history{sent: 1}, true},
		{"a push that was refused, with no attempt left", notRun, &routing.Route{Attempts: 1}, history{sent: 1}, false},
		{"a push that was not sent", unsent, once, history{unsent: 1}, true},
		{"a push that could not be sent anywhere", unsent, once, history{unsent: maxUnsent}, false},
		{"a look-up whose answer was lost", broken, lookup, history{sent: 1, mayHaveRun: true}, true},
		{"a look-up with no attempt left", broken, lookup, history{sent: 2, mayHaveRun: true}, false},
		{"a draft broken off", broken, draft, history{sent: 1, mayHaveRun: true}, true},
		{"a stream broken off that cannot be resumed", broken, chat, history{sent: 1, mayHaveRun: true}, false},
		{"a stream refused", notRun, chat, history{sent: 1}, true},
		{"a caller that has gone", abandoned, lookup, history{sent: 1}, false},
		{"an answer", delivered, lookup, history{sent: 1}, false},
	} {
		if got, _ := shouldRetry(c.outcome, c.route, c.h); got != c.want {
			t.Errorf("%s: retried %v, want %v", c.name, got, c.want)
		}
	}
}

// The VM of a backend server goes silent with requests in it. A push may run there when the VM is
// back, and must not be given to another server meanwhile.
func TestCanMove(t *testing.T) {
	for _, c := range []struct {
		name  string
		route routing.Route
		h     history
		want  bool
	}{
		{"a push", routing.Route{Kind: routing.AtMostOnce, Attempts: 3}, history{}, false},
		{"a stream that cannot be resumed", routing.Route{Kind: routing.Stream, Attempts: 3}, history{}, false},
		{"a draft", routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2}, history{}, true},
		{"a draft at its last server", routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 2}, history{sent: 1}, false},
		{"a look-up", routing.Route{Kind: routing.Idempotent, Attempts: 2}, history{}, true},
	} {
		if got := canMove(&c.route, c.h); got != c.want {
			t.Errorf("%s: may be moved %v, want %v", c.name, got, c.want)
		}
	}
}
