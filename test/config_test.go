package test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/test/harness"
)

// inForceLimit is the time within which an accepted change must be in force everywhere.
const inForceLimit = 5 * time.Second

// Exit statuses of operators' commands.
const (
	exitOK           = 0
	exitConflict     = 3
	exitLogDown      = 4
	exitNotConfirmed = 5
)

// plansStatus returns the plans list as a process reports it.
func plansStatus(m *harness.Member) (adminapi.ListStatus, error) {
	status, err := m.Status()
	if err != nil {
		return adminapi.ListStatus{}, err
	}
	for _, list := range status.Lists {
		if list.Name == adminapi.ListPlans {
			return list, nil
		}
	}
	return adminapi.ListStatus{}, errors.New("no plans list")
}

// publishPlans publishes a version of the plans through one entry.
func publishPlans(t *testing.T, c *harness.Cluster, m *harness.Member, burst int, flags ...string) (string, int) {
	t.Helper()
	file := harness.WriteFile(t, c.Dir, fmt.Sprintf("plans-%d.ini", burst), harness.PlansListWith(burst))
	return c.OperateAt(m, append([]string{"publish", adminapi.ListPlans, file}, flags...)...)
}

// checkMonotonic ends a watch and checks that no process reported an older version after a newer
// one.
func checkMonotonic(t *testing.T, w *harness.Watch) {
	t.Helper()
	problems, samples := w.Stop()
	for _, problem := range problems {
		t.Error(problem)
	}
	t.Logf("%d samples", samples)
}

// waitForOffset waits until all processes report the same version of the plans.
func waitForOffset(t *testing.T, c *harness.Cluster, offset int64) {
	t.Helper()
	for _, m := range c.Members() {
		harness.Eventually(t, inForceLimit, m.VM+" shows the change", func() error {
			list, err := plansStatus(m)
			if err == nil && list.Offset != offset {
				err = errors.Errorf("offset %d, want %d", list.Offset, offset)
			}
			return err
		})
	}
}

// Three operators edit the plans from the same version and publish through three entries at once;
// in some rounds the log's answers are lost after the append. Exactly one must be told that the
// change is in force and the others that there is a conflict. Every process must report the
// winner's version, and never an older one after it.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 1, Services: 1})
	watch := c.StartWatch()
	for round := range 6 {
		before, err := plansStatus(c.Entries[0])
		if err != nil {
			t.Fatal(err)
		}
		if round%3 == 2 {
			c.Platform.SetLogMode("lose_answers", 0)
		}
		statuses := make([]int, len(c.Entries))
		outputs := make([]string, len(c.Entries))
		var operators sync.WaitGroup
		begin := time.Now()
		for i, m := range c.Entries {
			operators.Go(func() {
				outputs[i], statuses[i] = publishPlans(t, c, m, 100*round+i+1, "-b", strconv.FormatInt(before.Offset, 10), "-u", m.VM)
			})
		}
		operators.Wait()
		took := time.Since(begin)
		c.Platform.SetLogMode("up", 0)
		winner := -1
		for i, status := range statuses {
			switch {
			case status == exitOK && winner < 0:
				winner = i
			case status == exitConflict:
			default:
				t.Errorf("round %d: operator %d: exit status %d: %s", round, i, status, outputs[i])
			}
		}
		if winner < 0 {
			t.Fatalf("round %d: no operator's change was accepted: %q", round, outputs)
		}
		if took > inForceLimit {
			t.Errorf("round %d: in force after %s, want %s", round, took, inForceLimit)
		}
		after, err := plansStatus(c.Entries[winner])
		if err != nil || after.Author != c.Entries[winner].VM || after.Offset <= before.Offset {
			t.Errorf("round %d: %+v after %+v, %v; want the change of %s", round, after, before, err, c.Entries[winner].VM)
		}
		waitForOffset(t, c, after.Offset)
	}
	checkMonotonic(t, watch)
}

// The log keeps only a few records, and older ones expire while all processes are replaced, first
// one after another and then all at once. Every process must still hold the plans that were
// published last, and serve callers by them.
func TestConfigurationOutlivesItsRecords(t *testing.T) {
	t.Parallel()
	frequentSnapshots := harness.Settings{"platform": {"snapshot-every-records": "3"}}
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 1, Services: 1, Entry: frequentSnapshots, Agent: frequentSnapshots})
	watch := c.StartWatch()
	for i := range 12 {
		if out, status := publishPlans(t, c, c.Entries[i%3], i+1); status != exitOK {
			t.Fatalf("publish %d: exit status %d: %s", i, status, out)
		}
	}
	last, err := plansStatus(c.Entries[0])
	if err != nil {
		t.Fatal(err)
	}
	c.Platform.SetRetention(8)
	for _, m := range c.Members() {
		m.Kill()
		m.Restart()
		c.WaitReady(m)
	}
	waitForOffset(t, c, last.Offset)
	for _, m := range c.Members() {
		m.Kill()
	}
	for _, m := range c.Members() {
		m.Restart()
	}
	for _, m := range c.Members() {
		c.WaitReady(m)
	}
	waitForOffset(t, c, last.Offset)
	checkMonotonic(t, watch)
	waitForCompletions(t, c, harness.NewCaller(harness.Key))
}

// An entry and an agent are paused while the plans change several times and the log drops all but
// the last record. After the pause the next record in the log is not the next one for them: they
// must not fold across the gap, and must still have the newest plans within seconds.
func TestPausedWhileRecordsExpire(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 1, Services: 1})
	watch := c.StartWatch()
	paused := []*harness.Member{c.Entries[2], c.ServiceAgents()[0]}
	for _, m := range paused {
		m.Pause()
	}
	c.Platform.SetRetention(1)
	for i := range 3 {
		if out, status := publishPlans(t, c, c.Entries[i%2], i+1, "-x", "accepted"); status != exitOK {
			t.Fatalf("publish %d: exit status %d: %s", i, status, out)
		}
	}
	last, err := plansStatus(c.Entries[0])
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(pauseTime)
	for _, m := range paused {
		m.Continue()
	}
	waitForOffset(t, c, last.Offset)
	checkMonotonic(t, watch)
	waitForCompletions(t, c, harness.NewCaller(harness.Key))
}

// The log is down for longer than any process may go without an update from it, and an entry is
// replaced meanwhile. Callers must notice nothing: completions and pushes continue, also through
// the new entry, which gets the newest plans from its peers. An operator is told that the log does
// not answer.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 2, Services: 2})
	warmUp(t, c)
	watch := c.StartWatch()
	if out, status := publishPlans(t, c, c.Entries[0], 7); status != exitOK {
		t.Fatalf("publish: exit status %d: %s", status, out)
	}
	last, err := plansStatus(c.Entries[0])
	if err != nil {
		t.Fatal(err)
	}
	c.Platform.SetLogMode("down", 0)
	time.Sleep(3 * time.Second)
	streams := c.StartLoad(harness.LoadSpec{Callers: 4, Tokens: 10, Pause: 20 * time.Millisecond, Seed: 20})
	pushes := c.StartLoad(harness.LoadSpec{Callers: 4, Pushes: true, Pause: 20 * time.Millisecond, Seed: 21})
	time.Sleep(3 * time.Second)
	checkNoneCut(t, streams.Stop())
	result := pushes.Stop()
	checkOutcomes(t, c, result.Outcomes)
	if n := countOutcomes(result.Outcomes); n[harness.RanYes] != len(result.Outcomes) || n[harness.RanYes] == 0 {
		t.Errorf("pushes in the outage: %v, want all to run", n)
	}
	// The entry cannot know whether the append took effect, so "not confirmed" is as true as "the
	// log does not answer".
	if out, status := publishPlans(t, c, c.Entries[0], 8, "-w", "2s"); status != exitLogDown && status != exitNotConfirmed {
		t.Errorf("publish in the outage: exit status %d, want %d or %d: %s", status, exitLogDown, exitNotConfirmed, out)
	}

	replaced := c.Entries[2]
	replaced.Kill()
	replaced.Restart()
	c.WaitReady(replaced)
	if list, err := plansStatus(replaced); err != nil || list.Offset != last.Offset {
		t.Errorf("the replaced entry shows %+v, %v; want offset %d", list, err, last.Offset)
	}
	waitForCompletions(t, c, harness.NewCaller(harness.Key))
	c.Platform.SetLogMode("up", 0)
	checkMonotonic(t, watch)
}
