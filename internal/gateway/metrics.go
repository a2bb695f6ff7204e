package gateway

import (
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// sampleSize and sampleAlpha make the histogram follow the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// resultPrefix begins the names of the counters of results.
const resultPrefix = "gateway.results."

// counters are the metrics of a gateway.
type counters struct {
	registry                      metrics.Registry
	requests, served, gone, again metrics.Counter
	took                          metrics.Histogram
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	return &counters{
		registry: r,
		requests: metrics.NewRegisteredCounter("gateway.requests", r),
		served:   metrics.NewRegisteredCounter("gateway.answers.whole", r),
		gone:     metrics.NewRegisteredCounter("gateway.callers.gone", r),
		again:    metrics.NewRegisteredCounter("gateway.attempts.again", r),
		took:     metrics.NewRegisteredHistogram("gateway.took.ms", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// result counts an answer of the system's own.
func (c *counters) result(code api.ResultCode) {
	metrics.GetOrRegisterCounter(resultPrefix+result.Of(code).Name, c.registry).Inc(1)
}

// serve writes a line name value for each metric.
func (c *counters) serve(w http.ResponseWriter, _ *http.Request) {
	c.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Histogram:
			s := m.Snapshot()
			for _, p := range []float64{0.5, 0.95, 0.99} {
				_, _ = fmt.Fprintf(w, "%s.p%02.0f %.0f\n", name, p*100, s.Percentile(p))
			}
		}
	})
}
