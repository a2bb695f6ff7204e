package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// idleControl returns the control of one of n entries before n backend servers, with nothing to do.
func idleControl(t *testing.T, n int) *control {
	settings := settingsFor(fakeplatform.NewStore(t))
	settings.FailureDomain = "d0"
	g := newGateway(settings, log.NewNopLogger())
	c := newControl(g, log.NewNopLogger(), 0)
	c.send = func(*api.PeerBeat, []string) {}
	c.fetch = func(string, int64, int64) {}
	g.fleet.setServers(registrations(n, 6), nil, serviceTable(0), entryCounts{n, n}, 0)
	for i := range n - 1 {
		c.applyHeartbeat(&api.PeerBeat{
			Vm: fmt.Sprint("front-", i), Ip: fmt.Sprintf("10.%d.%d.%d", 1+i%5, i/250, i%250+1), FailureDomain: fmt.Sprint("d", i%5),
			Incarnation: 1, Sequence: 1, Serving: true, ReadsDigests: true, MembersKnown: true, OperatorsAgeMs: -1, ServersAgeMs: -1,
		}, time.Second)
	}
	c.reconcile(time.Second)
	return c
}

// Guards against an idle entry whose work grows with the entries: allocations stand for it, since a timed test would
// depend on the machine.
func TestAnIdleSecondDoesNotGrowWithTheFleet(t *testing.T) {
	allocations := func(n int) float64 {
		c := idleControl(t, n)
		now := time.Second
		// The time within which heartbeats must come is longer.
		return testing.AllocsPerRun(1, func() {
			for range time.Second / tickInterval / 2 {
				now += tickInterval
				c.tick(now)
			}
		})
	}
	few := allocations(40)
	for _, n := range []int{50, 200, 800} {
		if many := allocations(n); many > 1.5*few {
			t.Errorf("%.0f allocations with %d entries, %.0f with 40", many, n, few)
		}
	}
}

// Guards against a request that is placed by what was known long ago: nothing has happened for a while, and the
// only other server was ejected meanwhile.
func TestARequestIsPlacedByWhatIsKnownNow(t *testing.T) {
	f := newTestFleet(2, 12, 1, 0)
	f.setPeerReports(peering.NewLoadSums(), nil, 0)
	f.ejector.RecordUnreachable("i-0", 0)
	for range 10 {
		if id, code := f.pickApp(tickInterval); code != api.ResultCode_OK || id != "i-1" {
			t.Fatalf("%q, %v", id, code)
		}
	}
}
