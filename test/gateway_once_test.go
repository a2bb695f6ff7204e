package test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/test/fakeplatform"
)

// pushLedger counts how often each attempt of a caller ran, as the backend servers saw it.
type pushLedger struct {
	mu   sync.Mutex
	runs map[string]int
	rng  *rand.Rand
}

// answer is the handler of a faulty backend server: most requests run and are answered, some run
// before the connection breaks, some run slowly, some are refused.
func (r *pushLedger) answer(s fakeplatform.ReceivedRequest, conn net.Conn) bool {
	r.mu.Lock()
	percent := r.rng.IntN(100)
	if percent >= 10 {
		r.runs[s.ID()]++
	}
	r.mu.Unlock()
	switch {
	case percent < 10:
		return fakeplatform.Refuse(s, conn)
	case percent < 20:
		return false
	case percent < 30:
		time.Sleep(300 * time.Millisecond)
	}
	return fakeplatform.Echo(s, conn)
}

// run records that a request has run.
func (r *pushLedger) run(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *pushLedger) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// outcome is what a caller knows of an attempt.
type outcome int

const (
	answered outcome = iota
	// notRun means that the caller was told so, or that no connection could be opened.
	notRun
	unknown
)

// send sends one attempt of a push and compares the answer with what ran.
func (r *pushLedger) send(t *testing.T, client *http.Client, address, id string) outcome {
	req, err := fakeplatform.NewRequest(address, "/push/1", id)
	if err != nil {
		t.Error(err)
		return unknown
	}
	resp, err := client.Do(req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return notRun
		}
		return unknown
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return unknown
	}
	if resp.StatusCode == http.StatusOK {
		if string(body) != "answer to "+id || r.count(id) != 1 {
			t.Errorf("push %s was answered %q and ran %d times", id, body, r.count(id))
		}
		return answered
	}
	var refusal result.Body
	if json.Unmarshal(body, &refusal) != nil || refusal.Error.Ran != "no" {
		return unknown
	}
	return notRun
}

// Stores send pushes while gateways are killed, paused and stopped, and pricing services break
// connections or refuse. A store retries under a new id only when it was told that the push has not
// run. No push may run twice, and none may run that was reported as not run, also not when a paused
// gateway resumes later.
func TestPushesThroughGatewaysRunOnce(t *testing.T) {
	t.Parallel()
	const seed, callers, faults = 1, 24, 14
	r := &pushLedger{runs: make(map[string]int), rng: rand.New(rand.NewPCG(seed, 1))}
	s := startSite(t, 3, r.answer)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]outcome)
	attemptIDs := make(map[string][]string)
	for i := range callers {
		wg.Go(func() {
			addresses := s.newAddressCache()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
			for n := 0; !isClosed(stop); n++ {
				call := fmt.Sprintf("c%d-%d", i, n)
				for attempt := range 6 {
					id := fmt.Sprintf("%s.%d", call, attempt)
					o := r.send(t, client, addresses.pick(), id)
					mu.Lock()
					outcomes[id] = o
					attemptIDs[call] = append(attemptIDs[call], id)
					mu.Unlock()
					if o != notRun {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	s.injectGatewayFaults(rand.New(rand.NewPCG(seed, 2)), faults)
	close(stop)
	wg.Wait()
	checkRuns(t, r, outcomes, attemptIDs)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// injectGatewayFaults kills, pauses and stops gateways, one after the other, and brings each back.
func (s *site) injectGatewayFaults(rng *rand.Rand, faults int) {
	for range faults {
		g := s.gateways[rng.IntN(len(s.gateways))]
		switch rng.IntN(4) {
		case 0:
			g.Kill()
			g.Restart()
		case 1:
			g.Signal(syscall.SIGTERM)
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			g.Kill()
			g.Restart()
		default:
			g.Pause()
			time.Sleep(time.Duration(100+rng.IntN(700)) * time.Millisecond)
			g.Continue()
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	}
}

// checkRuns compares what callers were told with what ran.
func checkRuns(t *testing.T, r *pushLedger, outcomes map[string]outcome, attemptIDs map[string][]string) {
	t.Helper()
	var counts [3]int
	for id, o := range outcomes {
		counts[o]++
		if n := r.count(id); n > 1 || o == notRun && n > 0 {
			t.Errorf("push %s, outcome %d, ran %d times", id, o, n)
		}
	}
	for call, ids := range attemptIDs {
		total := 0
		for _, id := range ids {
			total += r.count(id)
		}
		if total > 1 {
			t.Errorf("call %s ran %d times", call, total)
		}
	}
	t.Logf("%d calls: %d attempts answered, %d not run, %d of unknown outcome", len(attemptIDs), counts[answered], counts[notRun], counts[unknown])
	if counts[answered] < 100 || counts[notRun] == 0 || counts[unknown] == 0 {
		t.Error("too few events: the test proves nothing")
	}
}
