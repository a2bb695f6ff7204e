package agent

import (
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
)

// isUrgent reports whether a change must not wait for the heartbeat of an idle link: whether the
// backend server may get work, how much of it, and what it serves. The numbers of running and
// queued requests are sent with the heartbeat. An entry with work there receives it at the short
// interval. An entry without work places its first request by an older count, and later ones also
// by its own count.
func isUrgent(current, previous *api.BackendStatus) bool {
	a, b := proto.CloneOf(current), proto.CloneOf(previous)
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

// sendReport sends a report at once, or with the next heartbeat.
func sendReport(s *link.Session, m *api.Control, urgent bool) {
	if urgent {
		s.Report(nil) // Otherwise an older one would be sent after this one.
		s.Post(m)
		return
	}
	s.Report(m)
}
