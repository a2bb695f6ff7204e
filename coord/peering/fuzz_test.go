package peering

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// Any bytes may arrive at the port for heartbeats. They must not end the process, nor make it take itself for
// another entry.
func FuzzHeartbeat(f *testing.F) {
	self := "10.0.0.1"
	digest := &api.PeerDigest{
		Number: 3, Since: 2, Records: []*api.PeerBeat{{Ipv4: packIP("10.0.0.3"), UnchangedSince: 7, Sequence: 2}, {Ipv4: packIP("10.0.0.4"), Incarnation: 8}},
		LateIps: []uint32{packIP("10.0.0.3"), 1}, LateMs: []uint32{500}, GoneIps: []uint32{packIP("10.0.0.5"), 0}, Relayed: true, Part: 4, Parts: 2,
	}
	for _, b := range []*api.PeerBeat{
		heartbeat("10.0.0.2", 1, 1),
		{Ip: "10.0.0.2", Incarnation: 1 << 40, Sequence: 9, Digest: digest},
		{Ip: self, Sequence: 1, Digest: digest},
		{Ip: "10.0.0.2", Sequence: 1, Relay: packIP(self), Digest: &api.PeerDigest{Lost: true, Known: 1 << 60, ListedIps: []uint32{packIP(self)}}},
	} {
		data, err := proto.Marshal(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := &api.PeerBeat{}
		if proto.Unmarshal(data, b) != nil {
			return
		}
		table := New(self, Config{FailureDomain: "a", MaxMesh: 4})
		for i := range 6 {
			table.HandleHeartbeat(heartbeat(fmt.Sprintf("10.0.0.%d", 2+i), 1, 1), 0)
		}
		for now := time.Duration(0); now < time.Second; now += 250 * msec {
			table.HandleHeartbeat(b, now)
			table.HandleDigest(b, now)
			table.TakeMessages(false, table.TakeUrgent(), now)
		}
		for _, live := range table.Live(time.Second) {
			if live.GetIp() == self {
				t.Fatal("the entry takes itself for another one")
			}
		}
	})
}
