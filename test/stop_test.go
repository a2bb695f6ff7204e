package test

import (
	"testing"
	"time"

	"github.com/apricothub/apricothub/internal/standin/service"
	"github.com/apricothub/apricothub/test/harness"
)

// shortAddressTTL makes graceful shutdowns short: callers keep addresses for one second.
var shortAddressTTL = harness.Settings{"policy": {"address-keep-ms": "1000"}}

// stopSpec is a cluster whose engines run many long streams at once.
func stopSpec(engines int) harness.Spec {
	return harness.Spec{
		Entries:     3,
		Engines:     engines,
		EngineFlags: []string{"-cold", "0", "-full", "1000", "-token", "50ms"},
		Entry:       shortAddressTTL,
		Agent:       harness.Settings{"backend": {"cold-limit": "1000", "full-limit": "1000"}},
	}
}

// streamsInFlight is the number of streams in flight during a graceful shutdown.
const streamsInFlight = 600

// checkGracefulStop asks a process to stop and checks that it exits by itself with status 0.
func checkGracefulStop(t *testing.T, m *harness.Member) {
	t.Helper()
	begin := time.Now()
	if status := m.Terminate(); status != 0 {
		t.Errorf("%s: exit status %d: %s", m.VM, status, m.Tail())
	}
	t.Logf("%s stopped in %s", m.VM, time.Since(begin).Round(time.Millisecond))
}

// checkServedThroughout ends a load and checks that no answer was cut, and that only processes that
// stop refused requests.
func checkServedThroughout(t *testing.T, load *harness.Load) {
	t.Helper()
	r := load.Stop()
	checkNoneCut(t, r)
	checkOnlyDrainingRefusals(t, r)
}

// checkOnlyDrainingRefusals checks that only processes that stop refused requests. An entry that
// stops may send a caller elsewhere; one that reports ready must serve.
func checkOnlyDrainingRefusals(t *testing.T, r harness.LoadResult) {
	t.Helper()
	for name, n := range r.Refusals {
		if name != "DRAINING" {
			t.Errorf("%d requests refused as %s: %q", n, name, r.RefusalSamples)
		}
	}
}

// All entries are replaced one after another while hundreds of callers stream. A graceful shutdown
// first removes the entry from the addresses that callers resolve, waits until callers have dropped
// it, and finishes its last streams. Callers must notice nothing.
func TestRollingStopOfAllEntries(t *testing.T) {
	t.Parallel()
	c := startCluster(t, stopSpec(3))
	load := c.StartLoad(harness.LoadSpec{Callers: streamsInFlight, Tokens: 30, KeepAlive: true, Seed: 12})
	time.Sleep(2 * time.Second)
	for _, m := range c.Entries {
		checkGracefulStop(t, m)
		m.Restart()
		c.WaitReady(m)
		time.Sleep(500 * time.Millisecond)
	}
	checkServedThroughout(t, load)
}

// An agent is stopped gracefully while it carries streams. New requests must go to other agents at
// once, and the streams that it carries must finish.
func TestPlannedStopOfAnAgent(t *testing.T) {
	t.Parallel()
	c := startCluster(t, stopSpec(3))
	load := c.StartLoad(harness.LoadSpec{Callers: streamsInFlight, Tokens: 30, Seed: 13})
	time.Sleep(2 * time.Second)
	checkGracefulStop(t, c.EngineAgents()[0])
	time.Sleep(500 * time.Millisecond)
	checkNoneCut(t, load.Stop())
}

// manyStreams is the number of streams at once when a VM is replaced at peak load. They are slow,
// so that one machine can carry them.
const manyStreams = 2400

// More than two thousand streams are in flight when first an agent and then an entry is stopped
// gracefully. Every stream must finish, and a caller may be refused only if another entry takes the
// request.
func TestPlannedStopWithThousandsInFlight(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	spec := stopSpec(3)
	spec.EngineFlags = []string{"-cold", "0", "-full", "3000", "-token", "400ms"}
	spec.Agent = harness.Settings{"backend": {"cold-limit": "3000", "full-limit": "3000"}}
	c := startCluster(t, spec)
	load := c.StartLoad(harness.LoadSpec{Callers: manyStreams, Tokens: 10, KeepAlive: true, RequestTimeout: time.Minute, Seed: 15})
	time.Sleep(3 * time.Second)
	for _, m := range []*harness.Member{c.EngineAgents()[0], c.Entries[1]} {
		checkGracefulStop(t, m)
		m.Restart()
		c.WaitReady(m)
	}
	checkServedThroughout(t, load)
}

// An agent of a plain service, and then an entry, is stopped gracefully while stores push prices.
// Every push in flight must end with its answer, and no store may be left without knowing whether
// its push ran.
func TestPlannedStopUnderPushes(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Services: 2, Entry: shortAddressTTL})
	for _, m := range c.ServiceAgents() {
		m.Backend.SetBehaviour(service.Behaviour{DelayMS: 50})
	}
	load := c.StartLoad(harness.LoadSpec{Callers: 24, Pushes: true, Pause: 5 * time.Millisecond, Seed: 14})
	time.Sleep(time.Second)
	for _, m := range []*harness.Member{c.ServiceAgents()[0], c.Entries[1], c.ServiceAgents()[1]} {
		checkGracefulStop(t, m)
		m.Restart()
		c.WaitReady(m)
		time.Sleep(time.Second)
	}
	result := load.Stop()
	checkOutcomes(t, c, result.Outcomes)
	for _, out := range result.Outcomes {
		if out.Ran == harness.RanUnknown {
			t.Errorf("an outcome stayed unknown: %+v", out)
		}
	}
	t.Logf("outcomes %v", countOutcomes(result.Outcomes))
}

// Operators change the link key in the three rounds that the operators' page describes, restarting
// one VM after another, while callers stream. At any moment processes of two rounds run side by
// side. No stream may be cut, and only an entry that stops may refuse requests. Afterwards a
// process with the former key must get no link.
func TestLinkKeyIsChangedUnderLoad(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	spec := stopSpec(2)
	spec.Entries = 2
	spec.Entry = harness.Settings{"policy": {"address-keep-ms": "500"}}
	c := startCluster(t, spec)
	load := c.StartLoad(harness.LoadSpec{Callers: 40, Tokens: 10, KeepAlive: true, Seed: 16})
	formerKey := c.Entries[0].Setting("link", "key")
	for _, keys := range []map[string]string{
		{"other-key": newLinkKey},
		{"key": newLinkKey, "other-key": formerKey},
		{"key": newLinkKey, "other-key": ""},
	} {
		for _, m := range append(c.EngineAgents(), c.Entries...) {
			c.OverrideSettings(m, harness.Settings{"link": keys})
			checkGracefulStop(t, m)
			m.Restart()
			c.WaitReady(m)
			for _, entry := range c.Entries {
				c.WaitLinked(entry)
			}
		}
	}
	r := load.Stop()
	checkNoneCut(t, r)
	checkOnlyDrainingRefusals(t, r)
	formerKeyAgent := c.EngineAgents()[0]
	c.OverrideSettings(formerKeyAgent, harness.Settings{"link": {"key": formerKey}})
	formerKeyAgent.Kill()
	formerKeyAgent.Restart()
	c.WaitReady(formerKeyAgent) // It is ready since it has read the log, but no member.
	time.Sleep(2 * time.Second)
	status, err := c.Entries[0].Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, backend := range status.Backends {
		if backend.VM == formerKeyAgent.VM && backend.Refusing == "" {
			t.Errorf("an agent with the former key accepts requests: %+v", backend)
		}
	}
}

// newLinkKey replaces the harness's own key.
const newLinkKey = "another-key-of-links-0123456789"
