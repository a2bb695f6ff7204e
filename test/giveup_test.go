package test

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// refused is one refusal with the time it took.
type refused struct {
	name       string
	took       time.Duration
	retryAfter time.Duration
}

// press sends many completions at once and returns the refusals.
func press(t *testing.T, c *harness.Cluster, callers int, deadline time.Duration) (whole int, all []refused) {
	t.Helper()
	var mu sync.Mutex
	var pressing sync.WaitGroup
	for i := range callers {
		pressing.Go(func() {
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
				all = append(all, refused{reply.Name, time.Since(begin), reply.RetryAfter})
				if reply.Ran != harness.RanNo {
					t.Errorf("caller %d: %s, ran %s", i, reply.Name, reply.Ran)
				}
			}
		})
	}
	pressing.Wait()
	slices.SortFunc(all, func(a, b refused) int { return int(a.took - b.took) })
	return whole, all
}

// queueTime is the longest time that a request waits for room in these tests.
const queueTime = 300 * time.Millisecond

// All engines are full and far more callers press than can be served. A caller whose
// request has no place is told so as soon as that is known, with when to come back,
// and not near its deadline: it may go elsewhere or ask again in time.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	long(t)
	t.Parallel()
	c := start(t, harness.Spec{
		Entries:     2,
		Engines:     1,
		EngineFlags: []string{"-cold", "0", "-full", "4", "-token", "50ms"},
		Entry:       harness.Settings{"policy": {"queue-ms": strconv.FormatInt(queueTime.Milliseconds(), 10)}},
		Agent:       harness.Settings{"backend": {"cold-limit": "4", "full-limit": "4", "queue": "2"}},
	})
	const deadline = 20 * time.Second
	whole, all := press(t, c, 80, deadline)
	if whole == 0 || len(all) == 0 {
		t.Fatalf("%d whole, %d refused; want some of both", whole, len(all))
	}
	slowest := all[len(all)-1]
	t.Logf("%d whole, %d refused; median %s, slowest %s", whole, len(all), all[len(all)/2].took, slowest.took)
	if limit := queueTime + 700*time.Millisecond; slowest.took > limit {
		t.Errorf("a refusal (%s) took %s, want at most %s of a deadline of %s", slowest.name, slowest.took, limit, deadline)
	}
	for _, r := range all {
		if r.retryAfter <= 0 {
			t.Errorf("%s does not say when to come back", r.name)
		}
	}
}

// A deadline that can't be met is refused at once, before any work is done for it.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	long(t)
	t.Parallel()
	c := start(t, harness.Spec{
		Entries:     1,
		Engines:     1,
		EngineFlags: []string{"-cold", "0", "-token", "20ms"},
		Agent:       harness.Settings{"backend": {"cold-limit": "4", "full-limit": "4", "queue": "16"}},
	})
	if whole, all := press(t, c, 4, 10*time.Second); whole != 4 {
		t.Fatalf("%d whole, refused %v", whole, all)
	}
	load := c.StartLoad(harness.LoadSpec{Callers: 6, Tokens: 100, Seed: 30})
	time.Sleep(time.Second)
	const deadline = 500 * time.Millisecond
	whole, all := press(t, c, 8, deadline)
	if whole > 0 || len(all) != 8 {
		t.Errorf("%d whole, %d refused; want all refused: the work takes 800 ms", whole, len(all))
	}
	for _, r := range all {
		if r.took > deadline/2 {
			t.Errorf("%s took %s of a deadline of %s", r.name, r.took, deadline)
		}
	}
	noneCut(t, load.Stop())
}
