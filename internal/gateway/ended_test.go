package gateway

import (
	"net"
	"testing"

	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/platform"
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

// Servers that stop by plan, are replaced or lose power end with requests that they have not begun to
// answer: none of these requests is to blame.
func TestOnlyAnUnexpectedEndSpeaksAgainstRequests(t *testing.T) {
	for name, test := range map[string]struct {
		change     func(f *fleet, s *server)
		unexpected bool
	}{
		"nothing else is known": {func(*fleet, *server) {}, true},
		"it drains":             {func(_ *fleet, s *server) { s.Draining = true }, false},
		"it says that it leaves": {func(f *fleet, s *server) {
			f.state(s.ID, platform.Answer{Leaving: true}, 0)
		}, false},
		"its registration is gone": {func(f *fleet, s *server) { delete(f.servers, s.ID) }, false},
		"it has started anew":      {func(_ *fleet, s *server) { s.StartedAtUnixMs++ }, false},
		"its VM is silent": {func(f *fleet, s *server) {
			f.engines[s.Service] = true
			f.startVMProbe(s.ID, 0)
			for !f.silenceDetector.IsSilent(s.ID) {
				f.recordVMSilence(s.ID, 0)
			}
		}, false},
	} {
		f := newTestFleet(2, 4, 1, 0)
		sentTo := f.servers["i-0"].Server
		test.change(f, f.servers["i-0"])
		if got := f.endsUnexpectedly(sentTo); got != test.unexpected {
			t.Errorf("%s: its end counts as unexpected: %v", name, got)
		}
	}
}
