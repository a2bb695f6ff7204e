package agent

import (
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
)

// pressing says whether a report has news that must not wait for the heartbeat of an idle
// link: whether the backend server may get work, how much of it, and what it offers. How
// many requests run and wait goes with the heartbeat: an entry that has work there hears
// it at the short interval, and one that has none places its first by an older count and
// by its own from then on.
func pressing(now, before *api.BackendStatus) bool {
	a, b := proto.CloneOf(now), proto.CloneOf(before)
	for _, status := range []*api.BackendStatus{a, b} {
		status.Seq = 0
		status.Running = 0
		status.Queued = 0
		status.WorkUs = 0
		status.Prefixes = nil
		status.Usual = nil
		status.GroupStatus = nil
		status.Silent = false
	}
	return !proto.Equal(a, b)
}

// send sends a report at once, or with the next heartbeat.
func send(s *link.Session, m *api.Control, urgent bool) {
	if urgent {
		s.PostWithHeartbeat(nil) // An older one would come after this.
		s.Post(m)
		return
	}
	s.PostWithHeartbeat(m)
}
