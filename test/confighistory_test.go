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
	// historyTime is how long operators race under faults.
	historyTime = 9 * time.Second
	// historyDecided bounds the search for an order that explains a history.
	historyDecided = 30 * time.Second
	// operatorPatience is how long an operator waits for a verdict.
	operatorPatience = 2 * time.Second
	lookStep         = 40 * time.Millisecond
	// setUp is the client that published the first version.
	setUp = -1
)

// recorder writes down what operators and processes saw of the plans.
type recorder struct {
	*harness.Cluster
	began time.Time

	mu      sync.Mutex
	history history.History
}

func (r *recorder) now() time.Duration { return time.Since(r.began) }

// operate edits and publishes as one operator until the channel closes. The edit is
// made from what one entry shows, which may be old, and published through another.
func (r *recorder) operate(number int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(31, uint64(number)))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(300)) * time.Millisecond):
		}
		shown, err := plans(r.Entries[random.IntN(len(r.Entries))])
		if err != nil {
			continue
		}
		r.publish(r.Entries[random.IntN(len(r.Entries))], number, n, shown.Offset)
	}
}

func (r *recorder) publish(at *harness.Member, number, n int, base int64) {
	client, err := adminclient.New(at.Admin, harness.AdminToken)
	if err != nil {
		panic(err) // An address of our own making.
	}
	seen := history.Publish{Client: number, Base: base, Call: r.now()}
	change, err := client.Publish(context.Background(), adminapi.ListPlans, adminapi.PublishRequest{
		Base:     base,
		Author:   "operator " + strconv.Itoa(number),
		ChangeID: fmt.Sprintf("history-%d-%d", number, n),
		Text:     harness.PlansListWith(1 + 1000*number + n),
	}, adminapi.Accepted, operatorPatience)
	seen.Return = r.now()
	var failed *adminclient.ResponseError
	switch {
	case err == nil && change.State != adminapi.Unchanged:
		seen.Outcome, seen.Offset = history.Accepted, change.Offset
	case errors.As(err, &failed) && failed.Details.Current != nil:
		seen.Outcome, seen.Offset = history.Conflict, *failed.Details.Current
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Publishes = append(r.history.Publishes, seen)
}

// look writes down what one process shows: the first and the last look at each
// version, since those between say no more.
func (r *recorder) look(process int, m *harness.Member, stop <-chan struct{}) {
	last := -1
	for {
		select {
		case <-stop:
			return
		case <-time.After(lookStep):
		}
		call := r.now()
		status, err := m.Status()
		if err != nil || !status.Process.Ready {
			continue
		}
		read := history.Read{Process: process, Call: call, Return: r.now(), Offset: offsetOfPlans(status)}
		last = r.note(read, last)
	}
}

// note adds a look, or puts it in place of the last look at the same version. It
// returns where it stands.
func (r *recorder) note(read history.Read, last int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last >= 0 && r.history.Reads[last].Offset == read.Offset {
		r.history.Reads[last] = read
		return last
	}
	r.history.Reads = append(r.history.Reads, read, read)
	return len(r.history.Reads) - 1
}

func offsetOfPlans(status adminapi.Status) int64 {
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
	often := harness.Settings{"platform": {"snapshot-every-records": "5"}}
	c := start(t, harness.Spec{Entries: 3, Engines: 1, Services: 1, Entry: often, Agent: often})
	r := &recorder{Cluster: c, began: time.Now()}
	first, err := plans(c.Entries[0])
	if err != nil {
		t.Fatal(err)
	}
	r.history.Publishes = append(r.history.Publishes, history.Publish{
		Client: setUp, Return: r.now(), Base: history.NeverPublished, Outcome: history.Accepted, Offset: first.Offset,
	})
	stop := make(chan struct{})
	var seen sync.WaitGroup
	for i := range 3 {
		seen.Go(func() { r.operate(i, stop) })
	}
	for i, m := range c.Members() {
		seen.Go(func() { r.look(i, m, stop) })
	}
	faults := historyFaults()
	for i := 0; r.now() < historyTime; i++ {
		faults[i%len(faults)](c)
		time.Sleep(400 * time.Millisecond)
	}
	close(stop)
	seen.Wait()
	tellOutcomes(t, &r.history)
	if err := r.history.Check(inForceLimit, historyDecided); err != nil {
		t.Errorf("%v: %+v", err, r.history)
	}
}

// historyFaults are gone through in turn.
func historyFaults() []func(*harness.Cluster) {
	log := func(mode string) func(*harness.Cluster) {
		return func(c *harness.Cluster) {
			c.Platform.SetLogMode(mode, 200*time.Millisecond)
			time.Sleep(800 * time.Millisecond)
			c.Platform.SetLogMode("up", 0)
		}
	}
	return []func(*harness.Cluster){
		log("lose_answers"),
		func(c *harness.Cluster) { restart(c.Entries[0]) },
		func(c *harness.Cluster) { c.Platform.SetRetention(4) },
		log("down"),
		func(c *harness.Cluster) { pause(c.Entries[1]) },
		func(c *harness.Cluster) { restart(c.Agents[0]) },
		log("slow"),
	}
}

// tellOutcomes fails when the history says nothing: it needs winners and conflicts.
func tellOutcomes(t *testing.T, h *history.History) {
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
