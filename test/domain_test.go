package test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/harness"
)

// maxMarkDelay is the time after a mark from which no new request may arrive.
const maxMarkDelay = 3 * time.Second

// checkNoArrivalsAfter checks that no request reaches a backend server later than maxMarkDelay
// after begin. It observes one second beyond that.
func checkNoArrivalsAfter(t *testing.T, m *harness.Member, begin time.Time, when string) {
	t.Helper()
	time.Sleep(time.Until(begin.Add(maxMarkDelay + time.Second)))
	lateArrivals := 0
	for _, a := range m.Backend.Record().Arrivals {
		if a.BeginMS > begin.Add(maxMarkDelay).UnixMilli() {
			lateArrivals++
		}
	}
	if lateArrivals > 0 {
		t.Errorf("%s: %d requests reached %s later than %s after the mark", when, lateArrivals, m.VM, maxMarkDelay)
	}
}

// checkInForce checks that the operator was told that the mark is in force everywhere.
func checkInForce(t *testing.T, exitStatus <-chan int) {
	t.Helper()
	if status := <-exitStatus; status != 0 {
		t.Errorf("the mark command's exit status is %d, want 0", status)
	}
}

// returnDomain marks the domain in again and waits until its backend server gets requests.
func returnDomain(t *testing.T, c *harness.Cluster, m *harness.Member) {
	t.Helper()
	before := len(m.Backend.Record().Arrivals)
	c.MustOperate("mark", "domain", m.Domain, "in")
	harness.Eventually(t, 10*time.Second, m.VM+" gets requests again", func() error {
		if len(m.Backend.Record().Arrivals) == before {
			return errors.New("no request arrived")
		}
		return nil
	})
}

// Operators take a failure domain out at short notice. Three seconds later no engine there may get
// new requests, also if the log fails right after the mark, or the list of VMs is stale. No answer
// may be cut.
func TestDomainOut(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 3})
	warmUp(t, c)
	load := c.StartLoad(harness.LoadSpec{Callers: 12, Tokens: 30, Pause: 5 * time.Millisecond, Seed: 7})
	m := c.EngineAgents()[1]

	begin, exitStatus := c.MarkOut(m.Domain)
	checkNoArrivalsAfter(t, m, begin, "plain")
	checkInForce(t, exitStatus)
	returnDomain(t, c, m)

	begin, exitStatus = c.MarkOut(m.Domain)
	c.Platform.SetLogMode("down", 0)
	checkNoArrivalsAfter(t, m, begin, "log down after the mark")
	checkInForce(t, exitStatus)
	c.Platform.SetLogMode("up", 0)
	returnDomain(t, c, m)

	for _, e := range c.Entries {
		e.View.Freeze(true)
	}
	begin, exitStatus = c.MarkOut(m.Domain)
	checkNoArrivalsAfter(t, m, begin, "list of VMs stale")
	checkInForce(t, exitStatus)
	for _, e := range c.Entries {
		e.View.Freeze(false)
	}
	returnDomain(t, c, m)
	checkNoneCut(t, load.Stop())
}

// An entry is paused across a mark. When it resumes, it still takes the failure domain for in
// service and sends the requests that it had placed there. The agent knows the mark and must refuse
// them as not run, so that the entry can place them elsewhere.
func TestDomainOutAcrossPausedEntry(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 3})
	warmUp(t, c)
	load := c.StartLoad(harness.LoadSpec{Callers: 12, Tokens: 30, Pause: 5 * time.Millisecond, Seed: 8})
	m := c.EngineAgents()[1]
	paused := c.Entries[2]
	paused.Pause()
	begin, exitStatus := c.MarkOut(m.Domain)
	time.Sleep(maxMarkDelay + 200*time.Millisecond)
	paused.Continue()
	checkNoArrivalsAfter(t, m, begin, "entry paused across the mark")
	checkInForce(t, exitStatus)
	checkNoneCut(t, load.Stop())
}

// An entry and an agent are partitioned together from the log and from all other processes, and so
// miss a mark of the agent's failure domain. They cannot tell whether their configuration is
// current, so they must refuse new requests as not run.
func TestDomainOutInAPartition(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 3})
	warmUp(t, c)
	isolatedEntry, m := c.Entries[2], c.EngineAgents()[1]
	partition := map[string]bool{isolatedEntry.VM: true, m.VM: true}
	for _, member := range c.Members() {
		if partition[member.VM] {
			member.View.Cut(true)
		}
		for _, other := range c.Members() {
			if link := member.View.Link(other.VM); link != nil && partition[member.VM] != partition[other.VM] {
				link.Isolate()
			}
		}
	}
	caller := harness.NewCaller(harness.Key)
	callCtx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for callCtx.Err() == nil {
			_, _, _ = caller.Complete(callCtx, isolatedEntry.Public, harness.Prompt{Text: "island", Tokens: 2})
		}
	}()
	begin, _ := c.MarkOut(m.Domain)
	checkNoArrivalsAfter(t, m, begin, "cut off with its entry")
	stop()
	<-done
	reply, err := caller.Do(t.Context(), isolatedEntry.Public, harness.PushRequest("", "island"))
	if err != nil || reply.Ran != harness.RanNo || reply.RetryAfter == 0 {
		t.Errorf("the isolated entry answers %d %s (ran %s, retry after %s), %v; want not run and a time to retry after",
			reply.Code, reply.Name, reply.Ran, reply.RetryAfter, err)
	}
}

// A backend server is about to leave and says so in the list of VMs, which lags. It must get no new
// requests within seconds, and the requests in flight on it must finish.
func TestBackendLeaves(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 3})
	warmUp(t, c)
	load := c.StartLoad(harness.LoadSpec{Callers: 12, Tokens: 30, Pause: 5 * time.Millisecond, Seed: 9})
	time.Sleep(300 * time.Millisecond)
	m := c.EngineAgents()[2]
	c.MarkLeaving(m)
	checkNoArrivalsAfter(t, m, time.Now(), "leaving")
	if status := m.Terminate(); status != 0 {
		t.Errorf("exit status %d: %s", status, m.Tail())
	}
	checkNoneCut(t, load.Stop())
}
