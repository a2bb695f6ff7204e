package entry

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/link"
)

// An agent behind an idle link stops responding, and a caller pushes before the link counts as
// suspect. The push must not be sent there: it would end as "outcome unknown" though the agent
// never received it. The caller must be told "not run".
func TestPushOverASilentIdleLink(t *testing.T) {
	agent := serviceAgent(t, "b1", func(_ *api.Work, stream *link.Stream) { _ = stream.Receive(&api.WorkSignal{}) })
	e, url := startEntry(t, agent)
	eventually(t, "tickets", func() bool {
		_, ok := e.directory.mintTicket("b1", "c")
		return ok
	})
	time.Sleep(1200 * time.Millisecond) // The link counts as idle.
	agent.frozen.Store(true)
	defer agent.frozen.Store(false)
	eventually(t, "a missed heartbeat", agent.heartbeatMissed.Load)
	if peer, _ := e.directory.agentPeer("b1"); peer.Session.Suspect() {
		t.Error("the link is suspect too early")
	}
	got := sendRequest(t, url, "/services/s/push", "Apricothub-Deadline-Ms", "1000")
	if got.status == 200 || got.ran != "no" || agent.workCount.Load() != 0 {
		t.Errorf("%+v after %d works", got, agent.workCount.Load())
	}
}
