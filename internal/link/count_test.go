package link

import (
	"io"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Guards against byte counters that miss the handshake in either direction.
func TestHandshakeBytesAreCounted(t *testing.T) {
	address, _ := listen(t)
	cfg := config("right").WithCounters(metrics.NewRegistry())
	s, err := Dial(address, cfg, &countingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close(io.EOF)
	if cfg.BytesIn.Count() == 0 || cfg.BytesOut.Count() == 0 {
		t.Errorf("bytes in %d, out %d, want both counted", cfg.BytesIn.Count(), cfg.BytesOut.Count())
	}
}
