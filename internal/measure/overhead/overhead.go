// Package overhead measures the latency and processor time that the path through entry and agent
// adds to direct calls of the engine, on loopback. `make measure` writes a section of
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
	// tokensPerAnswer is the number of tokens of an answer, and tokenTime the time of one.
	tokensPerAnswer = 64
	tokenTime       = 20 * time.Millisecond
	// manyCallers shows the cost of a token. The engines' token rate limits these callers; the
	// entry is not saturated.
	manyCallers = 512
	// fewCallers, on each path, shows the latency of the path itself, without waits for a
	// processor.
	fewCallers = 8
	warmUpTime = 2 * time.Second
	runTime    = 6 * time.Second
)

// entryCores are the values of GOMAXPROCS of the entry.
var entryCores = []int{1, 2, 4}

// path is how requests reach an engine.
type path int

const (
	direct path = iota
	viaEntry
	numPaths
)

// samples are the times that callers measured on one path.
type samples struct {
	firstToken, total, tokenGap []time.Duration
}

// result holds the measurements for one value of GOMAXPROCS of the entry.
type result struct {
	cores                 int
	requests, tokens, cpu float64 // per second with many callers; cpu in cores
	agentCPU              float64
	failedRequests        int // requests without a whole answer
	light, half           pathLatencies
}

// pathLatencies are the latencies at one load, with the same number of callers on each path.
type pathLatencies struct {
	callers int
	byPath  [numPaths]samples
}

// Measure runs all measurements with the binaries in bin and returns the text of the section.
func Measure(bin string, log io.Writer) (string, error) {
	var results []result
	for _, n := range entryCores {
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
	// The entry learns its capacity one tick after its first links are up.
	time.Sleep(time.Second)
	b := &bench{reporter: r, cluster: c}
	res := result{cores: n}
	busy := b.run(manyCallers, []path{viaEntry})
	res.requests = float64(len(busy.byPath[viaEntry].total)) / busy.duration.Seconds()
	res.tokens = res.requests * tokensPerAnswer
	res.cpu, res.agentCPU = busy.entryCPU, busy.agentCPU
	res.light = b.runBothPaths(fewCallers)
	res.half = b.runBothPaths(manyCallers / 2)
	res.failedRequests = b.failedRequests
	return res
}

// bench runs callers against one cluster.
type bench struct {
	reporter       harness.Reporter
	cluster        *harness.Cluster
	failedRequests int
}

// runBothPaths runs that many callers on each path at the same time, so that both paths meet the
// same conditions on the machine.
func (b *bench) runBothPaths(callers int) pathLatencies {
	return pathLatencies{callers: callers, byPath: b.run(int(numPaths)*callers, []path{direct, viaEntry}).byPath}
}

// runResult is the result of one run.
type runResult struct {
	byPath             [numPaths]samples
	duration           time.Duration
	entryCPU, agentCPU float64
}

// run starts callers that send requests until the run ends. Each caller alternates between the
// paths.
func (b *bench) run(callers int, paths []path) runResult {
	var result runResult
	var lock sync.Mutex
	var group sync.WaitGroup
	stop := make(chan struct{})
	begin := time.Now().Add(warmUpTime)
	for i := range callers {
		group.Go(func() {
			caller := harness.NewKeepAliveCaller(harness.Key)
			// Stagger the callers, as otherwise all requests come in bursts.
			time.Sleep(warmUpTime * time.Duration(i) / time.Duration(callers))
			for n := i; !isClosed(stop); n++ {
				p := paths[n%len(paths)]
				sample, err := b.request(caller, p, n)
				lock.Lock()
				if err != nil {
					b.failedRequests++
					if b.failedRequests == 1 {
						b.reporter.Logf("first failed request: %v", err)
					}
				} else if time.Now().After(begin) {
					result.byPath[p].add(sample)
				}
				lock.Unlock()
			}
		})
	}
	time.Sleep(warmUpTime)
	entry, agent, from := b.cpuTime(b.cluster.Entries), b.cpuTime(b.cluster.Agents), time.Now()
	time.Sleep(runTime)
	result.duration = time.Since(from)
	result.entryCPU = (b.cpuTime(b.cluster.Entries) - entry).Seconds() / result.duration.Seconds()
	result.agentCPU = (b.cpuTime(b.cluster.Agents) - agent).Seconds() / result.duration.Seconds()
	lock.Lock()
	counted := result
	for p := range counted.byPath {
		counted.byPath[p] = result.byPath[p].clone()
	}
	lock.Unlock()
	close(stop)
	group.Wait()
	return counted
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

func (b *bench) cpuTime(members []*harness.Member) time.Duration {
	var sum time.Duration
	for _, m := range members {
		sum += m.Usage().CPU
	}
	return sum
}

// request streams one answer and records the times of its events.
func (b *bench) request(caller *harness.Caller, via path, n int) (samples, error) {
	address := b.cluster.Entries[0].Public
	if via == direct {
		address = b.cluster.EngineAgents()[n/int(numPaths)%engines].Backend.Address
	}
	prompt := harness.Prompt{Text: fmt.Sprint("prompt ", n), Tokens: tokensPerAnswer}
	var sample samples
	var got harness.Streamed
	begin := time.Now()
	last := begin
	err := caller.Stream(context.Background(), address, prompt, &got, func() {
		now := time.Now()
		if last == begin {
			sample.firstToken = append(sample.firstToken, now.Sub(begin))
		} else {
			sample.tokenGap = append(sample.tokenGap, now.Sub(last))
		}
		last = now
	})
	if err != nil || !got.Whole {
		return sample, errors.Errorf("incomplete answer: %v, refused %v", err, got.Refused != nil)
	}
	sample.total = append(sample.total, time.Since(begin))
	return sample, nil
}

func (s *samples) add(sample samples) {
	s.firstToken = append(s.firstToken, sample.firstToken...)
	s.total = append(s.total, sample.total...)
	s.tokenGap = append(s.tokenGap, sample.tokenGap...)
}

func (s *samples) clone() samples {
	return samples{firstToken: slices.Clone(s.firstToken), total: slices.Clone(s.total), tokenGap: slices.Clone(s.tokenGap)}
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
		time.Now().UTC().Format("2006-01-02 15:04 UTC"), engines, tokensPerAnswer, tokenTime, manyCallers)
	t.WriteString("| GOMAXPROCS of the entry | requests a second, 512 callers | tokens a second | cores of the entry used | tokens a second for each core of the entry | for each core of the agents | failed in all |\n|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&t, "| %d | %.0f | %.0f | %.2f | %.0f | %.0f | %d |\n",
			r.cores, r.requests, r.tokens, r.cpu, r.tokens/r.cpu, r.tokens/r.agentCPU, r.failedRequests)
	}
	t.WriteString("\n| GOMAXPROCS | load | callers each way | | straight p50 | through p50 | straight p99 | through p99 | added p50 | added p99 |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		writeRows(&t, r.cores, "light", r.light)
		writeRows(&t, r.cores, "half", r.half)
	}
	return t.String()
}

func writeRows(t *strings.Builder, cores int, load string, l pathLatencies) {
	row := func(what string, latenciesOf func(samples) []time.Duration) {
		directValues, viaValues := latenciesOf(l.byPath[direct]), latenciesOf(l.byPath[viaEntry])
		direct50, direct99, via50, via99 := quantile(directValues, 0.5), quantile(directValues, 0.99), quantile(viaValues, 0.5), quantile(viaValues, 0.99)
		fmt.Fprintf(t, "| %d | %s | %d | %s | %s | %s | %s | %s | %s | %s |\n", cores, load, l.callers, what,
			ms(direct50), ms(via50), ms(direct99), ms(via99), ms(via50-direct50), ms(via99-direct99))
	}
	row("first token", func(s samples) []time.Duration { return s.firstToken })
	row("between tokens", func(s samples) []time.Duration { return s.tokenGap })
}

func ms(d time.Duration) string { return fmt.Sprintf("%.2f ms", float64(d.Microseconds())/1000) }
