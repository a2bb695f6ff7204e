package test

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/standin/engine"
	"github.com/apricothub/apricothub/test/harness"
)

// publishVersion publishes the uses list with another version of the model.
func publishVersion(t *testing.T, c *harness.Cluster, version string) {
	t.Helper()
	text := strings.Replace(harness.UsesList, "\nversion = 1\n", "\nversion = "+version+"\n", 1)
	file := harness.WriteFile(t, c.Dir, "uses-"+version+".ini", text)
	c.MustOperate("publish", adminapi.ListUses, file)
}

// modelLoads returns the orders that the engines carried out, ordered by start.
func modelLoads(c *harness.Cluster) (all []engine.CompletedLoad) {
	for _, m := range c.EngineAgents() {
		all = append(all, m.Backend.Record().Loads...)
	}
	slices.SortFunc(all, func(a, b engine.CompletedLoad) int { return cmp.Compare(a.BeginMS, b.BeginMS) })
	return all
}

// waitForVersion waits until every engine holds a version and the last entry reports it.
func waitForVersion(t *testing.T, c *harness.Cluster, version string) {
	t.Helper()
	harness.Eventually(t, 20*time.Second, "all engines hold version "+version, func() error {
		for _, m := range c.EngineAgents() {
			if held := m.Backend.Held(); held.Version != version {
				return errors.Errorf("%s holds %q", m.VM, held.Version)
			}
		}
		status, err := c.Entries[2].Status()
		if err != nil {
			return err
		}
		for _, b := range status.Backends {
			if b.Model != "" && b.ModelVersion != version {
				return errors.Errorf("%s is shown with %q", b.VM, b.ModelVersion)
			}
		}
		return nil
	})
}

// waitForAddressRemoval waits until an entry no longer lists the address of a dead one.
func waitForAddressRemoval(t *testing.T, entry, dead *harness.Member) {
	t.Helper()
	caller := harness.NewCaller(harness.Key)
	harness.Eventually(t, 10*time.Second, dead.VM+" is no longer listed", func() error {
		list, err := caller.Addresses(t.Context(), entry.Public)
		if err != nil {
			return err
		}
		for _, a := range list.Addresses {
			if a.Address == dead.Public {
				return errors.New("the address is still listed")
			}
		}
		return nil
	})
}

// checkNoneRefused checks that no answer was cut and no request refused for lack of a version.
func checkNoneRefused(t *testing.T, r harness.LoadResult) {
	t.Helper()
	checkNoneCut(t, r)
	if n := r.Refusals["NO_BACKEND"]; n > 0 {
		t.Errorf("%d requests refused as NO_BACKEND", n)
	}
}

// Operators publish a version of the model while callers stream, and another one while the engines
// are being changed. Then the first entry, which gives the orders, dies, and they return to the
// first version. No answer may be cut and no request refused. The engines must change one at a time
// and only when idle, and an engine that checks fencing numbers must refuse an order older than the
// last.
func TestRolloutUnderLoad(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{
		Entries: 3, Engines: 4,
		EngineFlags: []string{"-check-fence", "-cold", "2", "-warm-after", "4", "-full", "8"},
		Agent:       harness.Settings{"backend": {"cold-limit": "2", "full-limit": "8"}},
	})
	load := c.StartLoad(harness.LoadSpec{Callers: 6, Tokens: 8, Pause: 10 * time.Millisecond, Seed: 30})
	for _, m := range c.EngineAgents() {
		harness.Eventually(t, 20*time.Second, m.VM+" is warm", func() error {
			if m.Backend.Record().Cold {
				return errCold
			}
			return nil
		})
	}
	publishVersion(t, c, "2")
	harness.Eventually(t, 20*time.Second, "an engine has loaded the new version", func() error {
		if len(modelLoads(c)) == 0 {
			return errors.New("no engine has loaded a version")
		}
		return nil
	})
	publishVersion(t, c, "3")
	published := time.Now().UnixMilli()
	waitForVersion(t, c, "3")
	checkNoneRefused(t, load.Stop())

	c.Entries[0].Kill()
	waitForAddressRemoval(t, c.Entries[1], c.Entries[0])
	load = c.StartLoad(harness.LoadSpec{Callers: 6, Tokens: 8, Pause: 10 * time.Millisecond, Seed: 31})
	file := harness.WriteFile(t, c.Dir, "uses-back.ini", harness.UsesList)
	// "In force" would wait until the platform's list drops the dead entry.
	if out, code := c.OperateAt(c.Entries[1], "publish", adminapi.ListUses, file, "-x", "accepted"); code != exitOK {
		t.Fatalf("publish: exit status %d: %s", code, out)
	}
	waitForVersion(t, c, "1")
	checkNoneRefused(t, load.Stop())

	loads := modelLoads(c)
	staleLoads := 0
	for i, l := range loads {
		t.Logf("version %s, fence %d, %d to %d ms", l.Version, l.Fence, l.BeginMS-published, l.EndMS-published)
		if l.Running > 0 {
			t.Errorf("%d requests ran on an engine that was loading version %s", l.Running, l.Version)
		}
		if i > 0 && l.BeginMS < loads[i-1].EndMS {
			t.Errorf("two engines loaded at once")
		}
		if l.Version == "2" && l.BeginMS > published {
			staleLoads++
		}
	}
	if staleLoads > 1 {
		t.Errorf("version 2 was loaded %d times after version 3 was in force", staleLoads)
	}
	staleOrder := engine.LoadOrder{Fence: loads[0].Fence, Kind: "load_model", Model: harness.Model, Version: "2"}
	if err := c.EngineAgents()[0].Backend.Order(staleOrder); err == nil || !strings.Contains(err.Error(), "409") {
		t.Errorf("an order with an old fencing number: %v, want a refusal with status 409", err)
	}
}
