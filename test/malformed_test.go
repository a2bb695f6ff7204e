package test

import (
	"net/http"
	"testing"

	"github.com/apricothub/apricothub/internal/standin/service"
	"github.com/apricothub/apricothub/test/harness"
	"github.com/apricothub/apricothub/test/malformed"
)

// Guards against malformed responses that reach callers through an entry and an agent, make a push run twice, or keep a
// look-up from the agent that answers soundly.
func TestMalformedResponsesThroughAgents(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 1, Services: 2})
	caller, address := harness.NewCaller(harness.Key), c.Entries[0].Public
	first, second := c.ServiceAgents()[0].Backend, c.ServiceAgents()[1].Backend
	for i, m := range malformed.Responses() {
		if testing.Short() && i%6 != 0 {
			continue
		}
		spoiled := service.Behaviour{RawAnswer: m.Text("")}
		first.SetBehaviour(spoiled)
		second.SetBehaviour(spoiled)
		call := "push " + m.Name
		if reply, err := caller.Do(t.Context(), address, harness.PushRequest("", call)); err == nil && reply.Status != http.StatusBadGateway {
			t.Errorf("%s: the caller got %+v", call, reply)
		}
		if n := runsByCall(c)[call]; n != 1 {
			t.Errorf("%s: ran %d times, want once", call, n)
		}
		second.SetBehaviour(service.Behaviour{})
		for range 2 {
			call := "look-up " + m.Name
			reply, err := caller.LookUp(t.Context(), address, "l", call)
			isBrokenOff := m.IsLate && err != nil
			if !isBrokenOff && (err != nil || reply.Status != http.StatusOK) {
				t.Errorf("%s: the caller got %+v, %v", call, reply, err)
			}
		}
	}
}
