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
	// historyDuration is how long operators race under faults.
	historyDuration = 9 * time.Second
	// historyCheckTimeout bounds the search for an order that explains a history.
	historyCheckTimeout = 30 * time.Second
	// publishTimeout is how long an operator waits for a verdict.
	publishTimeout = 2 * time.Second
	readInterval   = 40 * time.Millisecond
	// setupClient is the client that published the first version.
	setupClient = -1
)

// recorder writes down what operators and processes saw of the plans.
type recorder struct {
	*harness.Cluster
	startedAt time.Time

	mu      sync.Mutex
	history history.History
}

func (r *recorder) now() time.Duration { return time.Since(r.startedAt) }

// publishLoop edits and publishes as one operator until the channel closes. The edit is
// made from what one entry shows, which may be old, and published through another.
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
		panic(err) // An address of our own making.
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

// readLoop writes down what one process shows: the first and the last readLoop at each
// version, since those between say no more.
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

// recordRead adds a look, or puts it in place of the last look at the same version. It
// returns where it stands.
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

// Three operators race for nine seconds, each editing what one entry shows and
// publishing through another, while entries and an agent are killed and paused and the
// log loses answers, is down, is slow and forgets. Whatever each operator was told and
// each process showed must be what one versioned register would have given: one winner
// for each version, conflicts that name what stood, and no process that goes back.
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

// historyFaults are gone through in turn.
func historyFaults() []func(*harness.Cluster) {
	logFault := func(mode string) func(*harness.Cluster) {
		return func(c *harness.Cluster) {
			c.Platform.LogMode(mode, 200*time.Millisecond)
			time.Sleep(800 * time.Millisecond)
			c.Platform.LogMode("up", 0)
		}
	}
	return []func(*harness.Cluster){
		logFault("lose_answers"),
		func(c *harness.Cluster) { killAndRestart(c.Entries[0]) },
		func(c *harness.Cluster) { c.Platform.Retain(4) },
		logFault("down"),
		func(c *harness.Cluster) { pauseAndContinue(c.Entries[1]) },
		func(c *harness.Cluster) { killAndRestart(c.Agents[0]) },
		logFault("slow"),
	}
}

// checkHistoryCoverage fails when the history says nothing: it needs winners and conflicts.
func checkHistoryCoverage(t *testing.T, h *history.History) {
	t.Helper()
	counts := map[history.Outcome]int{}
	for _, p := range h.Publishes {
		counts[p.Outcome]++
	}
	t.Logf("%d accepted, %d conflicts, %d unknown, %d reads",
		counts[history.Accepted], counts[history.Conflict], counts[history.Unknown], len(h.Reads))
	if counts[history.Accepted] < 3 || counts[history.Conflict] < 1 {
		t.Error("too little was published to say anything")
	}
}
