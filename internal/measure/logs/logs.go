// Package logs measures how a gateway's log affects the latency of its callers, with and without a
// reader of the log, compared with no log, on loopback. `make measure` writes a section of
// docs/MEASURES.md with it. It is never shipped.
package logs

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/logging"
	"github.com/apricothub/apricothub/test/fakeplatform"
	"github.com/apricothub/apricothub/test/harness"
)

const (
	// fullLoadCallers is the number of callers that keep the single processor of a gateway busy,
	// each sending its next request when it has its answer. At full load the callers outnumber what
	// the gateway can serve at once, so the cost of a request shows in every latency.
	fullLoadCallers = 32
	// overloadCallers is four times the full load. Half of the callers use an address that does not
	// exist: those requests are refused, and each refusal logs a line that is not sampled.
	overloadCallers = 4 * fullLoadCallers
	// slots is the number of slots of all backend servers: enough for all callers at full load.
	slots = fullLoadCallers
	// rounds is the number of measurements of each variant. The variants take turns in a rotating
	// order, so that all meet the same conditions on the machine.
	rounds    = 40
	roundTime = 500 * time.Millisecond
	// overloadTime is the duration of the overload.
	overloadTime = 6 * time.Second
	readyTimeout = 20 * time.Second
)

// variant is the path of a request and the log of the gateway on it.
type variant int

const (
	// direct bypasses the gateway and calls the backend server.
	direct variant = iota
	// noLog and noLogControl use gateways without a log. The difference between them is the error
	// of the measurement. logRead uses a gateway that logs to a file, logUnread one that logs to a
	// pipe that nobody reads.
	noLog
	noLogControl
	logRead
	logUnread
	numVariants
)

var variantNames = [numVariants]string{"straight", "no log", "no log, again", "log read", "log not read"}

// bench holds the gateways, each with its own platform.
type bench struct {
	reporter      harness.Reporter
	bin           string
	dir           string
	ips           [numVariants]string
	serverAddress string
	client        *http.Client
	// p50 and p99 are the latencies of each round.
	p50, p99 [numVariants][]time.Duration
	requests [numVariants]int
	// gateways are the gateway processes. cpu is the processor time that they used in the counted
	// rounds.
	gateways       [numVariants]*harness.Process
	cpu            [numVariants]time.Duration
	failedRequests int
}

// Measure runs all measurements with the binaries in bin and returns the text of the section.
func Measure(bin string, log io.Writer) (string, error) {
	var text string
	err := harness.RunProgram(log, func(r *harness.Program) {
		b := &bench{reporter: r, bin: bin, dir: harness.NewDir(r, "logs"), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overloadCallers}}}
		b.start()
		for n := range rounds + 1 {
			for v := range numVariants {
				// The first round is a warm-up.
				b.runRound((v+variant(n))%numVariants, n > 0)
			}
		}
		text = b.table() + b.overloadLines()
	})
	return text, err
}

func (b *bench) start() {
	for v := noLog; v < numVariants; v++ {
		store := fakeplatform.NewStore(b.reporter)
		store.Configure(1, fakeplatform.Routes(), fakeplatform.CallerKey)
		for _, id := range []string{"i-a", "i-b"} {
			s := store.ServeAt(b.reporter, fakeplatform.Registration{ID: id, FailureDomain: "a", Concurrency: slots / 2, DiscardRequests: true}, fakeplatform.Echo)
			b.serverAddress = s.Address()
		}
		b.ips[v] = fakeplatform.NewLoopbackIP()
		entry := fakeplatform.Entry{VM: b.vmName(v), IP: b.ips[v], FailureDomain: "a", Store: store.Address()}
		env := []string{entry.WriteSettings(b.reporter, b.dir), "GOMAXPROCS=1"}
		b.startGateway(v, env)
		harness.Eventually(b.reporter, readyTimeout, "a gateway is ready", func() error {
			if !fakeplatform.IsReady(b.ips[v]) {
				return errors.New("the gateway is not ready")
			}
			return nil
		})
	}
}

func (b *bench) vmName(v variant) string { return fmt.Sprintf("front-%d", v) }

func (b *bench) startGateway(v variant, env []string) {
	program := filepath.Join(b.bin, "apricothub")
	switch v {
	case noLog, noLogControl:
		b.gateways[v] = harness.StartWithEnv(b.reporter, env, b.dir, b.vmName(v), program, "gateway", "--log-level", "none")
	case logUnread:
		reader, writer, err := os.Pipe()
		if err != nil {
			b.reporter.Fatalf("create pipe: %v", err)
		}
		b.reporter.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
		b.gateways[v] = harness.StartWithOutput(b.reporter, writer, env, b.vmName(v), program, "gateway")
	default:
		b.gateways[v] = harness.StartWithEnv(b.reporter, env, b.dir, b.vmName(v), program, "gateway")
	}
}

// runRound sends requests to one variant, and records the results if the round is counted.
func (b *bench) runRound(v variant, isCounted bool) {
	before := b.cpuTime(v)
	latencies, failed := b.sendRequests(v, fullLoadCallers, roundTime, "/look/1")
	if !isCounted || len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	b.p50[v] = append(b.p50[v], latencies[len(latencies)/2])
	b.p99[v] = append(b.p99[v], latencies[len(latencies)*99/100])
	b.requests[v] += len(latencies)
	b.failedRequests += failed
	b.cpu[v] += b.cpuTime(v) - before
}

// cpuTime returns the processor time used by a variant's gateway, or 0 for the direct variant.
func (b *bench) cpuTime(v variant) time.Duration {
	if b.gateways[v] == nil {
		return 0
	}
	return b.gateways[v].Usage().CPU
}

// sendRequests runs callers for a while. It returns the latencies of the answered requests and the
// number of other requests.
func (b *bench) sendRequests(v variant, callers int, duration time.Duration, paths ...string) (latencies []time.Duration, failed int) {
	var lock sync.Mutex
	var group sync.WaitGroup
	deadline := time.Now().Add(duration)
	address := b.serverAddress
	if v != direct {
		address = net.JoinHostPort(b.ips[v], fakeplatform.PortCallers)
	}
	for i := range callers {
		group.Go(func() {
			for n := 0; time.Now().Before(deadline); n++ {
				began := time.Now()
				status := fakeplatform.SendTo(b.client, address, paths[i%len(paths)], fmt.Sprintf("c%d-%d", i, n))
				latency := time.Since(began)
				lock.Lock()
				if status == http.StatusOK {
					latencies = append(latencies, latency)
				} else {
					failed++
				}
				lock.Unlock()
			}
		})
	}
	group.Wait()
	return latencies, failed
}

func median[T cmp.Ordered](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// medianAddedRatio returns the median over the rounds of the latency that a variant adds to the
// direct path, relative to what noLog adds in the same round.
func medianAddedRatio(latencies *[numVariants][]time.Duration, v variant) float64 {
	var ratios []float64
	for n := range latencies[v] {
		ratios = append(ratios, float64(latencies[v][n]-latencies[direct][n])/float64(latencies[noLog][n]-latencies[direct][n]))
	}
	return median(ratios)
}

// table returns the results of all variants as a Markdown table.
func (b *bench) table() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d callers, one processor for each gateway, %d rounds of %s on each way in turns; medians of the rounds.\n"+
		"*added* is beyond the straight way, *to no log* its ratio to what no log adds in the same round.\n\n", fullLoadCallers, rounds, roundTime)
	text.WriteString("| Way | Requests/s | CPU a request | p50 | added | to no log | p99 | added | to no log |\n|---|---|---|---|---|---|---|---|---|\n")
	for v := range numVariants {
		fmt.Fprintf(&text, "| %s | %.0f | %s |", variantNames[v], float64(b.requests[v])/(float64(rounds)*roundTime.Seconds()),
			(b.cpu[v] / time.Duration(b.requests[v])).Round(100*time.Nanosecond))
		for _, latencies := range []*[numVariants][]time.Duration{&b.p50, &b.p99} {
			latency, base := median(latencies[v]), median(latencies[direct])
			fmt.Fprintf(&text, " %s |", latency.Round(time.Microsecond))
			if v == direct {
				text.WriteString(" | |")
				continue
			}
			fmt.Fprintf(&text, " %s | %.3f |", (latency - base).Round(time.Microsecond), medianAddedRatio(latencies, v))
		}
		text.WriteString("\n")
	}
	fmt.Fprintf(&text, "\nRequests without an answer: %d.\n", b.failedRequests)
	return text.String()
}

// timestampPattern matches the timestamp of a log line.
var timestampPattern = regexp.MustCompile(` ts=(\S+)`)

// overloadLines overloads the logRead gateway and reports the number of log lines.
func (b *bench) overloadLines() string {
	from := time.Now()
	latencies, failed := b.sendRequests(logRead, overloadCallers, overloadTime, "/look/1", "/nowhere")
	times := b.lineTimes(from)
	maxPerSecond, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		maxPerSecond = max(maxPerSecond, i-first+1)
	}
	return fmt.Sprintf("\nWith %d callers, four times as many, half of them to an unknown address, for %s: %d requests answered, %d refused, %d lines, and at most %d of them in any second; the setting is %d.\n",
		overloadCallers, overloadTime, len(latencies), failed, len(times), maxPerSecond, logging.DefaultLinesPerSecond)
}

// lineTimes returns the timestamps of the log lines of the logRead gateway after from.
func (b *bench) lineTimes(from time.Time) []time.Time {
	file, err := os.Open(filepath.Join(b.dir, b.vmName(logRead)+".log"))
	if err != nil {
		b.reporter.Fatalf("open gateway log: %v", err)
	}
	defer func() { _ = file.Close() }()
	var times []time.Time
	for scan := bufio.NewScanner(file); scan.Scan(); {
		match := timestampPattern.FindStringSubmatch(scan.Text())
		if match == nil {
			continue
		}
		if at, err := time.Parse(time.RFC3339Nano, match[1]); err == nil && at.After(from) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
