package member

import (
	"fmt"
	"testing"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
)

// BenchmarkHeartbeat handles one heartbeat in a process with the given number of links.
func BenchmarkHeartbeat(b *testing.B) {
	for _, links := range []int{22, 370, 3700} {
		b.Run(fmt.Sprint(links), func(b *testing.B) {
			n := New(Options{
				Self:   &api.Hello{Vm: "self", Role: api.Role_ROLE_ENTRY},
				Links:  &api.Links{FreshnessMs: 2000, HeartbeatMs: 200, SuspectMs: 600, DeadMs: 1500},
				Logger: log.NewNopLogger(),
			})
			var last *peer
			for i := range links {
				vm := fmt.Sprintf("vm-%d", i)
				session := &link.Session{Peer: &api.Hello{Vm: vm}}
				last = &peer{published: &Peer{Hello: session.Peer, Session: session}, applied: -1}
				n.peers[session], n.byVM[vm] = last, last
			}
			n.publish()
			heartbeat := &api.Heartbeat{Knowledge: &api.Knowledge{Applied: -1, EvidenceAgeMs: -1, QuorumAgeMs: -1}}
			for b.Loop() {
				n.handleHeartbeat(last, heartbeat, 1)
			}
		})
	}
}
