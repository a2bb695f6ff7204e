package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/adminclient"
	"github.com/apricothub/apricothub/internal/history"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	// historyDuration is how long operators publish concurrently under faults.
	historyDuration = 9 * time.Second
	// historyCheckTimeout limits the search for a linearization of a history.
	historyCheckTimeout = 30 * time.Second
	// publishTimeout is how long an operator waits for the outcome of a change.
	publishTimeout = 2 * time.Second
	readInterval   = 40 * time.Millisecond
	// setupClient is the client that published the first version.
	setupClient = -1
)

// recorder records what operators and processes observe of the plans.
type recorder struct {
	*harness.Cluster
	startedAt time.Time

	mu      sync.Mutex
	history history.History
}

func (r *recorder) now() time.Duration { return time.Since(r.startedAt) }

// publishLoop edits and publishes as one operator until the channel closes. It edits the version
// that one entry shows, which may be stale, and publishes through another entry.
func (r *recorder) publishLoop(operator int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(31, uint64(operator)))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(300)) * time.Millisecond):
		}
		shown, err := plansStatus(r.Entries[random.IntN(len(r.Entries))])
		if err != nil {
			continue
		}
		r.publish(r.Entries[random.IntN(len(r.Entries))], operator, n, shown.Offset)
	}
}

func (r *recorder) publish(entry *harness.Member, operator, n int, base int64) {
	client, err := adminclient.New(entry.Admin, harness.AdminToken)
	if err != nil {
		panic(err) // The address was built by the harness.
	}
	record := history.Publish{Client: operator, Base: base, Call: r.now()}
	change, err := client.Publish(context.Background(), adminapi.ListPlans, adminapi.PublishRequest{
		Base:     base,
		Author:   "operator " + strconv.Itoa(operator),
		ChangeID: fmt.Sprintf("history-%d-%d", operator, n),
		Text:     harness.PlansListWith(1 + 1000*operator + n),
	}, adminapi.Accepted, publishTimeout)
	record.Return = r.now()
	var responseErr *adminclient.ResponseError
	switch {
	case err == nil && change.State != adminapi.Unchanged:
		record.Outcome, record.Offset = history.Accepted, change.Offset
	case errors.As(err, &responseErr) && responseErr.Details.Current != nil:
		record.Outcome, record.Offset = history.Conflict, *responseErr.Details.Current
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Publishes = append(r.history.Publishes, record)
}

// readLoop records the version that one process reports. Of each version only the first and the
// last read are kept, since the reads between add nothing to the check.
func (r *recorder) readLoop(process int, m *harness.Member, stop <-chan struct{}) {
	lastIndex := -1
	for {
		select {
		case <-stop:
			return
		case <-time.After(readInterval):
		}
		call := r.now()
		status, err := m.Status()
		if err != nil || !status.Process.Ready {
			continue
		}
		read := history.Read{Process: process, Call: call, Return: r.now(), Offset: plansOffset(status)}
		lastIndex = r.recordRead(read, lastIndex)
	}
}

// recordRead adds a read, or replaces the last read of the same version, and returns its index.
func (r *recorder) recordRead(read history.Read, lastIndex int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lastIndex >= 0 && r.history.Reads[lastIndex].Offset == read.Offset {
		r.history.Reads[lastIndex] = read
		return lastIndex
	}
	r.history.Reads = append(r.history.Reads, read, read)
	return len(r.history.Reads) - 1
}

func plansOffset(status adminapi.Status) int64 {
	for _, list := range status.Lists {
		if list.Name == adminapi.ListPlans {
			return list.Offset
		}
	}
	return history.NeverPublished
}

// Three operators publish concurrently for nine seconds, each editing what one entry shows and
// publishing through another, while entries and an agent are killed and paused and the log loses
// answers, is down, is slow and drops records. What operators were told and processes reported must
// be linearizable as one versioned register: one winner for each version, conflicts that name the
// current version, and no process that returns to an older one.
func TestConfigurationHistory(t *testing.T) {
	t.Parallel()
	frequentSnapshots := harness.Settings{"platform": {"snapshot-every-records": "5"}}
	c := startCluster(t, harness.Spec{Entries: 3, Engines: 1, Services: 1, Entry: frequentSnapshots, Agent: frequentSnapshots})
	r := &recorder{Cluster: c, startedAt: time.Now()}
	initial, err := plansStatus(c.Entries[0])
	if err != nil {
		t.Fatal(err)
	}
	r.history.Publishes = append(r.history.Publishes, history.Publish{
		Client: setupClient, Return: r.now(), Base: history.NeverPublished, Outcome: history.Accepted, Offset: initial.Offset,
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() { r.publishLoop(i, stop) })
	}
	for i, m := range c.Members() {
		wg.Go(func() { r.readLoop(i, m, stop) })
	}
	faults := historyFaults()
	for i := 0; r.now() < historyDuration; i++ {
		faults[i%len(faults)](c)
		time.Sleep(400 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	checkHistoryCoverage(t, &r.history)
	if err := r.history.Check(inForceLimit, historyCheckTimeout); err != nil {
		t.Errorf("%v: %+v", err, r.history)
	}
}

// historyFaults returns the faults in the order in which they are injected.
func historyFaults() []func(*harness.Cluster) {
	logFault := func(mode string) func(*harness.Cluster) {
		return func(c *harness.Cluster) {
			c.Platform.SetLogMode(mode, 200*time.Millisecond)
			time.Sleep(800 * time.Millisecond)
			c.Platform.SetLogMode("up", 0)
		}
	}
	return []func(*harness.Cluster){
		logFault("lose_answers"),
		func(c *harness.Cluster) { killAndRestart(c.Entries[0]) },
		func(c *harness.Cluster) { c.Platform.SetRetention(4) },
		logFault("down"),
		func(c *harness.Cluster) { pauseAndContinue(c.Entries[1]) },
		func(c *harness.Cluster) { killAndRestart(c.Agents[0]) },
		logFault("slow"),
	}
}

// checkHistoryCoverage fails if the history proves nothing: it needs accepted changes and
// conflicts.
func checkHistoryCoverage(t *testing.T, h *history.History) {
	t.Helper()
	counts := map[history.Outcome]int{}
	for _, p := range h.Publishes {
		counts[p.Outcome]++
	}
	t.Logf("%d accepted, %d conflicts, %d unknown, %d reads",
		counts[history.Accepted], counts[history.Conflict], counts[history.Unknown], len(h.Reads))
	if counts[history.Accepted] < 3 || counts[history.Conflict] < 1 {
		t.Error("too few changes and conflicts: the test proves nothing")
	}
}
