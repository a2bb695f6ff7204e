// Package textmetrics writes metrics as text, one line `name value` for each number.
package textmetrics

import (
	"fmt"
	"io"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha make a histogram represent the last few minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// NewSample returns a sample for a histogram.
func NewSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }

// quantiles are the quantiles written for a histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes a line for each counter, and one for each quantile of a histogram. It ignores write
// errors, which mean that the reader has disconnected.
func Write(w io.Writer, registries ...metrics.Registry) {
	for _, registry := range registries {
		registry.Each(func(name string, m any) {
			switch m := m.(type) {
			case metrics.Counter:
				_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
			case metrics.Histogram:
				s := m.Snapshot()
				for _, q := range quantiles {
					_, _ = fmt.Fprintf(w, "%s.p%02.0f %.0f\n", name, q*100, s.Percentile(q))
				}
			}
		})
	}
}
