package test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/explain"
	"github.com/apricothub/apricothub/test/harness"
)

// A store sends a push just after the only pricing service has died. The push fails or is refused,
// and the answer carries a request id. From that id alone the logs of entry and agent must show, in
// order, that the agent found the service gone and that the entry then gave up.
func TestAFailureIsExplainedAcrossEntryAndAgent(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 1, Services: 1})
	caller := harness.NewCaller(harness.Key)
	entry, agent := c.Entries[0], c.ServiceAgents()[0]
	agent.Backend.Kill()
	id := ""
	harness.Eventually(t, 20*time.Second, "a push reached the agent and failed", func() error {
		ticket, err := caller.RequestTicket(t.Context(), entry.Public, harness.Service)
		if err != nil {
			return err
		}
		reply, err := caller.Push(t.Context(), entry.Public, ticket.Ticket, "p1")
		if err != nil {
			return err
		}
		id = reply.Header.Get("Apricothub-Request")
		if reply.Status < http.StatusInternalServerError || id == "" {
			return errors.Errorf("status %d, id %q", reply.Status, id)
		}
		return nil
	})
	harness.Eventually(t, 20*time.Second, "the logs show the failure in order", func() error {
		r := explain.NewReader(id)
		for _, m := range []*harness.Member{entry, agent} {
			file, err := os.Open(filepath.Join(c.Dir, m.VM+".log"))
			if err != nil {
				return err
			}
			err = r.Read(file)
			_ = file.Close()
			if err != nil {
				return err
			}
		}
		var text strings.Builder
		timeline := r.Timeline()
		if len(timeline.Lines) == 0 {
			return errors.New("the timeline has no line")
		}
		if err := explain.Render(&text, timeline); err != nil {
			return err
		}
		rest := text.String()
		for _, want := range []string{
			"agent " + agent.VM + "  The backend server ",
			"agent " + agent.VM + "  A request ",
			"entry " + entry.VM + "  An attempt came to nothing.",
			"entry " + entry.VM + "  A request ",
		} {
			_, after, found := strings.Cut(rest, want)
			if !found {
				return errors.Errorf("no %q, or out of order, in:\n%s", want, text.String())
			}
			rest = after
		}
		return nil
	})
}
