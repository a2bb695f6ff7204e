// Package logs measures what a gateway's log costs its callers, with a reader and without,
// against no log at all, in one run on loopback. `make measure` writes a section of
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
	// full is the number of callers that keep the one processor of a gateway busy, each
	// sending its next request when it has its answer. Times are those of full load and more
	// are there than room for: what a request costs shows in each answer.
	full = 32
	// beyond is four times the full load, half of it to an address that does not exist: those
	// requests are refused, and each brings a line that is no sample.
	beyond = 4 * full
	// places are those of the backend servers together: all callers of the full load at once.
	places = full
	// rounds of each way, in turns and each time in another order, so that all meet the same
	// machine.
	rounds   = 40
	roundFor = 500 * time.Millisecond
	// beyondFor is the time under four times the load.
	beyondFor = 6 * time.Second
	patience  = 20 * time.Second
)

// way is how a request goes.
type way int

const (
	// straight goes to the backend server, without a gateway.
	straight way = iota
	// off and control go through gateways without a log: how far the two are apart is what the
	// measure cannot tell. read and unread go through one with a log that goes to a file, and
	// one with a log that nobody reads.
	off
	control
	read
	unread
	ways
)

var names = [ways]string{"straight", "no log", "no log, again", "log read", "log not read"}

// bench is the three gateways, each with a platform of its own.
type bench struct {
	report harness.Reporter
	bin    string
	dir    string
	ips    [ways]string
	direct string
	client *http.Client
	// p50 and p99 are the latencies of each round.
	p50, p99 [ways][]time.Duration
	requests [ways]int
	// gateways are the processes, cpu what they used in the rounds that count.
	gateways [ways]*harness.Process
	cpu      [ways]time.Duration
	failed   int
}

// Measure runs everything with the binaries in bin and returns the section's text.
func Measure(bin string, log io.Writer) (string, error) {
	var text string
	err := harness.RunProgram(log, func(r *harness.Program) {
		b := &bench{report: r, bin: bin, dir: harness.NewDir(r, "logs"), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: beyond}}}
		b.start()
		for n := range rounds + 1 {
			for w := range ways {
				// The first round warms up.
				b.round((w+way(n))%ways, n > 0)
			}
		}
		text = b.table() + b.lines()
	})
	return text, err
}

func (b *bench) start() {
	for w := off; w < ways; w++ {
		store := fakeplatform.NewStore(b.report)
		store.Configure(1, fakeplatform.Routes(), fakeplatform.CallerKey)
		for _, id := range []string{"i-a", "i-b"} {
			s := store.ServeAt(b.report, fakeplatform.Registration{ID: id, FailureDomain: "a", Concurrency: places / 2, DiscardRequests: true}, fakeplatform.Echo)
			b.direct = s.Address()
		}
		b.ips[w] = fakeplatform.NewLoopbackIP()
		entry := fakeplatform.Entry{VM: b.vm(w), IP: b.ips[w], FailureDomain: "a", Store: store.Address()}
		env := []string{entry.WriteSettings(b.report, b.dir), "GOMAXPROCS=1"}
		b.gateway(w, env)
		harness.Eventually(b.report, patience, "a gateway is ready", func() error {
			if !fakeplatform.IsReady(b.ips[w]) {
				return errors.New("it is not")
			}
			return nil
		})
	}
}

func (b *bench) vm(w way) string { return fmt.Sprintf("front-%d", w) }

func (b *bench) gateway(w way, env []string) {
	program := filepath.Join(b.bin, "apricothub")
	switch w {
	case off, control:
		b.gateways[w] = harness.StartWithEnv(b.report, env, b.dir, b.vm(w), program, "gateway", "--log-level", "none")
	case unread:
		reader, writer, err := os.Pipe()
		if err != nil {
			b.report.Fatalf("pipe: %v", err)
		}
		b.report.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
		b.gateways[w] = harness.StartWithOutput(b.report, writer, env, b.vm(w), program, "gateway")
	default:
		b.gateways[w] = harness.StartWithEnv(b.report, env, b.dir, b.vm(w), program, "gateway")
	}
}

// round sends requests on one way, and counts them if the round counts.
func (b *bench) round(w way, counts bool) {
	before := b.used(w)
	took, failed := b.load(w, full, roundFor, "/look/1")
	if !counts || len(took) == 0 {
		return
	}
	slices.Sort(took)
	b.p50[w] = append(b.p50[w], took[len(took)/2])
	b.p99[w] = append(b.p99[w], took[len(took)*99/100])
	b.requests[w] += len(took)
	b.failed += failed
	b.cpu[w] += b.used(w) - before
}

// used is the processor time of a way's gateway.
func (b *bench) used(w way) time.Duration {
	if b.gateways[w] == nil {
		return 0
	}
	return b.gateways[w].Usage().CPU
}

// load lets callers send requests for a while, and returns the times of those that were
// answered, and how many were not.
func (b *bench) load(w way, callers int, lasts time.Duration, paths ...string) (took []time.Duration, failed int) {
	var lock sync.Mutex
	var group sync.WaitGroup
	until := time.Now().Add(lasts)
	address := b.direct
	if w != straight {
		address = net.JoinHostPort(b.ips[w], fakeplatform.PortCallers)
	}
	for i := range callers {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				began := time.Now()
				status := fakeplatform.SendTo(b.client, address, paths[i%len(paths)], fmt.Sprintf("c%d-%d", i, n))
				spent := time.Since(began)
				lock.Lock()
				if status == http.StatusOK {
					took = append(took, spent)
				} else {
					failed++
				}
				lock.Unlock()
			}
		})
	}
	group.Wait()
	return took, failed
}

func median[T cmp.Ordered](all []T) T {
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2]
}

// against is the median over the rounds of the latency that a way adds, to the latency that
// the way without a log adds in the same round.
func against(of *[ways][]time.Duration, w way) float64 {
	var ratios []float64
	for n := range of[w] {
		ratios = append(ratios, float64(of[w][n]-of[straight][n])/float64(of[off][n]-of[straight][n]))
	}
	return median(ratios)
}

// table shows the ways side by side.
func (b *bench) table() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d callers, one processor for each gateway, %d rounds of %s on each way in turns; medians of the rounds.\n"+
		"*added* is beyond the straight way, *to no log* its ratio to what no log adds in the same round.\n\n", full, rounds, roundFor)
	text.WriteString("| Way | Requests/s | CPU a request | p50 | added | to no log | p99 | added | to no log |\n|---|---|---|---|---|---|---|---|---|\n")
	for w := range ways {
		fmt.Fprintf(&text, "| %s | %.0f | %s |", names[w], float64(b.requests[w])/(float64(rounds)*roundFor.Seconds()),
			(b.cpu[w] / time.Duration(b.requests[w])).Round(100*time.Nanosecond))
		for _, of := range []*[ways][]time.Duration{&b.p50, &b.p99} {
			at, base := median(of[w]), median(of[straight])
			fmt.Fprintf(&text, " %s |", at.Round(time.Microsecond))
			if w == straight {
				text.WriteString(" | |")
				continue
			}
			fmt.Fprintf(&text, " %s | %.3f |", (at - base).Round(time.Microsecond), against(of, w))
		}
		text.WriteString("\n")
	}
	fmt.Fprintf(&text, "\nRequests without an answer: %d.\n", b.failed)
	return text.String()
}

// stamp finds when a line was written.
var stamp = regexp.MustCompile(` ts=(\S+)`)

// lines loads the gateway whose log is read four times as much, and counts its lines.
func (b *bench) lines() string {
	from := time.Now()
	took, failed := b.load(read, beyond, beyondFor, "/look/1", "/nowhere")
	at := b.moments(from)
	most, first := 0, 0
	for i, t := range at {
		for t.Sub(at[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return fmt.Sprintf("\nWith %d callers, four times as many, half of them to an unknown address, for %s: %d requests answered, %d refused, %d lines, and at most %d of them in any second; the setting is %d.\n",
		beyond, beyondFor, len(took), failed, len(at), most, logging.DefaultLinesPerSecond)
}

// moments returns when the lines of the gateway whose log is read were written, from a
// moment on.
func (b *bench) moments(from time.Time) []time.Time {
	file, err := os.Open(filepath.Join(b.dir, b.vm(read)+".log"))
	if err != nil {
		b.report.Fatalf("log: %v", err)
	}
	defer func() { _ = file.Close() }()
	var all []time.Time
	for scan := bufio.NewScanner(file); scan.Scan(); {
		match := stamp.FindStringSubmatch(scan.Text())
		if match == nil {
			continue
		}
		if at, err := time.Parse(time.RFC3339Nano, match[1]); err == nil && at.After(from) {
			all = append(all, at)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}
