package gateway

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/routing"
)

// The log line of a late answer must show whether its caller waited for the first event or for a
// later one, by the objectives of the route.
func TestLateness(t *testing.T) {
	const ms = time.Millisecond
	stream := &routing.Route{Kind: routing.Stream, Objective: 400 * ms, MaxPause: 120 * ms}
	bare := &routing.Route{Kind: routing.Stream}
	once := &routing.Route{Kind: routing.AtMostOnce, Objective: 300 * ms}
	for _, c := range []struct {
		name       string
		route      *routing.Route
		first, gap time.Duration
		want       lateness
	}{
		{"on time", stream, 390 * ms, 110 * ms, onTime},
		{"first event", stream, 410 * ms, 130 * ms, lateFirst},
		{"pause", stream, 390 * ms, 130 * ms, latePause},
		{"no objectives", bare, 550 * ms, 630 * ms, onTime},
		{"no objectives, pause", bare, 550 * ms, 650 * ms, latePause},
		{"whole answer", once, 0, 0, lateWhole},
	} {
		arrived := clock.Now() - time.Second
		task := &task{route: c.route, arrivedAt: arrived, out: &output{begunAt: arrived + c.first, maxEventGap: c.gap}}
		if got := task.missedObjective(); got != c.want {
			t.Errorf("%s: %q, not %q", c.name, got, c.want)
		}
	}
}
