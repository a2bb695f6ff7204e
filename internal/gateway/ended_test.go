package gateway

import (
	"net"
	"testing"

	"github.com/apricothub/apricothub/coord/registry"
)

// A rank breaks off its answers because another rank of its group has ended: it must not count as ended.
func TestOnlyAServerThatRefusesConnectionsHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := registry.Server{ID: "i-1", Address: listener.Addr().String()}
	p := newEndProber()
	check := p.start(s)
	if <-check.done; check.ended.Load() {
		t.Error("a server that accepts connections counts as ended")
	}
	_ = listener.Close()
	check = p.start(s)
	if <-check.done; !check.ended.Load() {
		t.Error("a server that refuses connections does not count as ended")
	}
}
