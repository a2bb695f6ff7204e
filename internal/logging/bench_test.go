package logging

import (
	"io"
	"testing"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// At full load, most lines about served requests are dropped; this measures the cost of one such
// line.
func BenchmarkDroppedLine(b *testing.B) {
	p, err := Open(io.Discard, "gateway", "front-1", "info", MinLinesPerSecond)
	if err != nil {
		b.Fatal(err)
	}
	defer p.Close()
	for _, c := range []struct {
		name string
		log  func(log.Logger) log.Logger
	}{{"served", level.Info}, {"refused", level.Warn}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = c.log(p).Log("msg", "A request has ended.", RequestKey, "e4b683f4fe53cf3b", FieldsKey, Fields(func() []any { return nil }))
			}
		})
	}
}
