package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// leaveDelay is how long a stopping entry still accepts connections: callers keep an answer on
	// where to connect for addressTTL, and ask again when they need a connection.
	leaveDelay = 2500 * time.Millisecond
	// stopMargin is the rest of the grace period, in which requests that have not ended are answered. exitMargin is
	// the rest in which the process ends by itself.
	stopMargin = 500 * time.Millisecond
	exitMargin = 200 * time.Millisecond
	// defaultGrace is the grace period if the settings give none.
	defaultGrace = 8 * time.Second
)

// stop shuts down gracefully: the entry first leaves the list of addresses, goes on serving while callers still arrive,
// and then drains the requests in flight. Open connections are served as long as any request is in flight.
//
// A request is begun only if it can be expected to end in time; what is left at the end of the grace period gets an
// answer that says what is known of it.
func (g *Gateway) stop(callers openEndpoint) error {
	began := clock.Now()
	grace := g.settings.Bounds.TerminationGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	g.shutdown.Begin(began + grace - stopMargin)
	g.leaving.Store(true)
	close(g.leave)
	_ = level.Info(g.logger).Log("msg", "The process leaves.", "grace_ms", grace.Milliseconds())
	time.Sleep(min(leaveDelay, grace/3))
	if err := g.shutdown.Drain(context.Background(), callers.Server, callers.listener, began+grace-exitMargin); err != nil {
		_ = level.Warn(g.logger).Log("msg", "Requests were still in flight at the end of the grace period and are cut off.", "err", err,
			"result", result.Label(api.ResultCode_ANSWER_BROKEN))
	}
	return nil
}

// limitByStop moves the deadline of a request that arrives during a planned stop to the end of the stop, if it is later.
func (g *Gateway) limitByStop(t *task) {
	if end := g.shutdown.End(); end > 0 {
		t.deadline = min(t.deadline, end)
	}
}
