package test

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/internal/standin/service"
	"github.com/apricothub/apricothub/test/harness"
)

// keepShort lets planned stops end soon: callers keep the addresses for a second.
var keepShort = harness.Settings{"policy": {"address-keep-ms": "1000"}}

// stopSpec is a cluster whose engines run many long streams at once.
func stopSpec(engines int) harness.Spec {
	return harness.Spec{
		Entries:     3,
		Engines:     engines,
		EngineFlags: []string{"-cold", "0", "-full", "1000", "-token", "50ms"},
		Entry:       keepShort,
		Agent:       harness.Settings{"backend": {"cold-limit": "1000", "full-limit": "1000"}},
	}
}

// inFlight is the number of streams that run at once while something stops.
const inFlight = 600

// stops tells a process to stop and checks that it ends by itself and in order.
func stops(t *testing.T, m *harness.Member) {
	t.Helper()
	begin := time.Now()
	if status := m.Terminate(); status != 0 {
		t.Errorf("%s: exit status %d: %s", m.VM, status, m.Tail())
	}
	t.Logf("%s stopped in %s", m.VM, time.Since(begin).Round(time.Millisecond))
}

// servedThroughout ends a load and checks that no answer was cut, and nobody refused but by
// a process that stops.
func servedThroughout(t *testing.T, load *harness.Load) {
	t.Helper()
	r := load.Stop()
	noneCut(t, r)
	refusedOnlyByStops(t, r)
}

// refusedOnlyByStops checks that nobody was refused but by a process that stops. An entry
// that stops may send a caller elsewhere; one that says it is ready must serve.
func refusedOnlyByStops(t *testing.T, r harness.LoadResult) {
	t.Helper()
	for name, n := range r.Refusals {
		if name != "DRAINING" {
			t.Errorf("%d requests refused as %s: %q", n, name, r.RefusalSamples)
		}
	}
}

// All entries are replaced one after another while hundreds of callers stream. A
// planned stop first leaves the addresses that callers are told, waits until they
// have let go of them, and ends its last streams. Callers notice nothing.
func TestRollingStopOfAllEntries(t *testing.T) {
	t.Parallel()
	c := start(t, stopSpec(3))
	load := c.StartLoad(harness.LoadSpec{Callers: inFlight, Tokens: 30, KeepAlive: true, Seed: 12})
	time.Sleep(2 * time.Second)
	for _, m := range c.Entries {
		stops(t, m)
		m.Restart()
		c.WaitReady(m)
		time.Sleep(500 * time.Millisecond)
	}
	servedThroughout(t, load)
}

// An agent is stopped by plan while it carries streams. New work goes to other
// agents at once, and the streams that it carries end whole.
func TestPlannedStopOfAnAgent(t *testing.T) {
	t.Parallel()
	c := start(t, stopSpec(3))
	load := c.StartLoad(harness.LoadSpec{Callers: inFlight, Tokens: 30, Seed: 13})
	time.Sleep(2 * time.Second)
	stops(t, c.EngineAgents()[0])
	time.Sleep(500 * time.Millisecond)
	noneCut(t, load.Stop())
}

// thousands is the number of streams at once when a VM is replaced on a Friday
// evening, at a slower pace so that one machine carries them.
const thousands = 2400

// More than two thousand guests wait for their drafts, most of an agent's and an
// entry's work of a whole night in one moment, when first the agent and then the entry
// is stopped by plan. Every stream ends whole; nobody is sent away without another
// entry that takes the request.
func TestPlannedStopWithThousandsInFlight(t *testing.T) {
	long(t)
	t.Parallel()
	spec := stopSpec(3)
	spec.EngineFlags = []string{"-cold", "0", "-full", "3000", "-token", "400ms"}
	spec.Agent = harness.Settings{"backend": {"cold-limit": "3000", "full-limit": "3000"}}
	c := start(t, spec)
	load := c.StartLoad(harness.LoadSpec{Callers: thousands, Tokens: 10, KeepAlive: true, RequestTimeout: time.Minute, Seed: 15})
	time.Sleep(3 * time.Second)
	for _, m := range []*harness.Member{c.EngineAgents()[0], c.Entries[1]} {
		stops(t, m)
		m.Restart()
		c.WaitReady(m)
	}
	servedThroughout(t, load)
}

// An agent before a plain service, and then an entry, is stopped by plan while stores
// push prices. Every push under way ends with its answer, and no store is left not
// knowing whether its push ran.
func TestPlannedStopUnderPushes(t *testing.T) {
	t.Parallel()
	c := start(t, harness.Spec{Entries: 3, Services: 2, Entry: keepShort})
	for _, m := range c.ServiceAgents() {
		m.Backend.SetBehaviour(service.Behaviour{DelayMS: 50})
	}
	load := c.StartLoad(harness.LoadSpec{Callers: 24, Pushes: true, Pause: 5 * time.Millisecond, Seed: 14})
	time.Sleep(time.Second)
	for _, m := range []*harness.Member{c.ServiceAgents()[0], c.Entries[1], c.ServiceAgents()[1]} {
		stops(t, m)
		m.Restart()
		c.WaitReady(m)
		time.Sleep(time.Second)
	}
	result := load.Stop()
	agree(t, c, result.Outcomes)
	for _, out := range result.Outcomes {
		if out.Ran == harness.RanUnknown {
			t.Errorf("left not knowing: %+v", out)
		}
	}
	t.Logf("outcomes %v", tally(result.Outcomes))
}

// Operators change the link key in the three rounds that the operators' page tells of,
// restarting one VM after another, while guests stream. At any moment processes of two
// rounds work side by side; no stream is cut, and nobody is refused but by an entry that
// stops. A process with the former key gets no link afterwards.
func TestLinkKeyIsChangedUnderLoad(t *testing.T) {
	long(t)
	t.Parallel()
	spec := stopSpec(2)
	spec.Entries = 2
	spec.Entry = harness.Settings{"policy": {"address-keep-ms": "500"}}
	c := start(t, spec)
	load := c.StartLoad(harness.LoadSpec{Callers: 40, Tokens: 10, KeepAlive: true, Seed: 16})
	former := c.Entries[0].Setting("link", "key")
	for _, keys := range []map[string]string{
		{"other-key": newLinkKey},
		{"key": newLinkKey, "other-key": former},
		{"key": newLinkKey, "other-key": ""},
	} {
		for _, m := range append(c.EngineAgents(), c.Entries...) {
			c.OverrideSettings(m, harness.Settings{"link": keys})
			stops(t, m)
			m.Restart()
			c.WaitReady(m)
			for _, entry := range c.Entries {
				c.WaitLinked(entry)
			}
		}
	}
	r := load.Stop()
	noneCut(t, r)
	refusedOnlyByStops(t, r)
	late := c.EngineAgents()[0]
	c.OverrideSettings(late, harness.Settings{"link": {"key": former}})
	late.Kill()
	late.Restart()
	c.WaitReady(late) // It has read the log; that makes it no member.
	time.Sleep(2 * time.Second)
	status, err := c.Entries[0].Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, backend := range status.Backends {
		if backend.VM == late.VM && backend.Refusing == "" {
			t.Errorf("an agent with the former key takes work: %+v", backend)
		}
	}
}

// newLinkKey takes the place of the harness's own.
const newLinkKey = "another-key-of-links-0123456789"
