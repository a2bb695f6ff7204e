package test

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// refusal is one refused request with the time it took.
type refusal struct {
	name       string
	took       time.Duration
	retryAfter time.Duration
}

// sendCompletions sends many completions at once and returns the refusals, ordered by time.
func sendCompletions(t *testing.T, c *harness.Cluster, callers int, deadline time.Duration) (whole int, refusals []refusal) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			p := harness.Prompt{Text: "pressed", Seed: int64(i), Tokens: 40}
			p.Header = map[string]string{"Apricothub-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)}
			begin := time.Now()
			text, reply, err := harness.NewCaller(harness.Key).Complete(t.Context(), c.Entries[i%len(c.Entries)].Public, p)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Errorf("caller %d: %v", i, err)
			case text == p.Want():
				whole++
			default:
				refusals = append(refusals, refusal{reply.Name, time.Since(begin), reply.RetryAfter})
				if reply.Ran != harness.RanNo {
					t.Errorf("caller %d: %s, ran %s", i, reply.Name, reply.Ran)
				}
			}
		})
	}
	wg.Wait()
	slices.SortFunc(refusals, func(a, b refusal) int { return int(a.took - b.took) })
	return whole, refusals
}

// queueTime is the longest time that a request waits in the queue in these tests.
const queueTime = 300 * time.Millisecond

// All engines are full and far more callers send than can be served. A caller whose request gets no
// slot must be refused as soon as that is known, with a time to retry after, and not near its
// deadline: it can then go elsewhere or retry in time.
func TestRefusalsComeWithoutDelay(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{
		Entries:     2,
		Engines:     1,
		EngineFlags: []string{"-cold", "0", "-full", "4", "-token", "50ms"},
		Entry:       harness.Settings{"policy": {"queue-ms": strconv.FormatInt(queueTime.Milliseconds(), 10)}},
		Agent:       harness.Settings{"backend": {"cold-limit": "4", "full-limit": "4", "queue": "2"}},
	})
	const deadline = 20 * time.Second
	whole, refusals := sendCompletions(t, c, 80, deadline)
	if whole == 0 || len(refusals) == 0 {
		t.Fatalf("%d whole, %d refused; want some of both", whole, len(refusals))
	}
	slowest := refusals[len(refusals)-1]
	t.Logf("%d whole, %d refused; median %s, slowest %s", whole, len(refusals), refusals[len(refusals)/2].took, slowest.took)
	if limit := queueTime + 700*time.Millisecond; slowest.took > limit {
		t.Errorf("a refusal (%s) took %s, want at most %s of a deadline of %s", slowest.name, slowest.took, limit, deadline)
	}
	for _, r := range refusals {
		if r.retryAfter <= 0 {
			t.Errorf("the refusal %s has no time to retry after", r.name)
		}
	}
}

// A deadline that cannot be met is refused at once, before any work is done for the request.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	c := startCluster(t, harness.Spec{
		Entries:     1,
		Engines:     1,
		EngineFlags: []string{"-cold", "0", "-token", "20ms"},
		Agent:       harness.Settings{"backend": {"cold-limit": "4", "full-limit": "4", "queue": "16"}},
	})
	if whole, refusals := sendCompletions(t, c, 4, 10*time.Second); whole != 4 {
		t.Fatalf("%d whole, refused %v", whole, refusals)
	}
	load := c.StartLoad(harness.LoadSpec{Callers: 6, Tokens: 100, Seed: 30})
	time.Sleep(time.Second)
	const deadline = 500 * time.Millisecond
	whole, refusals := sendCompletions(t, c, 8, deadline)
	if whole > 0 || len(refusals) != 8 {
		t.Errorf("%d whole, %d refused; want all refused: the work takes 800 ms", whole, len(refusals))
	}
	for _, r := range refusals {
		if r.took > deadline/2 {
			t.Errorf("%s took %s of a deadline of %s", r.name, r.took, deadline)
		}
	}
	checkNoneCut(t, load.Stop())
}
