// Package overhead measures what the way through entry and agent costs against going
// straight to the engine, in one run on loopback. `make measure` writes a section of
// docs/MEASURES.md with it. It is never shipped.
package overhead

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/harness"
)

const (
	engines = 4
	// tokens of an answer, and the time of one.
	tokens    = 64
	tokenTime = 20 * time.Millisecond
	// many callers show what a token costs; the engines' pace bounds them, and the
	// entry is not saturated.
	many = 512
	// few callers, each way, show the way itself, without a wait for a processor.
	few    = 8
	warmUp = 2 * time.Second
	runFor = 6 * time.Second
)

// cores are the GOMAXPROCS of the entry.
var cores = []int{1, 2, 4}

// way is how a request goes.
type way int

const (
	straight way = iota
	through
	ways
)

// seen is what callers saw on one way.
type seen struct {
	first, whole, gap []time.Duration
}

// result is one number of cores of the entry.
type result struct {
	cores                 int
	requests, tokens, cpu float64 // a second, with many callers; cpu in cores
	agentCPU              float64
	failed                int // requests without a whole answer
	light, half           latencies
}

// latencies are those of one load, with as many callers each way.
type latencies struct {
	callers int
	seen    [ways]seen
}

// Measure runs everything with the binaries in bin and returns the section's text.
func Measure(bin string, log io.Writer) (string, error) {
	var results []result
	for _, n := range cores {
		err := harness.RunProgram(log, func(r *harness.Program) { results = append(results, measure(r, bin, n)) })
		if err != nil {
			return "", err
		}
	}
	return report(results), nil
}

func measure(r harness.Reporter, bin string, n int) result {
	c := harness.StartCluster(r, harness.Spec{
		Bin: bin, Dir: harness.NewDir(r, "overhead"), Domains: []string{"a"}, Entries: 1, Engines: engines, Direct: true,
		EngineFlags: []string{"-token", tokenTime.String(), "-cold", "0", "-full", "1024"},
		Entry:       harness.Settings{"platform": {"poll-ms": "500"}},
		Agent:       harness.Settings{"platform": {"poll-ms": "500"}, "backend": {"full-limit": "1024", "cold-limit": "1024"}},
		EntryEnv:    []string{fmt.Sprintf("GOMAXPROCS=%d", n)},
	})
	// The entry learns its room a tick after its first links.
	time.Sleep(time.Second)
	b := &bench{report: r, cluster: c}
	res := result{cores: n}
	full := b.run(many, []way{through})
	res.requests = float64(len(full.seen[through].whole)) / full.took.Seconds()
	res.tokens = res.requests * tokens
	res.cpu, res.agentCPU = full.entryCPU, full.agentCPU
	res.light = b.both(few)
	res.half = b.both(many / 2)
	res.failed = b.failed
	return res
}

// bench runs callers against one cluster.
type bench struct {
	report  harness.Reporter
	cluster *harness.Cluster
	failed  int
}

// both lets so many callers go through, and as many straight in the same run, so that
// both ways meet the same machine.
func (b *bench) both(callers int) latencies {
	return latencies{callers: callers, seen: b.run(int(ways)*callers, []way{straight, through}).seen}
}

// outcome is one run.
type outcome struct {
	seen               [ways]seen
	took               time.Duration
	entryCPU, agentCPU float64
}

// run lets so many callers send requests, each on the next of the ways in turn.
func (b *bench) run(callers int, by []way) outcome {
	var o outcome
	var lock sync.Mutex
	var group sync.WaitGroup
	stop := make(chan struct{})
	begin := time.Now().Add(warmUp)
	for i := range callers {
		group.Go(func() {
			caller := harness.NewKeepAliveCaller(harness.Key)
			// Callers do not begin together, or all requests would come in bursts.
			time.Sleep(warmUp * time.Duration(i) / time.Duration(callers))
			for n := i; !closed(stop); n++ {
				w := by[n%len(by)]
				one, err := b.request(caller, w, n)
				lock.Lock()
				if err != nil {
					b.failed++
					if b.failed == 1 {
						b.report.Logf("the first request to fail: %v", err)
					}
				} else if time.Now().After(begin) {
					o.seen[w].add(one)
				}
				lock.Unlock()
			}
		})
	}
	time.Sleep(warmUp)
	entry, agent, from := b.cpu(b.cluster.Entries), b.cpu(b.cluster.Agents), time.Now()
	time.Sleep(runFor)
	o.took = time.Since(from)
	o.entryCPU = (b.cpu(b.cluster.Entries) - entry).Seconds() / o.took.Seconds()
	o.agentCPU = (b.cpu(b.cluster.Agents) - agent).Seconds() / o.took.Seconds()
	lock.Lock()
	counted := o
	for w := range counted.seen {
		counted.seen[w] = o.seen[w].clone()
	}
	lock.Unlock()
	close(stop)
	group.Wait()
	return counted
}

func closed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

func (b *bench) cpu(members []*harness.Member) time.Duration {
	var sum time.Duration
	for _, m := range members {
		sum += m.Usage().CPU
	}
	return sum
}

// request streams one answer and notes when its events came.
func (b *bench) request(caller *harness.Caller, w way, n int) (seen, error) {
	address := b.cluster.Entries[0].Public
	if w == straight {
		address = b.cluster.EngineAgents()[n/int(ways)%engines].Backend.Address
	}
	p := harness.Prompt{Text: fmt.Sprint("prompt ", n), Tokens: tokens}
	var one seen
	var got harness.Streamed
	begin := time.Now()
	last := begin
	err := caller.Stream(context.Background(), address, p, &got, func() {
		now := time.Now()
		if last == begin {
			one.first = append(one.first, now.Sub(begin))
		} else {
			one.gap = append(one.gap, now.Sub(last))
		}
		last = now
	})
	if err != nil || !got.Whole {
		return one, errors.Errorf("not whole: %v, refused %v", err, got.Refused != nil)
	}
	one.whole = append(one.whole, time.Since(begin))
	return one, nil
}

func (s *seen) add(one seen) {
	s.first = append(s.first, one.first...)
	s.whole = append(s.whole, one.whole...)
	s.gap = append(s.gap, one.gap...)
}

func (s *seen) clone() seen {
	return seen{first: slices.Clone(s.first), whole: slices.Clone(s.whole), gap: slices.Clone(s.gap)}
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func report(results []result) string {
	var t strings.Builder
	fmt.Fprintf(&t, "Measured on %s: 1 entry, %d engines with agents and all callers on one machine; streams of %d tokens, one each %v. The pace of the engines bounds what %d callers get; the entry is not saturated. At half load half of them go through, and as many again go straight to the engines in the same run. Added is the difference of the quantiles.\n\n",
		time.Now().UTC().Format("2006-01-02 15:04 UTC"), engines, tokens, tokenTime, many)
	t.WriteString("| GOMAXPROCS of the entry | requests a second, 512 callers | tokens a second | cores of the entry used | tokens a second for each core of the entry | for each core of the agents | failed in all |\n|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&t, "| %d | %.0f | %.0f | %.2f | %.0f | %.0f | %d |\n",
			r.cores, r.requests, r.tokens, r.cpu, r.tokens/r.cpu, r.tokens/r.agentCPU, r.failed)
	}
	t.WriteString("\n| GOMAXPROCS | load | callers each way | | straight p50 | through p50 | straight p99 | through p99 | added p50 | added p99 |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		rows(&t, r.cores, "light", r.light)
		rows(&t, r.cores, "half", r.half)
	}
	return t.String()
}

func rows(t *strings.Builder, cores int, load string, l latencies) {
	row := func(what string, of func(seen) []time.Duration) {
		s, h := of(l.seen[straight]), of(l.seen[through])
		s50, s99, h50, h99 := quantile(s, 0.5), quantile(s, 0.99), quantile(h, 0.5), quantile(h, 0.99)
		fmt.Fprintf(t, "| %d | %s | %d | %s | %s | %s | %s | %s | %s | %s |\n", cores, load, l.callers, what,
			ms(s50), ms(h50), ms(s99), ms(h99), ms(h50-s50), ms(h99-s99))
	}
	row("first token", func(s seen) []time.Duration { return s.first })
	row("between tokens", func(s seen) []time.Duration { return s.gap })
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f ms", float64(d.Microseconds())/1000) }
