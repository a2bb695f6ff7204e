package test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/harness"
)

// A failure domain returns with a cold engine under full load: the engine was restarted while the
// domain was out, or lost its caches without notice. Its load must ramp up and never exceed what it
// can take.
func TestDomainReturnsCold(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	t.Run("engine restarted", func(t *testing.T) {
		t.Parallel()
		testColdReturn(t, func(m *harness.Member) {
			m.Backend.Kill()
			m.Backend.Restart()
			m.Backend.WaitRunning()
		})
	})
	t.Run("engine silent", func(t *testing.T) {
		t.Parallel()
		testColdReturn(t, func(m *harness.Member) { m.Backend.TurnCold(0) })
	})
}

func testColdReturn(t *testing.T, turnCold func(*harness.Member)) {
	c := startCluster(t, coldStartSpec(3))
	load := c.StartLoad(harness.LoadSpec{Callers: 32, Tokens: 10, Seed: 6})
	m := c.EngineAgents()[1]
	waitForWarmLoad(t, m)
	c.MustOperate("mark", "domain", m.Domain, "out")
	harness.Eventually(t, 10*time.Second, "the engine is idle", func() error {
		if running := m.Backend.Record().Running; running > 0 {
			return errors.Errorf("%d running", running)
		}
		return nil
	})
	turnCold(m)
	c.MustOperate("mark", "domain", m.Domain, "in")
	waitForWarmLoad(t, m)
	checkColdLimit(t, m, "during the return")
	checkNoneCut(t, load.Stop())
}
