package rankagent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/internal/textmetrics"
)

// counters are the metrics of a rank agent.
type counters struct {
	registry                   metrics.Registry
	requests, failures, orders metrics.Counter
	duration                   metrics.Histogram
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	return &counters{
		registry: r,
		requests: metrics.NewRegisteredCounter("rank.asked", r),
		failures: metrics.NewRegisteredCounter("rank.asked.failed", r),
		orders:   metrics.NewRegisteredCounter("rank.orders", r),
		duration: metrics.NewRegisteredHistogram("rank.asked.ms", r, textmetrics.NewSample()),
	}
}
