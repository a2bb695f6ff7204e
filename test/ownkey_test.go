package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/standin/service"
	"github.com/apricothub/apricothub/test/harness"
)

// keyedPush is a push under a key of the caller's own.
func keyedPush(key, call string) harness.Request { return harness.PushRequest(key, call) }

// firstTryPush is a keyed push that the caller declares to be its first attempt.
func firstTryPush(key, call string) harness.Request {
	r := keyedPush(key, call)
	r.Header["Apricothub-First-Try"] = "yes"
	return r
}

// A booking site sends one deposit under its own order number many times at once through all
// entries, and the log is slow. Each entry finds the key unbound and binds it to a ticket of its
// own. The first binding in the log must hold, and all attempts must get the answer of that one
// run.
func TestConcurrentPushesWithOneKeyRunOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 3, Services: 3})
	for _, m := range c.ServiceAgents() {
		m.Backend.SetBehaviour(service.Behaviour{DelayMS: 300})
	}
	c.Platform.SetLogMode("slow", 100*time.Millisecond) // All entries append before one has read.
	caller := harness.NewCaller(harness.Key)
	const presses = 30
	bodies := make([]string, presses)
	var wg sync.WaitGroup
	for i := range presses {
		wg.Go(func() {
			reply, err := caller.Do(context.Background(), publicAddresses(c)[i%3], keyedPush("order 17", "pressed"))
			bodies[i] = fmt.Sprintf("%d %d %s %v", reply.Status, reply.Code, reply.Body, err)
		})
	}
	wg.Wait()
	for i, body := range bodies {
		if body != bodies[0] {
			t.Errorf("attempt %d got %q, the first got %q", i, body, bodies[0])
		}
	}
	if got := runsByCall(c)["pressed"]; got != 1 {
		t.Errorf("%d runs, want 1; first answer %q", got, bodies[0])
	}
	reply, err := caller.Do(t.Context(), c.Entries[1].Public, keyedPush("order 17", "another"))
	if err != nil || reply.Code != int(api.ResultCode_KEY_REUSED) || runsByCall(c)["another"] != 0 {
		t.Errorf("another request under the key: %d %s, %v", reply.Code, reply.Name, err)
	}
	// The same key of another customer is independent.
	other := harness.NewCaller(harness.OtherKey)
	reply, err = other.Do(t.Context(), c.Entries[2].Public, keyedPush("order 17", "others"))
	if err != nil || reply.Status != http.StatusOK || runsByCall(c)["others"] != 1 {
		t.Errorf("the other customer's key: %d %s %s, %v", reply.Code, reply.Name, reply.Message, err)
	}
}

// The log is down. A push under the caller's own key must be refused at once: as "not run" if the
// caller declares it as its first attempt, and as unknown if another entry may have bound an
// earlier one. Pushes with tickets must continue, and so must retries of keys that the entry knows.
// After the outage the refused key is sent again and must run.
func TestKeysWhileTheLogIsOut(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 2, Services: 2})
	caller := harness.NewCaller(harness.Key)
	address := c.Entries[0].Public
	if reply, err := caller.Do(t.Context(), address, keyedPush("known", "known")); err != nil || reply.Status != http.StatusOK {
		t.Fatalf("with the log up: %d %s %s, %v", reply.Code, reply.Name, reply.Message, err)
	}
	c.Platform.SetLogMode("down", 0)
	time.Sleep(time.Second) // Longer than an entry's interval between reads of the stream.
	for call, tc := range map[string]struct {
		request harness.Request
		ran     string
	}{
		"first": {firstTryPush("first", "first"), harness.RanNo},
		"again": {keyedPush("again", "again"), harness.RanUnknown},
	} {
		began := time.Now()
		reply, err := caller.Do(t.Context(), address, tc.request)
		took := time.Since(began)
		if err != nil || reply.Code != int(api.ResultCode_LOG_UNAVAILABLE) || reply.Ran != tc.ran || reply.RetryAfter <= 0 || took > time.Second {
			t.Errorf("%s: %d %s, ran %s, retry after %v, took %v, %v", call, reply.Code, reply.Name, reply.Ran, reply.RetryAfter, took, err)
		}
	}
	ticket, err := caller.RequestTicket(t.Context(), address, harness.Service)
	if err != nil {
		t.Fatal(err)
	}
	for call, key := range map[string]string{"ticketed": ticket.Ticket, "known": "known"} {
		if reply, err := caller.Push(t.Context(), address, key, call); err != nil || reply.Status != http.StatusOK {
			t.Errorf("%s during the outage: %d %s, %v", call, reply.Code, reply.Name, err)
		}
	}
	c.Platform.SetLogMode("up", 0)
	harness.Eventually(t, 5*time.Second, "the key is bound after the outage", func() error {
		reply, err := caller.Do(t.Context(), c.Entries[1].Public, keyedPush("first", "first"))
		if err == nil && reply.Status != http.StatusOK {
			err = fmt.Errorf("%d %s", reply.Code, reply.Name)
		}
		return err
	})
	ledger := runsByCall(c)
	for call, want := range map[string]int{"known": 1, "first": 1, "again": 0, "ticketed": 1} {
		if ledger[call] != want {
			t.Errorf("%s ran %d times, want %d", call, ledger[call], want)
		}
	}
}

// The log keeps records for a shorter time than configured, and an entry restarts. It cannot know
// which keys are bound: a push that ran is sent again under its key and must not run a second time
// as if it were new. The entry must refuse it as unknown, and a declared first attempt as "not
// run". The entry that has read the log all along must serve both.
func TestKeysWhoseRecordsAreGone(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 2, Services: 2})
	caller := harness.NewCaller(harness.Key)
	running, restarted := c.Entries[0], c.Entries[1]
	if reply, err := caller.Do(t.Context(), running.Public, keyedPush("ran", "ran")); err != nil || reply.Status != http.StatusOK {
		t.Fatalf("%d %s %s, %v", reply.Code, reply.Name, reply.Message, err)
	}
	c.Platform.SetKeyRetention(0)
	c.Platform.SetKeyRetention(-1)
	restarted.Kill()
	restarted.Restart()
	c.WaitReady(restarted)
	for _, tc := range []struct {
		request harness.Request
		ran     string
	}{
		{keyedPush("ran", "ran"), harness.RanUnknown},
		{firstTryPush("new", "new"), harness.RanNo},
	} {
		reply, err := caller.Do(t.Context(), restarted.Public, tc.request)
		if err != nil || reply.Code != int(api.ResultCode_KEYS_UNPROVEN) || reply.Ran != tc.ran {
			t.Errorf("at the restarted entry: %d %s, ran %s, want %s; %v", reply.Code, reply.Name, reply.Ran, tc.ran, err)
		}
		reply, err = caller.Do(t.Context(), running.Public, tc.request)
		if err != nil || reply.Status != http.StatusOK {
			t.Errorf("at the running entry: %d %s, %v", reply.Code, reply.Name, err)
		}
	}
	if ledger := runsByCall(c); ledger["ran"] != 1 || ledger["new"] != 1 {
		t.Errorf("runs: %v", ledger)
	}
}

// Three copies of each push are sent under one key, each to another entry, while entries are killed
// and the log is cut off, loses the answers of appends and is slow. Each copy retries with the key
// until it is told the outcome. No key may run twice, and every "ran" and "not run" of every copy
// must agree with the ledger, because the store acts on the first answer that it gets.
func TestKeyRunsOnceUnderFaults(t *testing.T) {
	t.Parallel()
	const seed, copies, pushers = 5, 3, 12
	c := startCluster(t, harness.Spec{Entries: 3, Services: 3})
	for _, m := range c.ServiceAgents() {
		m.Backend.SetBehaviour(service.Behaviour{DelayMS: 20})
	}
	var stop atomic.Bool
	var mu sync.Mutex
	var outcomes []harness.Outcome
	var wg sync.WaitGroup
	for pusher := range pushers {
		wg.Go(func() {
			caller := harness.NewCaller(harness.Key)
			for n := 0; !stop.Load(); n++ {
				call := fmt.Sprintf("%d-%d", pusher, n)
				var attempts sync.WaitGroup
				for i := range copies {
					attempts.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
						defer cancel()
						out := caller.PushWithKey(ctx, publicAddresses(c), i, "key of "+call, call)
						mu.Lock()
						outcomes = append(outcomes, out)
						mu.Unlock()
					})
				}
				attempts.Wait()
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for range 12 {
		injectKeyFault(c, random)
		time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
	}
	c.Platform.SetLogMode("up", 0)
	for _, m := range c.Members() {
		c.WaitReady(m)
	}
	time.Sleep(time.Second)
	stop.Store(true)
	wg.Wait()
	checkOutcomes(t, c, outcomes)
	checkTickets(t, outcomes)
	counts := countOutcomes(outcomes)
	if counts[harness.RanYes] < 100 {
		t.Errorf("only %d copies are known to have run: the test proves nothing", counts[harness.RanYes])
	}
	t.Logf("seed %d: %d copies, outcomes %v, last refusals %v", seed, len(outcomes), counts, refusalCodes(outcomes))
}

// refusalCodes counts the results of copies whose push is not known to have run.
func refusalCodes(outcomes []harness.Outcome) map[int]int {
	codes := map[int]int{}
	for _, out := range outcomes {
		if out.Ran != harness.RanYes {
			codes[out.Code]++
		}
	}
	return codes
}

// injectKeyFault disturbs an entry, an agent or the log for a moment.
func injectKeyFault(c *harness.Cluster, random *rand.Rand) {
	entry := c.Entries[random.IntN(len(c.Entries))]
	agent := c.ServiceAgents()[random.IntN(len(c.ServiceAgents()))]
	switch random.IntN(6) {
	case 0:
		entry.Kill()
		entry.Restart()
	case 1:
		c.Platform.SetLogMode("down", 0)
		time.Sleep(500 * time.Millisecond)
		c.Platform.SetLogMode("up", 0)
	case 2:
		c.Platform.SetLogMode("lose_answers", 0)
		time.Sleep(500 * time.Millisecond)
		c.Platform.SetLogMode("up", 0)
	case 3:
		c.Platform.SetLogMode("slow", 150*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		c.Platform.SetLogMode("up", 0)
	case 4:
		entry.View.Cut(true)
		time.Sleep(400 * time.Millisecond)
		entry.View.Cut(false)
	case 5:
		agent.Kill()
		agent.Restart()
	}
}
