package rankagent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/internal/textmetrics"
)

// counters are the metrics of a rank-agent.
type counters struct {
	registry              metrics.Registry
	asked, failed, orders metrics.Counter
	took                  metrics.Histogram
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	return &counters{
		registry: r,
		asked:    metrics.NewRegisteredCounter("rank.asked", r),
		failed:   metrics.NewRegisteredCounter("rank.asked.failed", r),
		orders:   metrics.NewRegisteredCounter("rank.orders", r),
		took:     metrics.NewRegisteredHistogram("rank.asked.ms", r, textmetrics.NewSample()),
	}
}
