package link

import (
	"io"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// The bytes of the handshake are counted too, in both directions.
func TestBytesAreCounted(t *testing.T) {
	address, _ := listen(t)
	cfg := config("right").Counters(metrics.NewRegistry())
	s, err := Dial(address, cfg, &counting{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close(io.EOF)
	if cfg.In.Count() == 0 || cfg.Out.Count() == 0 {
		t.Errorf("in %d, out %d", cfg.In.Count(), cfg.Out.Count())
	}
}
